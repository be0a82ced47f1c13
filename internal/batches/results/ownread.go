package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

// acquireColdRead takes a place in cold for a question that may read a partition from its beginning.
// The error wraps ErrBehind.
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

// budgetLeft is how many bytes this daemon may read for questions now, 0 where it has no budget.
func (r *Reader) budgetLeft() int {
	if r.budget == nil {
		return 0
	}
	return r.budget.available()
}

// reserveMissing reports whether the budget allows this daemon to read what it lacks of a partition, and
// takes that off it. How much it is shows with the first page, which is read for that.
func (r *Reader) reserveMissing(ctx context.Context, partition *ledger.Partition) bool {
	if r.budget == nil {
		return true
	}
	missing, ok := partition.Missing()
	if !ok {
		if !r.budget.takePage(r.ledger.PageBytes()) {
			return false
		}
		if err := r.readPage(ctx, partition); err != nil {
			r.logger.Info("page not read, asking the watcher", zap.Inline(partition), zap.Error(err))
			return false
		}
		missing, _ = partition.Missing()
	}
	return missing == 0 || r.budget.take(missing)
}

// readPages reads a partition whose watcher cannot be asked, page by page at the rate of the budget;
// the first page at once, unless the journal has been late; and no more once the fold is ready to
// answer. What was read counts at the next question, also where the context ends before the partition
// does. The error wraps ErrBehind.
func (r *Reader) readPages(ctx context.Context, partition *ledger.Partition, ready func() bool) error {
	for unpaced := !r.budget.recentlyLate(); ; unpaced = false {
		missing, ok := partition.Missing()
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

// readPage reads a page, and tells the budget if the journal was late with it: if it did not come
// in the time that the watcher would have had.
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

// nextPageBytes is what the next page of a partition brings at most, in bytes.
func (r *Reader) nextPageBytes(missing int, ok bool) int {
	if !ok {
		return r.ledger.PageBytes()
	}
	return min(missing, r.ledger.PageBytes())
}
