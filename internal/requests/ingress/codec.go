package ingress

import (
	"net/http"
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/results"
)

// CallKind is the operation that a BatchCall requests.
type CallKind int

// Operations on batches.
const (
	// ReadResults returns the results from a position on.
	ReadResults CallKind = iota + 1
	// ReadItem returns the body of an item.
	ReadItem
	// EndBatch ends the batch.
	EndBatch
)

// BatchCall is a client's call about an existing batch.
type BatchCall struct {
	Kind    CallKind
	BatchID string
	// After is the position of the first result to return, counted from 0.
	After int
	// ItemID is the item to return.
	ItemID string
	// Wait is how long the call may wait for a result (long poll).
	Wait time.Duration
}

// Codec parses calls and encodes answers in the platform's wire format.
type Codec interface {
	// ParseCall parses a call about a batch. If the request is not such a call, recognised is
	// false. If it is one, but an invalid one, recognised is true and the error names the
	// invalid field.
	ParseCall(request *http.Request) (call BatchCall, recognised bool, err error)
	// DecodeSubmission decodes the body of a request that submits a batch. The error names the
	// invalid field.
	DecodeSubmission(body []byte) (*batch.Submission, error)
	// EncodeResults encodes the answer to ReadResults.
	EncodeResults(page results.Page) ([]byte, error)
	// EncodeError encodes the body of a refusal.
	EncodeError(text string) []byte
}
