package results

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
)

// resultsHere answers from the fold of this daemon. That there are no results is said
// only after a read of the journal that was begun after the question came.
func (r *Reader) resultsHere(ctx context.Context, query Query) (Page, error) {
	began := time.Now()
	partition := r.ledger.Of(query.BatchID)
	page := lookUp(partition, query)
	switch {
	case len(page.Results) == 0:
		if page, err := awaitFold(ctx, partition, query); len(page.Results) > 0 || err != nil {
			return page, err
		}
		if err := mayDeny(partition, query.BatchID); err != nil && !query.Samples.further() {
			return Page{}, err
		}
		page = lookUp(partition, query)
	case page.Next < page.Total && time.Since(partition.LastRead()) > staleAfter:
		r.refresh(ctx, partition)
		page = lookUp(partition, query)
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

// itemHere answers from the fold of this daemon.
func (r *Reader) itemHere(ctx context.Context, query ItemQuery) (Body, error) {
	partition := r.ledger.Of(query.BatchID)
	if body := itemBody(partition, query); body.Found {
		return body, nil
	}
	if err := readToDeny(ctx, partition, query.BatchID); err != nil {
		return Body{}, err
	}
	return itemBody(partition, query), nil
}

// mayDeny returns an error where the fold does not know a batch although it may exist:
// its records may have been removed before this daemon read them, while others did.
func mayDeny(partition *ledger.Partition, batchID string) error {
	if !beginningOf(partition, batchID).Found && partition.Missed() {
		return errors.Wrap(ErrBehind, "the partition's oldest records are gone")
	}
	return nil
}

// readToDeny reads the journal up to now, after which the fold may deny what it lacks of a batch.
func readToDeny(ctx context.Context, partition *ledger.Partition, batchID string) error {
	if err := catchUp(ctx, partition); err != nil {
		return err
	}
	return mayDeny(partition, batchID)
}

// catchUp reads the journal up to now.
func catchUp(ctx context.Context, partition *ledger.Partition) error {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		return errors.Wrap(ErrBehind, err.Error())
	}
	return nil
}

// catchUpWithin reads the journal up to now, again and again for as long as the caller
// waits anyway: one that is sent away in an outage comes back after its end, one that waits
// has its answer at the end.
func catchUpWithin(ctx context.Context, partition *ledger.Partition, wait time.Duration) error {
	until := time.Now().Add(wait)
	for {
		err := catchUp(ctx, partition)
		if err == nil || ctx.Err() != nil || time.Now().Add(catchUpPause).After(until) {
			return err
		}
		periodic.Pause(ctx, catchUpPause)
	}
}

// awaitFold reads the journal up to now, or until the fold has results: of a long partition
// they may be there seconds before its end.
func awaitFold(ctx context.Context, partition *ledger.Partition, query Query) (page Page, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := async(func() (any, error) { return nil, catchUpWithin(ctx, partition, query.Wait) })
	if page, ok := awaitLookUp(partition, query, read.done); ok {
		return page, nil
	}
	return Page{}, read.err
}

// awaitResults follows the partition until there is a result or the time is up.
func awaitResults(ctx context.Context, partition *ledger.Partition, query Query, left time.Duration) Page {
	defer partition.Follow()()
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	page, _ := awaitLookUp(partition, query, bounded.Done())
	return page
}

// awaitLookUp looks until the fold has results, and reports whether it had before stop was closed.
func awaitLookUp(partition *ledger.Partition, query Query, stop <-chan struct{}) (page Page, ok bool) {
	ok = partition.Await(stop, func() bool {
		page = lookUp(partition, query)
		return len(page.Results) > 0
	})
	return page, ok
}

// lookUp returns what the fold says of a batch now.
func lookUp(partition *ledger.Partition, query Query) Page {
	var page Page
	most := cmp.Or(query.most, pageBytes)
	partition.ViewBatch(query.BatchID, func(b *batch.Batch) {
		if !b.BelongsTo(query.Tenant) {
			return
		}
		page.Found = true
		page.Total = b.Total()
		page.Next = query.After
		page.Round = query.Samples.round(b)
		size := 0
		for position := query.After; position < len(b.Results); position++ {
			result, item := b.Results[position], &b.Items[b.Results[position].Item]
			if query.Samples.want(item.ID) {
				size += len(result.Text)
				if len(page.Results) > 0 && (size > most || query.Samples.full(len(page.Results))) {
					break
				}
				page.Results = append(page.Results, query.Samples.result(item, result))
			}
			page.Next = position + 1
		}
	})
	page.readSeeds()
	return page
}

// itemBody returns the body of an item of an open batch.
func itemBody(partition *ledger.Partition, query ItemQuery) (body Body) {
	partition.ViewBatch(query.BatchID, func(b *batch.Batch) {
		if !b.BelongsTo(query.Tenant) || b.Ended {
			return
		}
		for _, item := range b.Items {
			if item.ID == query.ItemID {
				body = Body{Found: true, Bytes: item.Body}
				return
			}
		}
	})
	return body
}

// itemsHere answers from the fold of this daemon, after a read of the journal that is begun
// after the question came.
func (r *Reader) itemsHere(ctx context.Context, query ItemsQuery) (Items, error) {
	partition := r.ledger.Of(query.BatchID)
	if err := readToDeny(ctx, partition, query.BatchID); err != nil {
		return Items{}, err
	}
	return itemsOf(partition, query), nil
}

// itemsOf returns the items that the fold holds.
func itemsOf(partition *ledger.Partition, query ItemsQuery) (items Items) {
	items.Found = partition.ViewBatch(query.BatchID, func(b *batch.Batch) {
		items.Ended = b.Ended
		size := 0
		for _, place := range query.Places {
			if b.Ended || place < 0 || place >= len(b.Items) {
				return
			}
			size += len(b.Items[place].Body)
			if len(items.Items) > 0 && size > cmp.Or(query.most, pageBytes) {
				return
			}
			items.Items = append(items.Items, b.Items[place])
		}
	})
	return items
}

// beginningHere answers from the fold of this daemon.
func (r *Reader) beginningHere(ctx context.Context, query BeginningQuery) (Beginning, error) {
	partition := r.ledger.Of(query.BatchID)
	if beginning := beginningOf(partition, query.BatchID); beginning.Found {
		return beginning, nil
	}
	if err := catchUp(ctx, partition); err != nil {
		return Beginning{}, err
	}
	return beginningOf(partition, query.BatchID), nil
}

// beginningOf returns where a batch begins, as far as the fold knows.
func beginningOf(partition *ledger.Partition, batchID string) (beginning Beginning) {
	beginning.Found = partition.ViewBatch(batchID, func(b *batch.Batch) { beginning.Offset = b.Offset })
	return beginning
}
