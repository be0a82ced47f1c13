package results

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// way is how a question was answered, or was last tried to be.
type way string

// Ways of a question.
const (
	// wayFold: by the fold held here, after a read of what is new at most.
	wayFold way = "fold"
	// wayBudget: by reading what this daemon lacked, within its budget.
	wayBudget way = "budget"
	// wayHolder: by the daemon that watches the partition.
	wayWatcher way = "holder"
	// wayPaced: by reading the partition at the pace of the budget, as its holder did not
	// answer.
	wayPaced way = "paced"
)

// Observer is told of each question: how it was answered, whether it was, and how long that
// took beyond the time that it was held on purpose.
type Observer func(way string, answered bool, took time.Duration)

// inquiry is what befalls one question, for its line in the log.
type trace struct {
	r         *Reader
	batchID   string
	partition *ledger.Partition
	began     time.Time
	wait      time.Duration
	way       way
	// missing is what the fold lacked as the question came, in bytes; missingKnown is false
	// where nothing of the partition had been read.
	missing      int
	missingKnown bool
	// asked is what came of asking the holder, the zero value if it was not asked or has not
	// answered.
	call watcherCall
}

// search is what came of asking the holder of a partition.
type watcherCall struct {
	// holder is the run that was asked, "" if it was not known, soughtFor how long it took to
	// learn of it, and askedFor how long it was waited for.
	watcher             string
	soughtFor, askedFor time.Duration
	err                 error
}

// inquire begins the account of a question.
func (r *Reader) startTrace(batchID string, partition *ledger.Partition, wait time.Duration) *trace {
	t := &trace{r: r, batchID: batchID, partition: partition, began: time.Now(), wait: wait, way: wayFold}
	t.missing, t.missingKnown = partition.Missing()
	r.open.Add(1)
	return t
}

// waitLeft is how long the question may still be held on purpose.
func (i *trace) waitLeft() time.Duration { return max(i.wait-time.Since(i.began), 0) }

// end closes the account. A question that was not answered has a line.
func (i *trace) end(err error) {
	open := i.r.open.Add(-1)
	took := time.Since(i.began)
	if i.r.observe != nil {
		i.r.observe(string(i.way), err == nil, max(took-i.wait, 0))
	}
	if err == nil {
		return
	}
	left, leftKnown := i.partition.Missing()
	i.r.logger.Info("question not answered", zap.String("batch", i.batchID), zap.String("topic", i.partition.Name().Topic),
		zap.Int("partition", i.partition.Name().Number), zap.String("way", string(i.way)), zap.Duration("hold", i.wait), zap.Duration("took", took),
		zap.Int("missing", i.missing), zap.Bool("missing_known", i.missingKnown), zap.Int("missing_left", left), zap.Bool("missing_left_known", leftKnown),
		zap.String("holder", i.call.watcher), zap.Duration("holder_sought", i.call.soughtFor), zap.Duration("holder_asked", i.call.askedFor), zap.NamedError("holder_error", i.call.err),
		zap.Int64("questions_open", open), zap.Int("budget", i.r.budgetLeft()), zap.Error(err))
}
