package results

// The types of this file go between daemons over net/rpc, whose gob encodes exported fields by
// their Go names, embedded ones included: those names stay. Fields that are not exported stay
// on this daemon.

import (
	"time"

	"woodworks/internal/batches/batch"
)

// Query asks for the results of a batch, or for samples of a round, from a position on.
type Query struct {
	BatchID string
	// Tenant is whose caller asks: batches of others do not exist for it.
	Tenant string
	// After is the first position wanted, counted from 0.
	After int
	// Wait is how long the question may be kept open until there is a result.
	Wait time.Duration
	// Samples, if not nil, narrows the query to samples of a round.
	Samples *Samples
	// maxBytes bounds the texts of the page, in bytes; 0 is pageBytes.
	maxBytes int
}

// Page is a part of a batch's results.
type Page struct {
	// Found says that the batch exists.
	Found bool
	// Total is how many items the batch has.
	Total int
	// Next is the position after the last one of this page.
	Next    int
	Results []Result
	// Round is of the samples' round, for a query for samples.
	Round Round
}

// Result is a result with the id of its item.
type Result struct {
	ItemID string
	batch.Result
	// Group and Seed are those of the item, which a query for samples has.
	Group string
	Seed  uint64
	// body is the item's.
	body []byte
}

// Body is the body of an item that is not listed yet.
type Body struct {
	Found bool
	Bytes []byte
}

// ItemQuery asks for the body of an item. Tenant is whose caller asks.
type ItemQuery struct{ BatchID, Tenant, ItemID string }

// ItemsQuery asks for items of a batch by their places in its submission.
type ItemsQuery struct {
	BatchID string
	Places  []int
	// maxBytes bounds the bodies of the answer, in bytes; 0 is pageBytes.
	maxBytes int
}

// Items are the first of the items asked for, at least one of a batch that is open.
type Items struct {
	Found bool
	// Ended says that the batch was ended, and that there are no items of it any more.
	Ended bool
	Items []batch.Item
}

// BeginningQuery asks where a batch begins in its partition.
type BeginningQuery struct{ BatchID string }

// Beginning is the offset of the first record about a batch.
type Beginning struct {
	Found  bool
	Offset int64
}
