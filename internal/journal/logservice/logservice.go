// Package logservice implements the client and the HTTP handler of the woodworks log service: a
// partitioned log with conditional appends, newest records by key, and groups.
//
// Client is a journal.Journal that calls the service. Handler serves any journal.Journal over the
// same protocol; tests use it with an in-memory journal.
//
// Errors are those of package journal. A refusal states that the call had no effect; the outcome
// of a call without an answer is unknown.
//
// # Usage
//
//	log := logservice.New(address, localAddress, journal.Limits{Partitions: 8})
//	appended, err := log.Append(ctx, journal.Append{Partition: p, Records: records})
//
// # Protocol
//
// Each call is a POST of one CBOR value to /v1/log/NAME, where NAME is append, read, newest,
// join, leave or owners. A successful call is answered with status 200 and a CBOR value, any
// other with another status and a [refusal].
package logservice

import (
	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

const pathPrefix = "/v1/log/"

// Names of the calls in the protocol.
const (
	callAppend = "append"
	callRead   = "read"
	callNewest = "newest"
	callJoin   = "join"
	callLeave  = "leave"
	callOwners = "owners"
)

const contentType = "application/cbor"

// newestRequest is the request of callNewest: a page of newest records with the keys after
// AfterKey.
type newestRequest struct {
	Partition journal.Partition `cbor:"Partition"`
	AfterKey  string            `cbor:"AfterKey"`
}

// memberRequest is the request of callLeave and of callOwners. Member is empty in a request of
// callOwners.
type memberRequest struct {
	Group  string `cbor:"Group"`
	Member string `cbor:"Member"`
}

// reason is the machine-readable reason of a refusal.
type reason string

const (
	reasonNotDone  reason = "not_done"
	reasonPosition reason = "position"
	reasonTrimmed  reason = "trimmed"
)

// refusal is the body of answers with a status other than 200.
type refusal struct {
	Reason reason `cbor:"Reason"`
	// First is the oldest offset that still exists, if Reason is reasonTrimmed.
	First int64  `cbor:"First"`
	Text  string `cbor:"Text"`
}

// refusalOf converts an error of a journal to a refusal. It returns false if the error leaves the
// outcome unknown; such a call must not be answered.
func refusalOf(err error) (refusal, bool) {
	var trimmed *journal.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return refusal{Reason: reasonTrimmed, First: trimmed.First, Text: err.Error()}, true
	case errors.Is(err, journal.ErrPosition):
		return refusal{Reason: reasonPosition, Text: err.Error()}, true
	case errors.Is(err, journal.ErrNotDone):
		return refusal{Reason: reasonNotDone, Text: err.Error()}, true
	default:
		return refusal{}, false
	}
}

// error converts a refusal back to the journal's error.
func (r refusal) error() error {
	switch r.Reason {
	case reasonTrimmed:
		return &journal.TrimmedError{First: r.First}
	case reasonPosition:
		return errors.Wrap(journal.ErrPosition, r.Text)
	case reasonNotDone:
		return errors.Wrap(journal.ErrNotDone, r.Text)
	default:
		return errors.Wrapf(journal.ErrUnknown, "refused as %q: %s", r.Reason, r.Text)
	}
}
