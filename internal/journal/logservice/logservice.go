// Package logservice is the product's own log service over HTTP: a partitioned
// log with conditional appends, newest values by key, and groups.
//
// Client speaks to the service and is a journal.Journal. Handler serves any
// journal under the same protocol, so that the stand-in of the service is a
// journal in memory behind a listener.
//
// Its errors are those of package journal, which a journal promises: what a refusal says was
// certainly not done, and the outcome of a call without an answer is unknown.
//
// # Usage
//
//	log := logservice.New(address, localAddress, journal.Shape{Partitions: 8})
//	appended, err := log.Append(ctx, journal.Append{Partition: p, Records: records})
//
// # Protocol
//
// Each call is a POST of one CBOR value to /v1/log/NAME, where NAME is append,
// read, newest, join, leave or owners. The answer is 200 with a CBOR value. Any
// other status carries a [refusal].
package logservice

import (
	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

const pathPrefix = "/v1/log/"

// The calls of the protocol.
const (
	callAppend = "append"
	callRead   = "read"
	callNewest = "newest"
	callJoin   = "join"
	callLeave  = "leave"
	callOwners = "owners"
)

const contentType = "application/cbor"

// newestRequest asks for the newest records of a keyed partition.
type newestRequest struct {
	Partition journal.Partition `cbor:"Partition"`
	AfterKey  string            `cbor:"AfterKey"`
}

// memberRequest names a member of a group, or only the group.
type memberRequest struct {
	Group  string `cbor:"Group"`
	Member string `cbor:"Member"`
}

// reason says why a call was refused.
type reason string

const (
	reasonNotDone  reason = "not_done"
	reasonPosition reason = "position"
	reasonTrimmed  reason = "trimmed"
)

// refusal is the body of every answer that is not a success.
type refusal struct {
	Reason reason `cbor:"Reason"`
	// First is the oldest offset kept, for reasonTrimmed.
	First int64  `cbor:"First"`
	Text  string `cbor:"Text"`
}

// refusalOf turns an error of a journal into a refusal. It reports false for an
// error that promises nothing: such a call must get no answer.
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

// error is the journal's error for a refusal.
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
