package forward

import (
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

// Certainty tells whether a request without an answer may have run.
type Certainty int

const (
	// NotRun: no replica has run the request and none will.
	NotRun Certainty = iota + 1
	// MayHaveRun: a replica received the request, but its answer was lost or invalid.
	MayHaveRun
)

// Request is a request as it is sent to a replica.
type Request struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	// Caller is the name of the tenant that sent the request, or "" if there are no tenants.
	Caller string
	// Owed says that the request was handed in to run later, see quarantine.Content.
	Owed bool
	// ClientLeft reports whether the client is known to have left, possibly before the call's
	// context ends. It is called before each attempt. Nil means that there is no client.
	ClientLeft func() bool
}

// clientLeft reports whether the client is known to have left.
func (r *Request) clientLeft() bool { return r.ClientLeft != nil && r.ClientLeft() }

// Content returns what identifies the request for the quarantine.
func (r *Request) Content() *quarantine.Content {
	return &quarantine.Content{Caller: r.Caller, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body, Owed: r.Owed}
}

// Call is a request to a service, with the rules for further attempts.
type Call struct {
	Request
	// Services are tried in order; later ones are used only if the earlier ones have no replica
	// left to ask.
	Services []string
	// Repeatable means that the request may run more than once.
	Repeatable  bool
	MaxAttempts int
	// Hedge allows a second replica to be asked while the first has not answered.
	Hedge bool
	// HedgeAfter is the delay before a hedge, or 0 to derive the delay from the replica's
	// latency.
	HedgeAfter time.Duration
	// MayRetry is called before each further attempt with the number of attempts so far. Nil
	// means that AttemptState.MayRetry decides alone.
	MayRetry func(attempts int) bool
	// TimeLeft returns how long the caller will still wait. Unlike a context's deadline, it
	// counts the time in which the machine was suspended. If TimeLeft is nil, only the context's
	// deadline bounds the call.
	TimeLeft func() time.Duration
	// ConnectionDeadline is until when the call waits for a connection to a replica, if this
	// daemon has as many connections to the replica as it may have.
	ConnectionDeadline time.Time
	// OnRun, if not nil, is called for each attempt that ran or may have run, with the time by
	// bootclock at which it was sent.
	OnRun func(sentAt time.Time)
	// Account is charged for the memory of answers. A nil Account sets no bound. An answer for
	// which no memory can be reserved is passed on in parts, as a long answer is.
	Account *holding.Account

	content *quarantine.Content
}

// setDefaults replaces nil functions with defaults and sets the content. It does not write a
// field that is already set, since a call may be repeated while attempts of its previous run
// still read the fields.
func (c *Call) setDefaults() {
	if c.MayRetry == nil {
		c.MayRetry = func(int) bool { return true }
	}
	if c.TimeLeft == nil {
		c.TimeLeft = func() time.Duration { return math.MaxInt64 }
	}
	if c.OnRun == nil {
		c.OnRun = func(time.Time) {}
	}
	if c.content == nil {
		c.content = c.Request.Content()
	}
}

// Answer is a replica's answer: either the complete answer, or its beginning and a Remainder
// from which the caller reads the rest.
type Answer struct {
	Status  int
	Header  http.Header
	Replica string
	// Body is the complete body if Remainder is nil, otherwise its beginning.
	Body      []byte
	Remainder *Remainder
	// endAttempt ends the attempt. Close calls it if there is a Remainder.
	endAttempt func()
}

// Remainder is the part of a long answer that has not been read yet.
type Remainder struct {
	*upstream.Answer
	// onEnd is called when a Read meets the end of the answer: with nil if the answer is
	// complete, otherwise with the error. It is not called for an error after Abort.
	onEnd func(err error)
	// aborted reports that Abort was called, so that a read error is not a failure of the
	// replica.
	aborted atomic.Bool
}

// Abort makes a Read in progress and all later ones return an error. It may be called at any
// time, from any goroutine. Close must still be called once no Read is in progress.
func (r *Remainder) Abort() {
	r.aborted.Store(true)
	r.Answer.Abort()
}

// Read implements io.Reader.
func (r *Remainder) Read(p []byte) (int, error) {
	n, err := r.Answer.Read(p)
	switch {
	case err == io.EOF:
		r.onEnd(nil)
	case err != nil && !r.aborted.Load():
		r.onEnd(err)
	}
	return n, err
}

// Close ends the attempt of an answer with a Remainder and releases the connection. For a
// complete answer it does nothing.
func (a *Answer) Close() {
	if a.Remainder != nil {
		a.Remainder.Close()
		a.endAttempt()
	}
}

// Failure is the error of a call without an answer to pass on.
type Failure struct {
	Certainty Certainty
	Reason    string
	// Quarantined is set if quarantine refused to let the request's content run.
	Quarantined *QuarantinedError
	// Attempts is the number of replicas that may have run the request.
	Attempts int
	// AskedReplicas are the IDs of the replicas that had an attempt, sorted.
	AskedReplicas []string
	// AllDeclined reports that every replica that was asked declined the request. The request
	// has then not run, and no attempt failed for another reason.
	AllDeclined bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason }
