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

// Certainty says what is known of a request without a passable answer.
type Certainty int

// What is known of a request.
const (
	// NotRun: no replica has run the request and none will.
	NotRun Certainty = iota + 1
	// MayHaveRun: a replica got the request and its answer was lost or unsound.
	MayHaveRun
)

// Request is what a replica is asked for.
type Request struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	// Caller is the tenant that sent the request, "" where there are none.
	Caller string
}

func (r *Request) content() *quarantine.Content {
	return &quarantine.Content{Caller: r.Caller, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
}

// Call is one request to a service.
type Call struct {
	Request
	// Services are tried in this order; the later ones only where no replica
	// of the earlier ones is there.
	Services []string
	// Repeatable requests may run more than once.
	Repeatable  bool
	MaxAttempts int
	// Hedge allows a second replica to be asked while the first is silent.
	Hedge bool
	// HedgeAfter is when to do so, 0 for what its usual latency suggests.
	HedgeAfter time.Duration
	// MayRetry is asked before an attempt at a further replica, with the number of attempts
	// so far. Nil adds no bound to that of AttemptState.
	MayRetry func(attempts int) bool
	// TimeLeft is how long the caller still waits. It counts the time in which this machine
	// was suspended, which the end of a context does not. Nil adds no bound to the
	// context's.
	TimeLeft func() time.Duration
	// ConnectionDeadline is until when a connection is waited for at a replica to which this
	// daemon has as many as it may.
	ConnectionDeadline time.Time
	// OnRun is told of each replica that ran the call or may have run it, with when the call
	// was sent there, by bootclock. Nil if nobody counts runs.
	OnRun func(sentAt time.Time)
	// Account counts what is held of answers; nil has no bound. An answer for which it has
	// no room is passed on as it comes, like a long one.
	Account *holding.Account

	content *quarantine.Content
}

// setDefaults gives what the caller left out its value without effect, and the call its content.
// A call may be done again while attempts of its first time still end.
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
		c.content = c.Request.content()
	}
}

// Answer is a replica's whole answer, or its beginning with the rest to come.
type Answer struct {
	Status  int
	Header  http.Header
	Replica string
	// Body is the answer's body if Rest is nil, else its beginning.
	Body []byte
	Rest *Rest
	// endAttempt, not nil where there is a rest, ends the attempt.
	endAttempt func()
}

// Rest is what is still to come of a long answer.
type Rest struct {
	*upstream.Answer
	// onEnd is told how the reading onEnd, nil being the answer's proper end.
	onEnd func(err error)
	// abandoned says that nobody reads the rest any more: its end says nothing of the replica.
	abandoned atomic.Bool
}

// Abandon ends a Read under way, and all later ones, with an error. It may be called at any
// time; Close must follow once no Read is under way.
func (r *Rest) Abandon() {
	r.abandoned.Store(true)
	r.Answer.Cut()
}

// Read implements io.Reader.
func (r *Rest) Read(p []byte) (int, error) {
	n, err := r.Answer.Read(p)
	switch {
	case err == io.EOF:
		r.onEnd(nil)
	case err != nil && !r.abandoned.Load():
		r.onEnd(err)
	}
	return n, err
}

// Close gives the connection of a rest back.
func (a *Answer) Close() {
	if a.Rest != nil {
		a.Rest.Close()
		a.endAttempt()
	}
}

// Failure says why there is no answer to pass on.
type Failure struct {
	Certainty Certainty
	Reason    string
	// Quarantined, if not nil, says that the request was not sent as replicas have ended
	// under its content.
	Quarantined *QuarantinedError
	// Attempts is how many replicas may have run the request.
	Attempts int
	// AskedReplicas are the replicas that had an attempt.
	AskedReplicas []string
	// AllDeclined says that each of them declined it: it has not run, and there is no other sign
	// that something is wrong.
	AllDeclined bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason }
