// Package forward sends one request to the replicas of a service: it picks,
// tries again where that is allowed, and says what is certain when no replica
// answered.
package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/logging"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/headers"
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

// Errors of an attempt; each says why no answer could be passed on.
var (
	errUnsound   = errors.New("forward: unsound answer")
	errDeclined  = errors.New("forward: declined")
	errNoReplica = errors.New("forward: no replica")
	errTimeUp    = errors.New("time is up")
)

const (
	// bufferedBytes is the longest answer that is held until it is whole.
	bufferedBytes = 1 << 20
	// declinedPause is how long a replica that declined is passed over.
	declinedPause = 60 * time.Millisecond
	// lastWord is how long the offers that the end of the context cuts have to say
	// whether they were sent. They end at once; a third of the time that ingress keeps
	// back for a final answer leaves the rest of it to the answer.
	lastWord = 8 * time.Millisecond
)

// Call is one request to a service.
type Call struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	// Caller is the tenant that sent the call, "" where there are none.
	Caller string
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
	// MayRetry, if not nil, is asked before a further replica is offered the
	// call, with the number of offers so far.
	MayRetry func(offers int) bool
	// Left, if not nil, is how long the caller still waits. It counts the time in which
	// this machine was suspended, which the end of a context does not.
	Left func() time.Duration
	// ConnectionUntil is until when a connection is waited for at a replica to which this
	// daemon has as many as it may.
	ConnectionUntil time.Time
	// Ran, if not nil, is told of each replica that ran the call or may have run it,
	// with when the call was sent there, by the forwarder's clock.
	Ran func(sentAt time.Time)

	// Holder, if not nil, counts what is held of answers. An answer for which it has no
	// room is passed on as it comes, like a long one.
	Account *holding.Account

	content *quarantine.Content
}

// contentOf returns what the call asks for. Its first use comes before offers of the call
// run side by side.
func contentOf(call *Call) *quarantine.Content {
	if call.content == nil {
		call.content = &quarantine.Content{Caller: call.Caller, Method: call.Method, Host: call.Host, Target: call.Target, Body: call.Body}
	}
	return call.content
}

// Answer is a replica's whole answer, or its beginning with the rest to come.
type Answer struct {
	Status  int
	Header  http.Header
	Replica string
	// Attempts is how many replicas have run the request, or may have.
	Attempts int
	// Body is the answer's body if Rest is nil, else its beginning.
	Body []byte
	Rest *Rest
	end  func()
}

// Rest is what is still to come of a long answer.
type Rest struct {
	*upstream.Answer
	// ended is told how the reading ended, nil being the answer's proper end.
	ended func(err error)
	// given says that nobody wants the rest, so that its end says nothing of the replica.
	given atomic.Bool
}

// GiveUp ends a Read under way, and all later ones, with an error. It may be called at any
// time; Close must follow once no Read is under way.
func (r *Rest) GiveUp() {
	r.given.Store(true)
	r.Answer.Cut()
}

// Read implements io.Reader.
func (r *Rest) Read(p []byte) (int, error) {
	n, err := r.Answer.Read(p)
	switch {
	case err == io.EOF:
		r.ended(nil)
	case err != nil && !r.given.Load():
		r.ended(err)
	}
	return n, err
}

// Close gives the connection of a rest back.
func (a *Answer) Close() {
	if a.Rest != nil {
		a.Rest.Close()
	}
	if a.end != nil {
		a.end()
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
	// Tried are the replicas that the request was offered to.
	Tried []string
	// Full says that each of them declined it: it has not run, and there is no other sign
	// that something is wrong.
	Full bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason }

// Forwarder sends requests to replicas. It is safe for concurrent use.
type Forwarder struct {
	Pool  *upstream.Pool
	Table *replica.Table
	Names headers.Names
	Zone  string
	// Clock is the clock by which callers wait, nil for that of the machine.
	Clock bootclock.Clock
	// Quarantine knows the contents under which replicas have ended.
	Quarantine *quarantine.Table
	Logger     *zap.Logger
	// MaxOpen, if not nil, is how many connections to a replica this daemon may have, 0
	// without bound.
	MaxOpen func(chosen replica.Replica) int
	// Observe is told of each offer to a replica: the service, how it ended and
	// how long it took.
	Observe func(service, outcome string, took time.Duration)

	failedOnce sync.Once
	failed     *logging.Episodes
}

// now reads the clock by which callers wait.
func (f *Forwarder) now() time.Time {
	if f.Clock == nil {
		return bootclock.Now()
	}
	return f.Clock()
}

func (f *Forwarder) maxOpen(chosen replica.Replica) int {
	if f.MaxOpen == nil {
		return 0
	}
	return f.MaxOpen(chosen)
}

// Do sends the call until a replica has answered, the attempts are used up or
// the context has ended.
func (f *Forwarder) Do(ctx context.Context, call *Call) (*Answer, error) {
	contentOf(call)
	a := &attempts{forwarder: f, call: call, tried: map[string]bool{}, cancels: map[string]context.CancelFunc{},
		outcomes: make(chan result, call.MaxAttempts+extraTries+1)}
	answer, err := a.loop(ctx)
	if err == nil {
		answer.Attempts = a.mayHaveRun + a.open
	}
	return answer, err
}

// Replicas returns the replicas of a service that may get new work, with whether a
// connection to each rests here.
func (f *Forwarder) Replicas(service string) []replica.Replica {
	replicas := f.Table.Replicas(service)
	for i := range replicas {
		replicas[i].Connected = f.Pool.Rests(replicas[i].Address)
	}
	return replicas
}
