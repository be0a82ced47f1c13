package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// acquireColdRead takes a slot of coldReads, waiting for it at most catchUpTimeout. After a nil
// error, the caller must give the slot back. An error wraps ErrNotCaughtUp.
func (r *Reader) acquireColdRead(ctx context.Context) error {
	timer := time.NewTimer(catchUpTimeout)
	defer timer.Stop()
	select {
	case r.coldReads <- struct{}{}:
		return nil
	case <-timer.C:
		return errors.Wrap(ErrNotCaughtUp, "other partitions are being read")
	case <-ctx.Done():
		return errors.Wrap(ErrNotCaughtUp, ctx.Err().Error())
	}
}

// budgetLeft returns how many bytes this daemon may read for queries now, 0 if it has no budget.
func (r *Reader) budgetLeft() int {
	if r.budget == nil {
		return 0
	}
	return r.budget.available()
}

// reserveMissing takes the bytes of a partition that the fold lacks off the budget, and reports
// whether the budget covered them. If nothing of the partition has been read, reserveMissing first
// reads one page within the budget to learn how much is missing.
func (r *Reader) reserveMissing(ctx context.Context, partition *ledger.Partition) bool {
	if r.budget == nil {
		return true
	}
	missing, ok := partition.MissingBytes()
	if !ok {
		if !r.budget.takePage(r.ledger.MaxPageBytes()) {
			return false
		}
		if err := r.readPage(ctx, partition); err != nil {
			r.logger.Info("page not read, asking the watcher", zap.Inline(partition), zap.Error(err))
			return false
		}
		missing, _ = partition.MissingBytes()
	}
	return missing == 0 || r.budget.take(missing)
}

// readPages reads a partition page by page at the rate of the budget, until the fold is complete or
// ready reports true. The first page is read at once, unless the journal was late recently. Pages
// that were read stay in the fold, so that a query that times out helps the next one. The error
// wraps ErrNotCaughtUp.
func (r *Reader) readPages(ctx context.Context, partition *ledger.Partition, ready func() bool) error {
	for unpaced := !r.budget.recentlyLate(); ; unpaced = false {
		missing, ok := partition.MissingBytes()
		if ok && missing == 0 || ready() {
			return nil
		}
		if !unpaced {
			if err := r.budget.await(ctx, r.nextPageBytes(missing, ok)); err != nil {
				return errors.Wrap(ErrNotCaughtUp, err.Error())
			}
		}
		if err := r.readPage(ctx, partition); err != nil {
			return err
		}
	}
}

// readPage reads a page. A read that fails after watcherTimeout or more counts as late and reduces
// the budget. The error wraps ErrNotCaughtUp.
func (r *Reader) readPage(ctx context.Context, partition *ledger.Partition) error {
	began := time.Now()
	err := partition.ReadPage(ctx)
	if err == nil {
		return nil
	}
	if time.Since(began) >= watcherTimeout {
		r.budget.noteLate()
	}
	return errors.Wrap(ErrNotCaughtUp, err.Error())
}

// nextPageBytes returns the maximum size of the next page of a partition, given what
// Partition.MissingBytes returned.
func (r *Reader) nextPageBytes(missing int, ok bool) int {
	if !ok {
		return r.ledger.MaxPageBytes()
	}
	return min(missing, r.ledger.MaxPageBytes())
}
