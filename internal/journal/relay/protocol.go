package relay

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// serviceName and methodName identify the calls to the journal in net/rpc.
const (
	serviceName = "Journal"
	methodName  = serviceName + ".Call"
)

// Message carries an operation or a reply through net/rpc, encoded in CBOR. The codec of net/rpc
// omits zero values, so that a condition on offset 0 would be lost.
type Message struct{ Body []byte }

// operation is one call of a journal's method. Exactly one of its pointers is set.
type operation struct {
	// Timeout is how long the caller waits for the answer.
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

// isKnown reports whether this version implements the operation. One of a later version decodes
// to an operation with no pointer set.
func (o operation) isKnown() bool {
	return o != operation{Timeout: o.Timeout}
}

// wait returns how long the journal may hold the call open until records arrive.
func (o operation) wait() time.Duration {
	if o.Read == nil {
		return 0
	}
	return o.Read.Wait
}

// isBulk reports whether the answer may be large.
func (o operation) isBulk() bool { return o.Read != nil || o.Newest != nil }

// withoutWait returns the operation as one that is answered at once.
func (o operation) withoutWait() operation {
	if o.wait() > 0 {
		read := *o.Read
		read.Wait = 0
		o.Read = &read
	}
	return o
}

// isIdempotent reports whether the operation may be repeated. All but appends may: reads change
// nothing, and joining or leaving twice has the effect of doing so once.
func (o operation) isIdempotent() bool { return o.Append == nil }

// call executes the operation on a journal. isKnown must be true.
func (o operation) call(ctx context.Context, target journal.Journal) (answer reply, err error) {
	switch {
	case o.Append != nil:
		answer.Appended, err = target.Append(ctx, *o.Append)
	case o.Read != nil:
		answer.Records, err = target.Read(ctx, *o.Read)
	case o.Newest != nil:
		answer.Page, err = target.Newest(ctx, o.Newest.Partition, o.Newest.After)
	case o.Join != nil:
		answer.Assignment, err = target.Join(ctx, *o.Join)
	case o.Leave != nil:
		err = target.Leave(ctx, o.Leave.Group, o.Leave.Member)
	case o.Owners != nil:
		answer.Owners, err = target.Owners(ctx, o.Owners.Group)
	}
	return answer, err
}

// outcome is how a relayed call ended. Except for outcomeDone and outcomePathLost, each value
// stands for an error of package journal. Peers exchange the numbers, so they must not change.
type outcome int

const (
	outcomeDone outcome = iota
	// outcomePathLost means that the peer did not make the call, as it is stopping, has lost its own
	// path or, with busyReason, relays as much as it may.
	outcomePathLost
	outcomeNotDone
	outcomeUnavailable
	outcomePosition
	outcomeTrimmed
	outcomeUnknown
	outcomeThrottled
)

// reply is the answer to an operation: an outcome with the result of the called method.
type reply struct {
	Outcome outcome `cbor:"1,keyasint"`
	// Reason is the text of the error.
	Reason string `cbor:"2,keyasint,omitempty"`
	// First is the first offset that is still stored, for outcomeTrimmed.
	First      int64               `cbor:"3,keyasint,omitempty"`
	Appended   journal.Appended    `cbor:"4,keyasint"`
	Records    journal.Records     `cbor:"5,keyasint"`
	Page       journal.KeyedPage   `cbor:"6,keyasint"`
	Assignment journal.Assignment  `cbor:"7,keyasint"`
	Owners     []journal.Ownership `cbor:"8,keyasint,omitempty"`
}

// busyReason is the Reason of a reply by a peer that relays as much as it may. Peers of an earlier
// version take the reply for that of a peer that has lost its own path.
const busyReason = "the peer relays as much as it may"

// isBusy reports whether the peer did not make the call because it relays as much as it may.
func (r reply) isBusy() bool { return r.Outcome == outcomePathLost && r.Reason == busyReason }

// failedReply returns the reply to a call that failed with err.
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

// err returns the error that the reply represents, or nil if the call succeeded.
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
