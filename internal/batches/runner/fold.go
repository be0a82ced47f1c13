package runner

import (
	"context"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// locateTimeout bounds the question where a batch begins: a part of standByWait, within which
// the owner must begin also where nobody answers.
const locateTimeout = minStandByDelay / 2

// Locator tells at which offset a batch begins in its partition.
type Locator interface {
	Beginning(ctx context.Context, batchID string) (int64, error)
}

// foldOf returns the fold by which this daemon runs a batch: that of the whole partition if
// it is fresh here, else one that begins with the batch: a new owner on a weak link that reads
// megabytes of other batches first does not begin before the daemon that accepted the batch
// takes it for gone.
func (r *Runner) foldOf(ctx context.Context, batchID string) *ledger.Partition {
	whole := r.ledger.Of(batchID)
	if whole.Fresh() {
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
	return r.ledger.From(whole.Name(), offset)
}
