package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

// handOffTimeout is how long an item is left to the owner that released it.
const handOffTimeout = 5 * time.Second

// releaseState is how far a job's release is: begun, and its record in the journal.
type releaseState struct{ begun, recorded bool }

// startRelease releases the batch: no more items start, those under way go on.
func (j *job) startRelease(ctx context.Context) {
	j.mu.Lock()
	j.release.begun = true
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
		// The watchers take the batch over as its owner is silent.
		j.logger.Info("release not recorded", zap.Error(err))
		return
	}
	j.mu.Lock()
	j.release.recorded = true
	j.mu.Unlock()
	j.returnItems(ctx)
}

// returnItems tells the next owner of the items that this one will not finish after all, which
// would otherwise be at no replica until handOffWait is over. Nothing is given back before
// the release is recorded: the fold would not take it.
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
	err := j.r.appendWithRetry(ctx, j.partition, batch.Returned(j.submission.ID, j.r.self, items))
	j.logger.Info("items given back", zap.Ints("items", items), zap.Error(err))
}

// markReturned lets the items start that the owner before has given back. The mutex is
// held.
func (j *job) markReturned(b *batch.Batch) {
	if j.release.begun {
		return
	}
	for i, it := range j.items {
		if it.handedOff && !b.HandedOff[i] {
			it.handedOff, it.notBefore = false, time.Time{}
			j.r.WakeDispatcher()
		}
	}
}

// releaseUnstarted releases a batch that came to this daemon while its stop began, and that
// it therefore does not run: the stop itself releases what is run. The record changes
// nothing where the batch is not this daemon's.
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

// Release releases all batches: no more items are started, each batch gets a record that
// says so, and the items under way are finished. It returns when they are, or when the
// context ends.
func (r *Runner) Release(ctx context.Context) {
	r.mu.Lock()
	r.stopping.Store(true)
	r.mu.Unlock()
	for _, j := range r.jobList() {
		// Counted: a batch with nothing under way is left at once, and its record must
		// be in the journal all the same before the daemon ends.
		r.work.Go(func() { j.startRelease(ctx) })
	}
	done := make(chan struct{})
	go func() {
		r.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
