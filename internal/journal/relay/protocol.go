package relay

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// serviceName and methodName name the call of net/rpc between daemons.
const (
	serviceName = "Journal"
	methodName  = serviceName + ".Call"
)

// Message is what net/rpc carries: an operation or a reply in CBOR. Its own codec
// leaves zero values out, so that a condition on offset 0 would be lost.
type Message struct{ Body []byte }

// operation is one call of a journal: one of its fields is set.
type operation struct {
	// Timeout is how long the answer is waited for.
	Timeout time.Duration   `cbor:"1,keyasint"`
	Append  *journal.Append `cbor:"2,keyasint,omitempty"`
	Read    *journal.Read   `cbor:"3,keyasint,omitempty"`
	Newest  *newestCall     `cbor:"4,keyasint,omitempty"`
	Join    *journal.Join   `cbor:"5,keyasint,omitempty"`
	Leave   *leaveCall      `cbor:"6,keyasint,omitempty"`
	Owners  *ownersCall     `cbor:"7,keyasint,omitempty"`
}

type newestCall struct {
	Partition journal.Partition `cbor:"Partition"`
	After     string            `cbor:"After"`
}

type leaveCall struct {
	Group  string `cbor:"Group"`
	Member string `cbor:"Member"`
}

type ownersCall struct {
	Group string `cbor:"Group"`
}

// isKnown reports whether the operation is one of this version.
func (o operation) isKnown() bool {
	return o != operation{Timeout: o.Timeout}
}

// wait is how long the journal may hold the answer back for records to come.
func (o operation) wait() time.Duration {
	if o.Read == nil {
		return 0
	}
	return o.Read.Wait
}

// isIdempotent operations change nothing, or nothing more when made again: a member that
// joins or leaves twice has done so once.
func (o operation) isIdempotent() bool { return o.Append == nil }

// call makes the call to a journal. The operation must be known.
func (o operation) call(ctx context.Context, log journal.Journal) (answer reply, err error) {
	switch {
	case o.Append != nil:
		answer.Appended, err = log.Append(ctx, *o.Append)
	case o.Read != nil:
		answer.Records, err = log.Read(ctx, *o.Read)
	case o.Newest != nil:
		answer.Page, err = log.Newest(ctx, o.Newest.Partition, o.Newest.After)
	case o.Join != nil:
		answer.Assignment, err = log.Join(ctx, *o.Join)
	case o.Leave != nil:
		err = log.Leave(ctx, o.Leave.Group, o.Leave.Member)
	case o.Owners != nil:
		answer.Owners, err = log.Owners(ctx, o.Owners.Group)
	}
	return answer, err
}

// outcome says how a relayed call ended.
type outcome int

const (
	outcomeDone outcome = iota
	// outcomePathLost: the peer has lost its own path, and did nothing.
	outcomePathLost
	outcomeNotDone
	outcomeUnavailable
	outcomePosition
	outcomeTrimmed
	outcomeUnknown
	outcomeThrottled
)

// reply is the answer to an operation.
type reply struct {
	Outcome outcome `cbor:"1,keyasint"`
	// Reason is the error's text.
	Reason     string              `cbor:"2,keyasint,omitempty"`
	First      int64               `cbor:"3,keyasint,omitempty"`
	Appended   journal.Appended    `cbor:"4,keyasint"`
	Records    journal.Records     `cbor:"5,keyasint"`
	Page       journal.KeyedPage   `cbor:"6,keyasint"`
	Assignment journal.Assignment  `cbor:"7,keyasint"`
	Owners     []journal.Ownership `cbor:"8,keyasint,omitempty"`
}

// failedReply makes the reply to a call that failed.
func failedReply(err error) reply {
	answer := reply{Outcome: outcomeUnknown, Reason: err.Error()}
	var trimmed *journal.TrimmedError
	var unavailable *journal.UnavailableError
	var throttled *journal.ThrottledError
	switch {
	case errors.As(err, &throttled):
		answer.Outcome = outcomeThrottled
	case errors.As(err, &trimmed):
		answer.Outcome, answer.First = outcomeTrimmed, trimmed.First
	case errors.Is(err, journal.ErrPosition):
		answer.Outcome = outcomePosition
	case errors.As(err, &unavailable):
		answer.Outcome = outcomeUnavailable
	case errors.Is(err, journal.ErrNotDone):
		answer.Outcome = outcomeNotDone
	}
	return answer
}

// err is the error that a reply stands for, or nil.
func (r reply) err() error {
	switch r.Outcome {
	case outcomeDone:
		return nil
	case outcomeTrimmed:
		return &journal.TrimmedError{First: r.First}
	case outcomeThrottled:
		return &journal.ThrottledError{Reason: r.Reason}
	case outcomePosition:
		return errors.Wrap(journal.ErrPosition, r.Reason)
	case outcomeUnavailable:
		return &journal.UnavailableError{Reason: r.Reason}
	case outcomeNotDone:
		return errors.Wrap(journal.ErrNotDone, r.Reason)
	default:
		return errors.Wrap(journal.ErrUnknown, r.Reason)
	}
}

func encode(value any) (Message, error) {
	encoded, err := cbor.Marshal(value)
	return Message{Body: encoded}, errors.Wrap(err, "relay: encode")
}

func (m Message) decode(into any) error {
	return errors.Wrap(cbor.Unmarshal(m.Body, into), "relay: decode")
}
