package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

// AdoptWhenSeen starts a batch once the fold shows that this daemon owns it.
func (r *Runner) AdoptWhenSeen(batchID string) {
	if !r.begin() {
		// The one who named this daemon did not know that it stops.
		r.releaseUnstarted(r.ledger.Of(batchID), batchID)
		return
	}
	defer r.work.Done()
	defer r.releaseUnstarted(r.ledger.Of(batchID), batchID)
	partition := r.foldOf(r.ctx, batchID)
	release := partition.Follow()
	defer release()
	for r.ctx.Err() == nil {
		if err := partition.CatchUp(r.ctx); err != nil {
			time.Sleep(appendPause)
			continue
		}
		r.adopt(partition, batchID)
		return
	}
}

// TakeOver makes this daemon the owner in place of another and starts the batch.
func (r *Runner) TakeOver(ctx context.Context, batchID, from string) error {
	if !r.begin() {
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

// adopt starts a batch if a fold of its partition says that this daemon owns it and it is
// open. The batch goes by that fold from then on.
func (r *Runner) adopt(partition *ledger.Partition, batchID string) {
	j := r.newOwnedJob(partition, batchID)
	if j == nil {
		return
	}
	go func() {
		defer r.work.Done()
		j.run()
		r.mu.Lock()
		delete(r.jobs, batchID)
		r.mu.Unlock()
	}()
	r.Kick()
}

// newOwnedJob adds the job of a batch that this daemon owns, which counts as work that a
// stop waits for. It returns nil if there is nothing to run, or it runs already.
func (r *Runner) newOwnedJob(partition *ledger.Partition, batchID string) (j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[batchID] != nil || r.ctx.Err() != nil || r.stopping.Load() {
		return nil
	}
	partition.ViewBatch(batchID, func(b *batch.Batch) {
		if b.Open() && b.Owner == r.self {
			j = newJob(r, partition, b)
		}
	})
	if j == nil {
		return nil
	}
	j.logOwned()
	r.jobs[batchID] = j
	r.work.Add(1)
	return j
}
