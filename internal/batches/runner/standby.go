package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
)

// standBy takes a batch over that this daemon has accepted for another one, if
// that one gives no first sign of life: it may have ended since the group named
// it. The watcher of the partition would find out as well, but later.
func (r *Runner) standBy(batchID, owner string, accepting time.Duration) {
	if !r.beginWork() {
		return
	}
	defer r.work.Done()
	partition := r.foldOf(r.ctx, batchID)
	defer partition.Follow()()
	expected := observation{partition: partition.Name(), batch: batchID, owner: owner, unchangedSince: time.Now()}
	patience, cancel := context.WithTimeout(r.ctx, standByDelay(accepting))
	defer cancel()
	begun := partition.Await(patience.Done(), func() (begun bool) {
		partition.ViewBatch(batchID, func(b *batch.Batch) { begun = !expected.unchanged(b) })
		return begun
	})
	if begun || r.ctx.Err() != nil {
		return
	}
	bounded, cancel := context.WithTimeout(r.ctx, takeOverTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		// The partition's watcher finds out later.
		r.logger.Info("silence of the owner not confirmed", zap.String("batch", batchID),
			zap.String("owner", owner), zap.Error(err))
		return
	}
	if r.stillSilent(expected) {
		r.replaceOwner(r.ctx, expected, "owner has not begun")
	}
}
