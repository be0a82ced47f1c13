package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
)

// resultsFromFold answers with a page of results from this daemon's fold. The page is empty, or
// denies the batch, only after a read of the journal that began after the call. If the batch has no
// result at the position yet, it waits for one up to query.Wait.
func (r *Reader) resultsFromFold(ctx context.Context, query Query) (Page, error) {
	began := time.Now()
	partition := r.ledger.PartitionOf(query.BatchID)
	page := pageOf(partition, query)
	switch {
	case len(page.Results) == 0:
		if page, err := catchUpUntilResults(ctx, partition, query); len(page.Results) > 0 || err != nil {
			return page, err
		}
		if err := checkCoverage(partition, query.BatchID); err != nil && !query.Samples.isFurther() {
			return Page{}, err
		}
		page = pageOf(partition, query)
	case page.Next < page.Total && time.Since(partition.LastReadToEnd()) > maxFoldAge:
		r.refresh(ctx, partition)
		page = pageOf(partition, query)
	}
	left := query.Wait - time.Since(began)
	if page.Found && len(page.Results) == 0 && left > 0 && query.After < page.Total {
		page = awaitResults(ctx, partition, query, left)
	}
	return page, nil
}

// refresh reads the journal up to now, for at most refreshTimeout. An error is only logged: the
// results that the fold holds stay true, though more may exist.
func (r *Reader) refresh(ctx context.Context, partition *ledger.Partition) {
	bounded, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		r.logger.Debug("answered from an older fold", zap.Inline(partition), zap.Error(err))
	}
}

// itemFromFold answers with the body of an item from this daemon's fold. It reads the journal up to
// now before it denies the item.
func (r *Reader) itemFromFold(ctx context.Context, query ItemQuery) (Body, error) {
	partition := r.ledger.PartitionOf(query.BatchID)
	if body := itemBody(partition, query); body.Found {
		return body, nil
	}
	if err := catchUpAndCheckCoverage(ctx, partition, query.BatchID); err != nil {
		return Body{}, err
	}
	return itemBody(partition, query), nil
}

// itemsFromFold answers with items of a batch from this daemon's fold, always after a read of the
// journal that began after the call: the batch may have ended meanwhile.
func (r *Reader) itemsFromFold(ctx context.Context, query ItemsQuery) (Items, error) {
	partition := r.ledger.PartitionOf(query.BatchID)
	if err := catchUpAndCheckCoverage(ctx, partition, query.BatchID); err != nil {
		return Items{}, err
	}
	return itemsOf(partition, query), nil
}

// beginningFromFold answers with the offset of a batch from this daemon's fold. If the fold does not
// hold the batch, it reads the journal up to now, and answers as soon as the fold holds it: the read
// of a follower may bring the batch first.
func (r *Reader) beginningFromFold(ctx context.Context, query BeginningQuery) (Beginning, error) {
	partition := r.ledger.PartitionOf(query.BatchID)
	beginning := beginningOf(partition, query.BatchID)
	if beginning.Found {
		return beginning, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := async(func() (any, error) { return nil, catchUp(ctx, partition) })
	found := partition.Await(read.done, func() bool {
		beginning = beginningOf(partition, query.BatchID)
		return beginning.Found
	})
	if found {
		return beginning, nil
	}
	return beginningOf(partition, query.BatchID), read.err
}

// catchUpAndCheckCoverage reads the journal up to now. If it returns nil, anything of the batch
// that the fold does not hold does not exist. The error wraps ErrNotCaughtUp.
func catchUpAndCheckCoverage(ctx context.Context, partition *ledger.Partition, batchID string) error {
	if err := catchUp(ctx, partition); err != nil {
		return err
	}
	return checkCoverage(partition, batchID)
}

// catchUp reads the journal up to now, for at most catchUpTimeout. The error wraps ErrNotCaughtUp.
func catchUp(ctx context.Context, partition *ledger.Partition) error {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		return errors.Wrap(ErrNotCaughtUp, err.Error())
	}
	return nil
}

// catchUpWithRetries reads the journal up to now. It repeats a failed read for up to wait, the
// time for which the query may be kept open, so that a long poll during an outage is answered when
// the outage ends.
func catchUpWithRetries(ctx context.Context, partition *ledger.Partition, wait time.Duration) error {
	until := time.Now().Add(wait)
	for {
		err := catchUp(ctx, partition)
		if err == nil || ctx.Err() != nil || time.Now().Add(catchUpRetryDelay).After(until) {
			return err
		}
		periodic.Pause(ctx, catchUpRetryDelay)
	}
}

// catchUpUntilResults reads the journal up to now. It returns a page as soon as the fold has
// results for the query, as reading the rest of a long partition may take seconds. If the read
// ends without results, the page is empty and the error is that of the read.
func catchUpUntilResults(ctx context.Context, partition *ledger.Partition, query Query) (page Page, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := async(func() (any, error) { return nil, catchUpWithRetries(ctx, partition, query.Wait) })
	if page, ok := awaitPage(partition, query, read.done); ok {
		return page, nil
	}
	return Page{}, read.err
}

// awaitResults follows the partition until the fold has results for the query, for at most left.
// It returns the page that the fold holds at the end of the wait, which may be empty.
func awaitResults(ctx context.Context, partition *ledger.Partition, query Query, left time.Duration) Page {
	defer partition.Follow()()
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	page, _ := awaitPage(partition, query, bounded.Done())
	return page
}

// awaitPage waits until the fold has results for the query or stop is closed. It returns the page,
// and reports whether it has results.
func awaitPage(partition *ledger.Partition, query Query, stop <-chan struct{}) (page Page, ok bool) {
	ok = partition.Await(stop, func() bool {
		page = pageOf(partition, query)
		return len(page.Results) > 0
	})
	return page, ok
}
