package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// locateTimeout is how long the query for a batch's offset is awaited alone. It is a fraction of
// minStandByDelay, so that the owner can send its first heartbeat in time even if the query gets no
// answer. The query continues beside the read of the whole partition: where the journal is late, its
// answer is late too, and still earlier than the end of a long read.
const locateTimeout = minStandByDelay / 2

// Locator finds where a batch begins.
type Locator interface {
	// Beginning returns the offset of the record that accepted the batch, in the batch's partition.
	Beginning(ctx context.Context, batchID string) (int64, error)
}

// location is the answer to a query for a batch's offset.
type location struct {
	offset int64
	err    error
}

// locate queries for a batch's offset until ctx ends.
func (r *Runner) locate(ctx context.Context, batchID string) <-chan location {
	located := make(chan location, 1)
	go func() {
		offset, err := r.locator.Beginning(ctx, batchID)
		located <- location{offset, err}
	}()
	return located
}

// foldOf returns a fold by which this daemon can follow a batch: that of the whole partition if it
// is fresh here, else one that starts at the batch, unless its offset is not known after the given
// time.
func (r *Runner) foldOf(ctx context.Context, batchID string, within time.Duration) *ledger.Partition {
	whole := r.ledger.PartitionOf(batchID)
	if whole.IsFresh() {
		return whole
	}
	bounded, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	at := <-r.locate(bounded, batchID)
	if at.err != nil {
		r.logWholeRead(batchID, whole, at.err)
		return whole
	}
	return r.ledger.NewPartitionAt(whole.Name(), at.offset)
}

// readBatch returns the fold by which this daemon runs a batch, read up to now. It is the fold of
// the whole partition if that is fresh here, else one that starts at the batch: on a slow link,
// reading megabytes of other batches first would delay the first heartbeat until the accepting
// daemon takes the batch over. While the offset of the batch is not known, the whole partition is
// read as well, and what is complete first is returned. The error wraps ledger.ErrNotCaughtUp.
func (r *Runner) readBatch(ctx context.Context, batchID string) (*ledger.Partition, error) {
	whole := r.ledger.PartitionOf(batchID)
	if whole.IsFresh() {
		return whole, whole.CatchUp(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	located := r.locate(ctx, batchID)
	timer := time.NewTimer(locateTimeout)
	defer timer.Stop()
	var read chan error // nil until the read of the whole partition begins
	readWhole := func() {
		read = make(chan error, 1)
		go func() { read <- r.wholeReads.read(ctx, whole) }()
	}
	for {
		select {
		case at := <-located:
			if at.err == nil {
				alone := r.ledger.NewPartitionAt(whole.Name(), at.offset)
				return alone, alone.CatchUp(ctx)
			}
			r.logWholeRead(batchID, whole, at.err)
			if located = nil; read == nil {
				readWhole()
			}
		case <-timer.C:
			if read == nil {
				readWhole()
			}
		case err := <-read:
			return whole, err
		}
	}
}

func (r *Runner) logWholeRead(batchID string, whole *ledger.Partition, reason error) {
	r.logger.Info("partition read from its beginning", zap.String("batch", batchID), zap.Inline(whole), zap.Error(reason))
}
