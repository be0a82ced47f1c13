package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

// standBy takes over a batch that this daemon accepted for another owner if that owner sends no
// first heartbeat, as the owner may have ended before the group noticed, or if nobody takes the batch
// over from an owner that has released it unstarted. The watcher of the
// partition would take the batch over too, but later, or not at all if all daemons are stopping. accepting is
// how long the acceptance took.
func (r *Runner) standBy(batchID, owner string, accepting time.Duration) {
	began, delay := time.Now(), standByDelay(accepting)
	partition := r.foldOf(r.ctx, batchID, delay)
	defer partition.Follow()()
	expected := observation{partition: partition.Name(), batch: batchID, owner: owner, unchangedSince: began}
	// The owner locates its batch as well before it begins.
	locating := min(time.Since(began), locateTimeout)
	if !r.awaitSilence(partition, &expected, began.Add(locating+delay)) {
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
		reason := "no first heartbeat"
		if expected.owner == "" {
			reason = "released"
		}
		r.replaceOwner(r.ctx, expected, reason)
	}
}

// awaitSilence reports whether the owner of a batch that this daemon accepted shows no sign of life until a
// deadline. If it releases the batch, awaitSilence reports whether that has no owner takeBackDelay later;
// expected is then the batch without an owner.
func (r *Runner) awaitSilence(partition *ledger.Partition, expected *observation, until time.Time) bool {
	for {
		waiting, cancel := context.WithDeadline(r.ctx, until)
		changed := partition.Await(waiting.Done(), func() (changed bool) {
			partition.ViewBatch(expected.batch, func(b *batch.Batch) { changed = !expected.unchanged(b) })
			return changed
		})
		cancel()
		if !changed || r.ctx.Err() != nil {
			return r.ctx.Err() == nil
		}
		released, signals := false, int64(0)
		partition.ViewBatch(expected.batch, func(b *batch.Batch) {
			released, signals = b.IsOpen() && b.Owner == "" && expected.owner != "", b.LivenessSignals
		})
		if !released {
			return false
		}
		expected.owner, expected.livenessSignals, expected.unchangedSince = "", signals, time.Now()
		until = expected.unchangedSince.Add(takeBackDelay)
	}
}
