package results

// The types of this file are arguments and replies of net/rpc. Its encoding, gob, uses the Go names
// of exported fields, embedded ones included, so those names must not change. Unexported fields are
// not sent.

import (
	"time"

	"woodworks/internal/batches/batch"
)

// Query asks for a page of the results of a batch or, if Samples is set, of the samples of a round.
type Query struct {
	BatchID string
	// Tenant is the tenant of the caller. Batches of other tenants are not found.
	Tenant string
	// After is the first position wanted, counted from 0 in the order in which results were listed.
	After int
	// Wait is how long the query may be kept open until there is a result.
	Wait time.Duration
	// Samples narrows the query to samples of a round; nil is for all results of a batch.
	Samples *Samples
	// maxBytes bounds the texts of the page; 0 means maxPageBytes.
	maxBytes int
}

// Page is a range of a batch's results.
type Page struct {
	// Found reports whether the batch exists for the tenant of the query.
	Found bool
	// Total is the number of items of the batch.
	Total int
	// Next is the After of a query for the next page.
	Next    int
	Results []Result
	// Round describes the round, in the answer to a query for samples.
	Round Round
}

// Result is an item's result together with the item's id.
type Result struct {
	ItemID string
	batch.Result
	// Group and Seed are those of the item. They are set only in the answer to a query for samples.
	Group string
	Seed  uint64
	// body is the item's body, from which Seed is read.
	body []byte
}

// Body is the body of an item. Found is false if the batch has no such item or has ended.
type Body struct {
	Found bool
	Bytes []byte
}

// ItemQuery asks for the body of an item. Tenant is the tenant of the caller.
type ItemQuery struct{ BatchID, Tenant, ItemID string }

// ItemsQuery asks for items of a batch by their indexes in its submission.
type ItemsQuery struct {
	BatchID string
	Places  []int
	// maxBytes bounds the bodies of the answer; 0 means maxPageBytes.
	maxBytes int
}

// Items holds the items that an ItemsQuery asks for, from the first on, as many as fit in an
// answer. It has at least one item if the batch is open and has the first one. Found reports
// whether the batch exists.
type Items struct {
	Found bool
	// Ended reports that the batch has ended, so that its items are no longer available.
	Ended bool
	Items []batch.Item
}

// BeginningQuery asks for the offset at which a batch begins in its partition.
type BeginningQuery struct{ BatchID string }

// Beginning is the offset of the first record of a batch. Found reports whether the batch is known.
type Beginning struct {
	Found  bool
	Offset int64
}
