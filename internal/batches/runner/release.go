package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

const (
	// handOffTimeout is how long a new owner leaves an item to the owner that released the batch, which
	// sends heartbeats meanwhile.
	handOffTimeout = 5 * time.Second
	// handOffSilence is how long that owner may send none: it has ended, and the item is at no replica.
	handOffSilence = 2 * time.Second
	// unsignalledHandOff applies in place of both while it has sent none: it may be of an earlier version.
	unsignalledHandOff = 4 * time.Second
)

// releaseState says whether the release of a job's batch has begun, whether it is recorded in the journal,
// and whether the job waits for the next owner, so that it can take the batch back.
type releaseState struct{ begun, recorded, waits bool }

// startRelease releases the batch: no more items start, and those in progress continue. It returns
// once the release is recorded or ctx ends.
func (j *job) startRelease(ctx context.Context) {
	j.mu.Lock()
	j.release.begun, j.release.waits = true, j.r.group != nil
	var handedOff []int
	for _, it := range j.items {
		it.handedOff = it.inProgress()
		if it.handedOff {
			handedOff = append(handedOff, it.index)
		}
	}
	j.mu.Unlock()
	j.logger.Info("batch released", zap.Int("under_way", len(handedOff)))
	record := batch.Released(j.submission.ID, j.r.self, handedOff)
	if err := j.r.appendWithRetry(ctx, j.partition, record); err != nil {
		// The watchers take the batch over once its owner is silent.
		j.logger.Info("release not recorded", zap.Error(err))
		return
	}
	j.mu.Lock()
	j.release.recorded = true
	j.mu.Unlock()
	j.returnItems(ctx)
}

// returnItems tells the next owner which handed-off items have failed here, so that the next owner
// does not wait for handOffTimeout before it starts them. It does nothing before the release is
// recorded, since the fold would ignore the record of the returned items.
func (j *job) returnItems(ctx context.Context) {
	j.mu.Lock()
	var items []int
	for _, it := range j.items {
		if j.release.recorded && it.handedOff && it.state == itemWaiting {
			it.handedOff = false
			items = append(items, it.index)
		}
	}
	j.mu.Unlock()
	if len(items) == 0 {
		return
	}
	err := j.r.appendWithRetry(ctx, j.partition, batch.ItemsReturned(j.submission.ID, j.r.self, items))
	j.logger.Info("items given back", zap.Ints("items", items), zap.Error(err))
}

// markReturned lets the job start the items that the releasing owner has returned, and returns what
// that owner's quarantine recorded of their contents. The mutex is held; it must be held until the
// result has been merged.
func (j *job) markReturned(b *batch.Batch) (suspected [][]byte) {
	if j.release.begun {
		return nil
	}
	j.observeHandOff(b, time.Now())
	for i, it := range j.items {
		if it.handedOff && !b.HandedOffItems[i] {
			it.handedOff, it.notBefore = false, time.Time{}
			it.failures = b.Failures[i]
			if entry := b.Suspected[i]; entry != nil {
				suspected = append(suspected, entry)
			}
			j.r.WakeDispatcher()
		}
	}
	return suspected
}

// observeHandOff leaves the handed-off items to the owner that released the batch for as long as its
// heartbeats come, up to handOffTimeout. The mutex is held.
func (j *job) observeHandOff(b *batch.Batch, now time.Time) {
	if b.HandOffSignals == j.handOffSignals {
		return
	}
	j.handOffSignals = b.HandOffSignals
	until := earlier(now.Add(handOffSilence), j.adoptedAt.Add(handOffTimeout))
	for _, it := range j.items {
		if it.handedOff {
			it.notBefore = until
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// releaseUnstarted releases a batch that this daemon came to own as it stopped and
// therefore does not run; those that run are released by Release or as they begin. The record has no effect if
// the batch has another owner.
func (r *Runner) releaseUnstarted(partition *ledger.Partition, batchID string) {
	r.mu.Lock()
	_, runs := r.jobs[batchID]
	unstarted := r.stopping.Load() && !runs
	r.mu.Unlock()
	if !unstarted {
		return
	}
	err := r.appendWithRetry(r.ctx, partition, batch.Released(batchID, r.self, nil))
	r.logger.Info("batch released unstarted", zap.String("batch", batchID), zap.Error(err))
}

// Release stops the runner: it accepts no more batches, records the release of each one once there is a
// successor, starts no more items from then on and waits until those in progress are finished or ctx
// ends.
func (r *Runner) Release(ctx context.Context) {
	r.mu.Lock()
	r.stopCtx = ctx
	r.stopping.Store(true)
	jobs := slices.Collect(maps.Values(r.jobs))
	r.mu.Unlock()
	if len(jobs) > 0 {
		r.awaitSuccessor(ctx)
	}
	for _, j := range jobs {
		// Counted as work: the job of a batch without items in progress ends at once, but its
		// record must be in the journal before the daemon ends.
		r.work.start(func() { r.releaseJob(ctx, j) })
	}
	select {
	case <-r.work.drain():
	case <-ctx.Done():
	}
}
