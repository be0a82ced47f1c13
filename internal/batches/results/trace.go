package results

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// way names how a query was answered or, if it failed, what was tried last. Its values are label
// values of a metric and must not change.
type way string

const (
	// wayFold is an answer from this daemon's fold, after a read of at most the newest records.
	wayFold way = "fold"
	// wayBudget is an answer after an own read of what the fold lacked, within the budget.
	wayBudget way = "budget"
	// wayWatcher is an answer of the partition's watcher.
	wayWatcher way = "holder"
	// wayPaced is an answer after reading the partition at the rate of the budget, as its watcher
	// did not answer.
	wayPaced way = "paced"
)

// Observer is called at the end of each query with the way in which the query was answered,
// whether it was answered, and the time that the answer took beyond the query's wait.
type Observer func(way string, answered bool, took time.Duration)

// queryTrace records the course of one query, for the log line of a failed one and for the
// observer.
type queryTrace struct {
	reader    *Reader
	batchID   string
	partition *ledger.Partition
	began     time.Time
	// wait is how long the caller allows the query to be kept open.
	wait time.Duration
	way  way
	// missing is how many bytes the fold lacked when the query arrived. It is valid only if
	// missingKnown, which is false if nothing of the partition had been read.
	missing      int
	missingKnown bool
	// call is the outcome of asking the watcher, the zero value if it was not asked or has not
	// answered.
	call watcherCall
}

// startTrace begins the trace of a query and counts it as open. The caller must call end.
func (r *Reader) startTrace(batchID string, wait time.Duration) *queryTrace {
	t := &queryTrace{
		reader:    r,
		batchID:   batchID,
		partition: r.ledger.PartitionOf(batchID),
		began:     time.Now(),
		wait:      wait,
		way:       wayFold,
	}
	t.missing, t.missingKnown = t.partition.MissingBytes()
	r.openQueries.Add(1)
	return t
}

// waitLeft returns how long the query may still be kept open.
func (t *queryTrace) waitLeft() time.Duration { return max(t.wait-time.Since(t.began), 0) }

// end closes the trace: it calls the observer and logs a query that failed.
func (t *queryTrace) end(err error) {
	open := t.reader.openQueries.Add(-1)
	took := time.Since(t.began)
	t.reader.observe(string(t.way), err == nil, max(took-t.wait, 0))
	if err == nil {
		return
	}
	left, leftKnown := t.partition.MissingBytes()
	t.reader.logger.Info("query not answered", zap.String("batch", t.batchID), zap.Inline(t.partition),
		zap.String("way", string(t.way)), zap.Duration("hold", t.wait), zap.Duration("took", took),
		zap.Int("missing", t.missing), zap.Bool("missing_known", t.missingKnown),
		zap.Int("missing_left", left), zap.Bool("missing_left_known", leftKnown),
		zap.String("watcher", t.call.watcher), zap.Duration("watcher_sought", t.call.searchTook),
		zap.Duration("watcher_asked", t.call.callTook), zap.NamedError("watcher_error", t.call.err),
		zap.Int64("questions_open", open), zap.Int("budget", t.reader.budgetLeft()), zap.Error(err))
}
