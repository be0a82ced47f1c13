package runner

import (
	"context"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// locateTimeout bounds the query for a batch's offset. It is a fraction of minStandByDelay, so that
// the owner can send its first heartbeat in time even if the query gets no answer.
const locateTimeout = minStandByDelay / 2

// Locator finds where a batch begins.
type Locator interface {
	// Beginning returns the offset of the record that accepted the batch, in the batch's partition.
	Beginning(ctx context.Context, batchID string) (int64, error)
}

// foldOf returns the fold by which this daemon runs a batch. It is the fold of the whole partition
// if that is fresh here, else one that starts at the batch: on a slow link, reading megabytes of
// other batches first would delay the first heartbeat until the accepting daemon takes the batch
// over.
func (r *Runner) foldOf(ctx context.Context, batchID string) *ledger.Partition {
	whole := r.ledger.PartitionOf(batchID)
	if whole.IsFresh() {
		return whole
	}
	bounded, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	offset, err := r.locator.Beginning(bounded, batchID)
	if err != nil {
		r.logger.Info("partition read from its beginning", zap.String("batch", batchID), zap.Inline(whole),
			zap.Error(err))
		return whole
	}
	return r.ledger.NewPartitionAt(whole.Name(), offset)
}
