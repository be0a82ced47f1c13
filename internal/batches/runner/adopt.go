package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
)

// closedBatchTTL is how long a batch whose job found it closed is not begun anew: longer than a
// fold may be old by which the watcher still goes, and which may lack what closed the batch.
const closedBatchTTL = 2 * heartbeatTimeout

// AdoptAssigned starts a batch once the fold shows that this daemon owns it.
func (r *Runner) AdoptAssigned(batchID string) {
	whole := r.ledger.Of(batchID)
	if !r.beginWork() {
		// Whoever named this daemon did not know that it stops.
		r.releaseUnstarted(whole, batchID)
		return
	}
	defer r.work.Done()
	defer r.releaseUnstarted(whole, batchID)
	partition := r.foldOf(r.ctx, batchID)
	defer partition.Follow()()
	for r.ctx.Err() == nil {
		if err := partition.CatchUp(r.ctx); err == nil {
			r.adopt(partition, batchID)
			return
		}
		periodic.Pause(r.ctx, journalRetryDelay) // the calls to the journal that failed are logged there
	}
}

// TakeOver makes this daemon the owner in place of another and starts the batch.
func (r *Runner) TakeOver(ctx context.Context, batchID, from string) error {
	if !r.beginWork() {
		return ErrStopping
	}
	defer r.work.Done()
	whole := r.ledger.Of(batchID)
	defer r.releaseUnstarted(whole, batchID)
	if err := whole.Append(ctx, batch.TakenOver(batchID, from, r.self)); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	partition := r.foldOf(ctx, batchID)
	if err := partition.CatchUp(ctx); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	r.adopt(partition, batchID)
	return nil
}

// adopt starts a batch if a fold of its partition says that this daemon owns it, it is open,
// and it neither runs yet nor did until it was closed. The batch goes by that fold from then
// on. Its job is work that a stop waits for.
func (r *Runner) adopt(partition *ledger.Partition, batchID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[batchID] != nil || r.closedBatches[batchID] || r.ctx.Err() != nil || r.stopping.Load() {
		return
	}
	var j *job
	partition.ViewBatch(batchID, func(b *batch.Batch) {
		if b.Open() && b.Owner == r.self {
			j = newJob(r, partition, b)
		}
	})
	if j == nil {
		return
	}
	j.logOwned()
	r.jobs[batchID] = j
	r.work.Go(func() {
		j.run()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.jobs, batchID)
		r.recordClosed(j)
	})
	r.WakeDispatcher()
}

// recordClosed keeps the batch of a job that has ended from being begun anew if it is closed,
// as the job's fold says, which may be ahead of others. The mutex is held.
func (r *Runner) recordClosed(j *job) {
	batchID, open := j.submission.ID, true
	j.partition.ViewBatch(batchID, func(b *batch.Batch) { open = b.Open() })
	if open {
		return
	}
	r.closedBatches[batchID] = true
	time.AfterFunc(closedBatchTTL, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.closedBatches, batchID)
	})
}
