package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
)

// standBy takes over a batch that this daemon accepted for another owner if that owner sends no
// first heartbeat, as the owner may have ended before the group noticed. The watcher of the
// partition would take the batch over too, but later. accepting is how long the acceptance took.
func (r *Runner) standBy(batchID, owner string, accepting time.Duration) {
	if !r.beginWork() {
		return
	}
	defer r.work.Done()
	began, delay := time.Now(), standByDelay(accepting)
	partition := r.foldOf(r.ctx, batchID, delay)
	defer partition.Follow()()
	expected := observation{partition: partition.Name(), batch: batchID, owner: owner, unchangedSince: began}
	// The owner locates its batch as well before it begins.
	locating := min(time.Since(began), locateTimeout)
	waiting, cancel := context.WithDeadline(r.ctx, began.Add(locating+delay))
	defer cancel()
	started := partition.Await(waiting.Done(), func() (changed bool) {
		partition.ViewBatch(batchID, func(b *batch.Batch) { changed = !expected.unchanged(b) })
		return changed
	})
	if started || r.ctx.Err() != nil {
		return
	}
	bounded, cancel := context.WithTimeout(r.ctx, takeOverTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		// The partition's watcher takes the batch over later.
		r.logger.Info("silence of the owner not confirmed", zap.String("batch", batchID),
			zap.String("owner", owner), zap.Error(err))
		return
	}
	if stillSilent(partition, expected) {
		r.replaceOwner(r.ctx, expected, "no first heartbeat")
	}
}
