package handoff

import (
	"net/http"
	"time"
)

// ServiceName is the name under which peers call the service.
const ServiceName = "Handoff"

const (
	methodRun    = ServiceName + ".Run"
	methodCancel = ServiceName + ".Cancel"
	methodOffers = ServiceName + ".Offers"
)

const (
	// maxBodyBytes is the longest body of a request that is handed on: longer ones cost
	// more on the way through a second daemon than a connection does.
	maxBodyBytes = 64 << 10
	// maxAnswerBytes is the longest body of an answer that a peer passes back, which holds
	// it as a whole and sends it between its other calls.
	maxAnswerBytes = 256 << 10
)

// Request is a request that is handed on. Its fields are those of net/rpc's codec, which
// leaves zero values out.
type Request struct {
	// ID names this handing on, for Cancel: callers may use an id of a request twice.
	ID string
	// From is the daemon that hands it on.
	From string
	// Version is the version of the configuration that the asker has.
	Version int64
	// Left is how long the caller still waits.
	Left time.Duration
	// MaxAttempts is how many replicas may run it at most.
	MaxAttempts int

	RequestID, Method, Target, Host, Caller string
	Header                                  http.Header
	Body                                    []byte
}

// Outcome says how a request that was handed on ended.
type Outcome int

// Outcomes. The first one is not zero: an answer without an outcome is none.
const (
	// Answered: a replica's whole answer is passed back.
	Answered Outcome = iota + 1
	// Refused: the peer has not run the request and never will.
	Refused
	// Busy: the same, as it has too many at once or stops.
	Busy
	// Failed: no answer; see Failure.
	Failed
	// TooLong: a replica ran it, and its answer is longer than what is passed back.
	TooLong
)

// String returns the name under which logs show it.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return outcomeAnswered
	case Refused:
		return outcomeRefused
	case Busy:
		return outcomeBusy
	case Failed:
		return outcomeFailed
	case TooLong:
		return outcomeTooLong
	default:
		return "unknown"
	}
}

// Reply is what a peer says of a request.
type Reply struct {
	Outcome Outcome
	// Reason says why there is no answer.
	Reason string
	// Attempts is how many replicas have run the request, or may have, and Tried which
	// ones it was offered to.
	Attempts int
	Tried    []string
	// MayHaveRun says so of a request that failed.
	MayHaveRun bool
	// Alone says that the request's content may run only alone, or not at all.
	Alone bool

	Status  int
	Header  http.Header
	Body    []byte
	Replica string
}

// Cancellation ends a request that was handed on.
type Cancellation struct{ ID string }

// Done is the answer to a Cancellation.
type Done struct{ Found bool }

// Inquiry asks where a request is that was handed on.
type Inquiry struct{ ID string }

// Offers is the answer to an Inquiry: the replicas that the request was offered to.
type Offers struct{ Tried []string }
