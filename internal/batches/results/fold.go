package results

import (
	"cmp"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

// What a fold says as it is now, without a read of the journal.

// pageOf returns what the fold says of a batch now.
func pageOf(partition *ledger.Partition, query Query) Page {
	var page Page
	most := cmp.Or(query.maxBytes, maxPageBytes)
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
			if query.Samples.wants(item.ID) {
				size += len(result.Text)
				if len(page.Results) > 0 && (size > most || query.Samples.isFull(len(page.Results))) {
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
			if len(items.Items) > 0 && size > cmp.Or(query.maxBytes, maxPageBytes) {
				return
			}
			items.Items = append(items.Items, b.Items[place])
		}
	})
	return items
}

// beginningOf returns where a batch begins, as far as the fold knows.
func beginningOf(partition *ledger.Partition, batchID string) (beginning Beginning) {
	beginning.Found = partition.ViewBatch(batchID, func(b *batch.Batch) { beginning.Offset = b.Offset })
	return beginning
}

// checkCoverage returns an error where the fold does not know a batch although it may exist:
// its records may have been removed before this daemon read them, while others did.
func checkCoverage(partition *ledger.Partition, batchID string) error {
	if !beginningOf(partition, batchID).Found && partition.Missed() {
		return errors.Wrap(ErrNotCaughtUp, "the partition's oldest records are gone")
	}
	return nil
}
