package runner

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
)

// AdoptWhenSeen starts a batch once the fold shows that this daemon owns it.
func (r *Runner) AdoptWhenSeen(batchID string) {
	whole := r.ledger.Of(batchID)
	if !r.begin() {
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
		periodic.Pause(r.ctx, journalPause) // the calls to the journal that failed are logged there
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

// adopt starts a batch if a fold of its partition says that this daemon owns it, it is open,
// and it does not run yet. The batch goes by that fold from then on. Its job is work that a
// stop waits for.
func (r *Runner) adopt(partition *ledger.Partition, batchID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[batchID] != nil || r.ctx.Err() != nil || r.stopping.Load() {
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
	})
	r.Kick()
}
