package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
)

// resultsFromFold answers from the fold of this daemon. That there are no results is said
// only after a read of the journal that was begun after the question came.
func (r *Reader) resultsFromFold(ctx context.Context, query Query) (Page, error) {
	began := time.Now()
	partition := r.ledger.Of(query.BatchID)
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
	case page.Next < page.Total && time.Since(partition.LastRead()) > maxFoldAge:
		r.refresh(ctx, partition)
		page = pageOf(partition, query)
	}
	left := query.Wait - time.Since(began)
	if page.Found && len(page.Results) == 0 && left > 0 && query.After < page.Total {
		page = awaitResults(ctx, partition, query, left)
	}
	return page, nil
}

// refresh reads the journal up to now if it answers soon. There may be more results by
// now, but those known are true all the same.
func (r *Reader) refresh(ctx context.Context, partition *ledger.Partition) {
	bounded, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		r.logger.Debug("answered from an older fold", zap.Inline(partition), zap.Error(err))
	}
}

func (r *Reader) itemFromFold(ctx context.Context, query ItemQuery) (Body, error) {
	partition := r.ledger.Of(query.BatchID)
	if body := itemBody(partition, query); body.Found {
		return body, nil
	}
	if err := catchUpAndCheckCoverage(ctx, partition, query.BatchID); err != nil {
		return Body{}, err
	}
	return itemBody(partition, query), nil
}

// itemsFromFold answers from the fold of this daemon, after a read of the journal that is begun
// after the question came.
func (r *Reader) itemsFromFold(ctx context.Context, query ItemsQuery) (Items, error) {
	partition := r.ledger.Of(query.BatchID)
	if err := catchUpAndCheckCoverage(ctx, partition, query.BatchID); err != nil {
		return Items{}, err
	}
	return itemsOf(partition, query), nil
}

func (r *Reader) beginningFromFold(ctx context.Context, query BeginningQuery) (Beginning, error) {
	partition := r.ledger.Of(query.BatchID)
	if beginning := beginningOf(partition, query.BatchID); beginning.Found {
		return beginning, nil
	}
	if err := catchUp(ctx, partition); err != nil {
		return Beginning{}, err
	}
	return beginningOf(partition, query.BatchID), nil
}

// catchUpAndCheckCoverage reads the journal up to now, after which the fold may deny what it lacks of a batch.
func catchUpAndCheckCoverage(ctx context.Context, partition *ledger.Partition, batchID string) error {
	if err := catchUp(ctx, partition); err != nil {
		return err
	}
	return checkCoverage(partition, batchID)
}

// catchUp reads the journal up to now.
func catchUp(ctx context.Context, partition *ledger.Partition) error {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		return errors.Wrap(ErrNotCaughtUp, err.Error())
	}
	return nil
}

// catchUpWithRetries reads the journal up to now, again and again for as long as the caller
// waits anyway: one that is sent away in an outage comes back after its end, one that waits
// has its answer at the end.
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

// catchUpUntilResults reads the journal up to now, or until the fold has results: of a long partition
// they may be there seconds before its end.
func catchUpUntilResults(ctx context.Context, partition *ledger.Partition, query Query) (page Page, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := async(func() (any, error) { return nil, catchUpWithRetries(ctx, partition, query.Wait) })
	if page, ok := awaitPage(partition, query, read.done); ok {
		return page, nil
	}
	return Page{}, read.err
}

// awaitResults follows the partition until there is a result or the time is up.
func awaitResults(ctx context.Context, partition *ledger.Partition, query Query, left time.Duration) Page {
	defer partition.Follow()()
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	page, _ := awaitPage(partition, query, bounded.Done())
	return page
}

// awaitPage looks until the fold has results, and reports whether it had before stop was closed.
func awaitPage(partition *ledger.Partition, query Query, stop <-chan struct{}) (page Page, ok bool) {
	ok = partition.Await(stop, func() bool {
		page = pageOf(partition, query)
		return len(page.Results) > 0
	})
	return page, ok
}
