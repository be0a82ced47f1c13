package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
)

// closedBatchTTL is the time for which a daemon that found a batch closed does not adopt it again.
// It exceeds the maximum age of the watcher's fold, which may lack the record that closed the
// batch.
const closedBatchTTL = 2 * heartbeatTimeout

// AdoptAssigned starts a batch if this daemon owns it according to the batch's fold, after reading
// the fold's partition to its end. It retries while the journal can't be read. If the runner has
// stopped, AdoptAssigned releases the batch instead.
func (r *Runner) AdoptAssigned(batchID string) {
	whole := r.ledger.PartitionOf(batchID)
	if !r.work.begin() {
		// The daemon that assigned the batch did not know that this one has stopped.
		r.releaseUnstarted(whole, batchID)
		return
	}
	defer r.work.end()
	defer r.releaseUnstarted(whole, batchID)
	for r.ctx.Err() == nil {
		if partition, err := r.readBatch(r.ctx, batchID); err == nil {
			r.adopt(partition, batchID)
			return
		}
		periodic.Pause(r.ctx, journalRetryDelay) // the ledger logs failed calls to the journal
	}
}

// TakeOver makes this daemon the owner of a batch in place of the daemon from, or of a released
// batch if from is "", and starts the batch. If from is no longer the owner, TakeOver has no
// effect and returns nil. The error is ErrStopping or wraps ErrUnknown.
func (r *Runner) TakeOver(ctx context.Context, batchID, from string) error {
	if r.stopping.Load() {
		return ErrStopping
	}
	return r.takeOver(ctx, batchID, from)
}

// takeOver is TakeOver, also while the runner is stopping: the batch is then released once there is a
// successor.
func (r *Runner) takeOver(ctx context.Context, batchID, from string) error {
	if !r.work.begin() {
		return ErrStopping
	}
	defer r.work.end()
	whole := r.ledger.PartitionOf(batchID)
	defer r.releaseUnstarted(whole, batchID)
	if err := whole.Append(ctx, batch.TakenOver(batchID, from, r.self)); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	partition, err := r.readBatch(ctx, batchID)
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	r.adopt(partition, batchID)
	return nil
}

// adopt starts a batch if the fold says that it is open and owned by this daemon, unless the batch
// runs here or was recently closed here. The job follows the batch by the same fold, and Release
// waits for the job. A job that begins while the runner is stopping is released once there is a
// successor: where all daemons stop, nobody else would run it.
func (r *Runner) adopt(partition *ledger.Partition, batchID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[batchID] != nil || r.closedBatches[batchID] || r.ctx.Err() != nil || !r.work.begin() {
		return
	}
	defer r.work.end()
	var j *job
	var suspected [][]byte
	partition.ViewBatch(batchID, func(b *batch.Batch) {
		if b.IsOpen() && b.Owner == r.self {
			j = newJob(r, partition, b)
			suspected = slices.Collect(maps.Values(b.Suspected))
		}
	})
	if j == nil {
		return
	}
	j.mergeSuspicions(suspected, takeoverWait)
	j.logOwned()
	r.jobs[batchID] = j
	r.work.start(func() {
		j.run()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.jobs, batchID)
		r.recordClosed(j)
	})
	if r.stopping.Load() {
		r.work.start(func() {
			r.awaitSuccessor(r.stopCtx)
			r.releaseJob(r.stopCtx, j)
		})
	}
	r.WakeDispatcher()
}

// recordClosed prevents the batch of an ended job from being adopted again if the job's fold, which
// may be ahead of other folds, says that it is closed. The mutex is held.
func (r *Runner) recordClosed(j *job) {
	batchID, open := j.submission.ID, true
	j.partition.ViewBatch(batchID, func(b *batch.Batch) { open = b.IsOpen() })
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
