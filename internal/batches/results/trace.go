package results

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// way is how a question was answered, or was last tried to be. Its values are label values of a metric.
type way string

// Ways of a question.
const (
	// wayFold: by the fold held here, after a read of what is new at most.
	wayFold way = "fold"
	// wayBudget: by reading what this daemon lacked, within its budget.
	wayBudget way = "budget"
	// wayWatcher: by the daemon that watches the partition.
	wayWatcher way = "holder"
	// wayPaced: by reading the partition at the rate of the budget, as its watcher did not
	// answer.
	wayPaced way = "paced"
)

// Observer takes each question: how it was answered, whether it was, and how long that
// took beyond the time for which it was kept open.
type Observer func(way string, answered bool, took time.Duration)

// queryTrace is one question with what happened to it, for its log line and the observer.
type queryTrace struct {
	reader    *Reader
	batchID   string
	partition *ledger.Partition
	began     time.Time
	// wait is for how long the caller asked that the question be kept open.
	wait time.Duration
	way  way
	// missing is what the fold lacked as the question came, in bytes; missingKnown is false
	// where nothing of the partition had been read.
	missing      int
	missingKnown bool
	// call is the outcome of asking the watcher, the zero value if it was not asked or has not
	// answered.
	call watcherCall
}

func (r *Reader) startTrace(batchID string, wait time.Duration) *queryTrace {
	t := &queryTrace{
		reader:    r,
		batchID:   batchID,
		partition: r.ledger.Of(batchID),
		began:     time.Now(),
		wait:      wait,
		way:       wayFold,
	}
	t.missing, t.missingKnown = t.partition.Missing()
	r.openQueries.Add(1)
	return t
}

// waitLeft is how long the question may still be kept open.
func (t *queryTrace) waitLeft() time.Duration { return max(t.wait-time.Since(t.began), 0) }

// end closes the trace. A question that was not answered has a line.
func (t *queryTrace) end(err error) {
	open := t.reader.openQueries.Add(-1)
	took := time.Since(t.began)
	t.reader.observe(string(t.way), err == nil, max(took-t.wait, 0))
	if err == nil {
		return
	}
	left, leftKnown := t.partition.Missing()
	t.reader.logger.Info("question not answered", zap.String("batch", t.batchID), zap.Inline(t.partition),
		zap.String("way", string(t.way)), zap.Duration("hold", t.wait), zap.Duration("took", took),
		zap.Int("missing", t.missing), zap.Bool("missing_known", t.missingKnown),
		zap.Int("missing_left", left), zap.Bool("missing_left_known", leftKnown),
		zap.String("watcher", t.call.watcher), zap.Duration("watcher_sought", t.call.searchTook),
		zap.Duration("watcher_asked", t.call.callTook), zap.NamedError("watcher_error", t.call.err),
		zap.Int64("questions_open", open), zap.Int("budget", t.reader.budgetLeft()), zap.Error(err))
}
