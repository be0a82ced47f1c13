package results

import (
	"cmp"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

// The functions of this file answer from the fold as it is, without a read of the journal.

// pageOf returns the page of results that the fold holds for the query, at most query.maxBytes of
// texts but at least one result if there is any, and at most query.Samples.Limit results. A batch
// of another tenant is not found.
func pageOf(partition *ledger.Partition, query Query) Page {
	var page Page
	maxBytes := cmp.Or(query.maxBytes, maxPageBytes)
	partition.ViewBatch(query.BatchID, func(b *batch.Batch) {
		if !b.BelongsTo(query.Tenant) {
			return
		}
		page.Found = true
		page.Total = b.ItemCount()
		page.Next = query.After
		page.Round = query.Samples.round(b)
		size := 0
		for position := query.After; position < len(b.Results); position++ {
			result, item := b.Results[position], &b.Items[b.Results[position].Item]
			if query.Samples.wants(item.ID) {
				size += len(result.Text)
				if len(page.Results) > 0 && (size > maxBytes || query.Samples.isFull(len(page.Results))) {
					break
				}
				page.Results = append(page.Results, query.Samples.resultOf(item, result))
			}
			page.Next = position + 1
		}
	})
	page.readSeeds()
	return page
}

// itemBody returns the body of an item, which the fold holds until the batch ends. A batch of
// another tenant is not found.
func itemBody(partition *ledger.Partition, query ItemQuery) (body Body) {
	partition.ViewBatch(query.BatchID, func(b *batch.Batch) {
		if !b.BelongsTo(query.Tenant) || b.HasEnded() {
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

// itemsOf returns the items at the places of the query, from the first on, as many as fit in
// query.maxBytes but at least one. It stops at a place that the batch does not have.
func itemsOf(partition *ledger.Partition, query ItemsQuery) (items Items) {
	items.Found = partition.ViewBatch(query.BatchID, func(b *batch.Batch) {
		items.Ended = b.HasEnded()
		size := 0
		for _, place := range query.Places {
			if b.HasEnded() || place < 0 || place >= len(b.Items) {
				return
			}
			size += len(b.Items[place].Body)
			if len(items.Items) > 0 && size > cmp.Or(query.maxBytes, maxPageBytes) {
				return
			}
			items.Items = append(items.Items, b.Items[place])
		}
	})
	return items
}

// beginningOf returns the offset of the first record of a batch, if the fold holds the batch.
func beginningOf(partition *ledger.Partition, batchID string) (beginning Beginning) {
	beginning.Found = partition.ViewBatch(batchID, func(b *batch.Batch) { beginning.Offset = b.Offset })
	return beginning
}

// checkCoverage returns an error if the fold does not hold the batch although the batch may exist:
// the journal may have removed the batch's records before this daemon read them, while other
// daemons still hold the batch. The error wraps ErrNotCaughtUp.
func checkCoverage(partition *ledger.Partition, batchID string) error {
	if !beginningOf(partition, batchID).Found && partition.HasGap() {
		return errors.Wrap(ErrNotCaughtUp, "the partition's oldest records are gone")
	}
	return nil
}
