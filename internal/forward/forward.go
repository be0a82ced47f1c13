// Package forward sends one request to the replicas of a service: it picks,
// tries again where that is allowed, and says what is certain when no replica
// answered.
package forward

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/bootclock"
	"woodworks/internal/headers"
	"woodworks/internal/holding"
	"woodworks/internal/logging"
	"woodworks/internal/quarantine"
	"woodworks/internal/replica"
	"woodworks/internal/upstream"
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
	// extraTries is how often a request that was certainly not run may be
	// offered again beyond its attempts.
	extraTries = 4
	// declinedPause is how long a replica that declined is passed over.
	declinedPause = 60 * time.Millisecond
	// firstHedge and hedgeFactor say when a second replica is asked although
	// the first has not failed: after the factor times its usual latency.
	firstHedge  = 200 * time.Millisecond
	hedgeFactor = 3
	leastHedge  = 60 * time.Millisecond
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
	// Offered, if not nil, is told of each replica that the call is offered to.
	Offered func(replica string)
	// Avoid are replicas that it is not offered to: another daemon has done so.
	Avoid []string
	// Ran, if not nil, is told of each replica that ran the call or may have run it,
	// with when the call was sent there, by the forwarder's clock.
	Ran func(sentAt time.Time)

	// Holder, if not nil, counts what is held of answers. An answer for which it has no
	// room is passed on as it comes, like a long one.
	Holder *holding.Holder

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

// Content returns what the call asks for, for the quarantine. It must not be called while
// offers of the call run.
func (call *Call) Content() *quarantine.Content { return contentOf(call) }

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
func (rest *Rest) GiveUp() {
	rest.given.Store(true)
	rest.Answer.Cut()
}

// Read implements io.Reader.
func (rest *Rest) Read(buffer []byte) (int, error) {
	count, err := rest.Answer.Read(buffer)
	switch {
	case err == io.EOF:
		rest.ended(nil)
	case err != nil && !rest.given.Load():
		rest.ended(err)
	}
	return count, err
}

// Close gives the connection of a rest back.
func (answer *Answer) Close() {
	if answer.Rest != nil {
		answer.Rest.Close()
	}
	if answer.end != nil {
		answer.end()
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
func (failure *Failure) Error() string { return failure.Reason }

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
func (forwarder *Forwarder) now() time.Time {
	if forwarder.Clock == nil {
		return bootclock.Now()
	}
	return forwarder.Clock()
}

func (forwarder *Forwarder) maxOpen(chosen replica.Replica) int {
	if forwarder.MaxOpen == nil {
		return 0
	}
	return forwarder.MaxOpen(chosen)
}

// Do sends the call until a replica has answered, the attempts are used up or
// the context has ended.
func (forwarder *Forwarder) Do(ctx context.Context, call *Call) (*Answer, error) {
	contentOf(call)
	run := &running{forwarder: forwarder, call: call, tried: map[string]bool{}, cancels: map[string]context.CancelFunc{},
		outcomes: make(chan attempt, call.MaxAttempts+extraTries+1)}
	for _, id := range call.Avoid {
		run.tried[id] = true
	}
	answer, err := run.loop(ctx)
	if err == nil {
		answer.Attempts = run.offered + run.open
	}
	return answer, err
}

// running is one call under way.
type running struct {
	forwarder *Forwarder
	call      *Call
	tried     map[string]bool
	// cancels cut the offer to a replica. They name the replicas that had one.
	cancels  map[string]context.CancelFunc
	outcomes chan attempt
	// offered counts offers that may have run, notRun those that did not,
	// open those without an outcome yet.
	offered, notRun, open int
	// declined counts those of notRun that their replica turned away.
	declined   int
	lastReason string
	// quarantined, if not nil, is why the content may not run now.
	quarantined *QuarantinedError
	// fallback is a replica's own failure, passed on if nothing better comes.
	fallback *Answer
}

func (run *running) loop(ctx context.Context) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, run.failure(errTimeUp.Error())
	}
	hedge := time.NewTimer(run.offer(ctx))
	defer hedge.Stop()
	for run.open > 0 {
		select {
		case outcome := <-run.outcomes:
			run.open--
			if answer := run.judge(outcome); answer != nil {
				run.drain(answer.Replica)
				return answer, nil
			}
			if run.open == 0 && run.mayRetry(ctx) {
				hedge.Reset(run.offer(ctx))
			}
		case <-hedge.C:
			if run.call.Hedge && run.suspicion() == quarantine.Unsuspected && run.mayRetry(ctx) {
				hedge.Reset(run.offer(ctx))
			}
		case <-ctx.Done():
			return run.timeUp()
		}
	}
	if run.fallback != nil {
		return run.fallback, nil
	}
	return nil, run.failure(run.lastReason)
}

// timeUp ends a call whose context has ended, which has cut its open offers. Each of them
// says whether it was sent: one whose connection was never made has not run, and an
// answer that came whole with the end is still the answer.
func (run *running) timeUp() (*Answer, error) {
	late := time.NewTimer(lastWord)
	defer late.Stop()
	for run.open > 0 {
		select {
		case outcome := <-run.outcomes:
			run.open--
			answer := run.judge(outcome)
			if answer != nil && answer.Rest == nil {
				run.drain(answer.Replica)
				return answer, nil
			}
			if answer != nil {
				answer.Close()
			}
		case <-late.C:
			run.offered += run.open
			run.drain("")
			return nil, run.failure(errTimeUp.Error())
		}
	}
	return nil, run.failure(errTimeUp.Error())
}

// drain cuts the offers that are open, but for that to the kept replica, and
// gives their connections back.
func (run *running) drain(kept string) {
	for id, cancel := range run.cancels {
		if id != kept {
			cancel()
		}
	}
	open, outcomes := run.open, run.outcomes
	if open == 0 {
		return
	}
	go func() {
		for i := 0; i < open; i++ {
			if outcome := <-outcomes; outcome.answer != nil {
				outcome.answer.Close()
			}
		}
	}()
}

func (run *running) failure(reason string) *Failure {
	if run.fallback != nil {
		run.fallback.Close()
	}
	certainty := NotRun
	if run.offered > 0 {
		certainty = MayHaveRun
	}
	if reason == "" {
		reason = errNoReplica.Error()
	}
	return &Failure{Certainty: certainty, Reason: reason, Quarantined: run.quarantined, Attempts: run.offered, Tried: slices.Sorted(maps.Keys(run.cancels)),
		Full: certainty == NotRun && run.declined > 0 && run.declined == run.notRun && run.quarantined == nil}
}

// mayOffer reports whether another replica may be asked.
func (run *running) mayOffer() bool {
	if run.notRun > extraTries || run.quarantined != nil {
		return false
	}
	if run.offered+run.open > 0 && run.suspicion() >= quarantine.OnlyAlone {
		// It has just ended replicas, or another daemon has learned so: the next run, if
		// there is one, is alone.
		return false
	}
	if run.offered+run.open >= max(run.call.MaxAttempts, 1) {
		return false
	}
	return run.call.Repeatable || run.offered+run.open == 0
}

// mayRetry reports whether another replica is asked now. Nothing is begun for a caller
// that has left: its end may come together with the outcome or the moment that woke the
// loop.
func (run *running) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && run.mayOffer() && (run.call.MayRetry == nil || run.call.MayRetry(run.offered+run.notRun+run.open))
}

// offer sends the call to the next replica, if there is one, and returns after
// which time another should be asked as well.
func (run *running) offer(ctx context.Context) time.Duration {
	chosen, release, found := run.admitted(ctx)
	if !found {
		return time.Hour
	}
	run.tried[chosen.ID] = true
	run.open++
	if run.call.Offered != nil {
		run.call.Offered(chosen.ID)
	}
	offerContext, cancel := context.WithCancel(ctx)
	run.cancels[chosen.ID] = cancel
	go func() {
		run.outcomes <- run.forwarder.attempt(offerContext, func() { cancel(); release() }, run.call, chosen)
	}()
	if run.call.HedgeAfter > 0 {
		return run.call.HedgeAfter
	}
	if chosen.Latency == 0 {
		return firstHedge
	}
	return max(hedgeFactor*chosen.Latency, leastHedge)
}

// suspicion is what is held against the call's content.
func (run *running) suspicion() quarantine.Suspicion {
	return run.forwarder.Quarantine.Suspicion(contentOf(run.call))
}

// admitted picks a replica at which the call's content may run now. It waits while
// another run of the content finds out whether it ends its replica.
func (run *running) admitted(ctx context.Context) (chosen replica.Replica, release func(), found bool) {
	for ctx.Err() == nil {
		if chosen, found = run.choose(); !found {
			return replica.Replica{}, nil, false
		}
		release, err := run.forwarder.admit(run.call.RequestID, contentOf(run.call), chosen)
		switch {
		case err == nil:
			return chosen, release, true
		case err.Await(ctx):
		case err.Elsewhere:
			run.tried[chosen.ID] = true
		default:
			run.quarantined, run.lastReason = err, err.Error()
			return replica.Replica{}, nil, false
		}
	}
	run.lastReason = errTimeUp.Error()
	return replica.Replica{}, nil, false
}

// Replicas returns the replicas of a service that may get new work, with whether a
// connection to each rests here.
func (forwarder *Forwarder) Replicas(service string) []replica.Replica {
	replicas := forwarder.Table.Replicas(service)
	for i := range replicas {
		replicas[i].Connected = forwarder.Pool.Rests(replicas[i].Address)
	}
	return replicas
}

// choose picks a replica of the first service that has one.
func (run *running) choose() (replica.Replica, bool) {
	now := time.Now()
	for _, service := range run.call.Services {
		if chosen, found := replica.Pick(run.forwarder.Replicas(service), run.tried, now); found {
			return chosen, true
		}
	}
	return replica.Replica{}, false
}

// judge takes an outcome into account and returns the answer to pass on, if
// this is it.
func (run *running) judge(outcome attempt) *Answer {
	if outcome.err != nil {
		run.lastReason = outcome.err.Error()
		if outcome.ran {
			run.offered++
		} else {
			run.notRun++
		}
		if errors.Is(outcome.err, errDeclined) {
			run.declined++
		}
		return nil
	}
	run.offered++
	if outcome.answer.Status >= http.StatusInternalServerError && run.call.Repeatable && run.mayOffer() {
		run.lastReason = "status " + strconv.Itoa(outcome.answer.Status)
		if run.fallback != nil {
			run.fallback.Close()
		}
		run.fallback = outcome.answer
		return nil
	}
	return outcome.answer
}
