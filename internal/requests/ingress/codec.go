package ingress

import (
	"net/http"
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/results"
)

// CallKind says what a call about a batch asks for.
type CallKind int

// Calls about batches.
const (
	// ReadResults asks for the results from a position on.
	ReadResults CallKind = iota + 1
	// ReadItem asks for the body of an item.
	ReadItem
	// EndBatch ends a batch.
	EndBatch
)

// BatchCall is a call about a batch that exists.
type BatchCall struct {
	Kind    CallKind
	BatchID string
	// After is the first position wanted.
	After int
	// ItemID names the item wanted.
	ItemID string
	// Wait is how long the call may be held until there is a result.
	Wait time.Duration
}

// Codec reads and writes calls as the platform spells them.
type Codec interface {
	// ParseCall recognises a call about a batch. The error names the wrong
	// field of a call that is one.
	ParseCall(request *http.Request) (call BatchCall, recognised bool, err error)
	// DecodeSubmission reads a batch; the error names the wrong field.
	DecodeSubmission(body []byte) (*batch.Submission, error)
	EncodeResults(page results.Page) ([]byte, error)
	EncodeError(text string) []byte
}
