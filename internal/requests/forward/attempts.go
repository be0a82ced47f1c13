package forward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/quarantine"
)

// errNoReplica: no replica of the call's services is listed, or each is passed over.
var errNoReplica = errors.New("forward: no replica")

// cancelledAttemptTimeout is how long the attempts that the end of the context cuts have to say whether they
// were sent. They end at once; a third of the time that ingress keeps back for a final answer
// leaves the rest of it to the answer.
const cancelledAttemptTimeout = 8 * time.Millisecond

// attempts are those at one call. All but outcomes belongs to the goroutine of loop.
type attempts struct {
	forwarder *Forwarder
	call      *Call
	// excluded are the replicas that had an attempt, and those that may not run the content
	// now.
	excluded map[string]bool
	// cancelByReplica are the replicas that had an attempt, each with what cuts it.
	cancelByReplica map[string]context.CancelFunc
	outcomes        chan result
	// mayHaveRun counts attempts that may have run, notRun those that did not,
	// open those without an outcome yet.
	mayHaveRun, notRun, open int
	// declined counts those of notRun that their replica turned away.
	declined   int
	lastReason string
	// quarantined, if not nil, is why the content may not run now.
	quarantined *QuarantinedError
	// fallback is a replica's own failure, passed on if nothing better comes.
	fallback *Answer
}

func newAttempts(f *Forwarder, call *Call) *attempts {
	call.setDefaults()
	return &attempts{forwarder: f, call: call, excluded: map[string]bool{}, cancelByReplica: map[string]context.CancelFunc{},
		outcomes: make(chan result, call.MaxAttempts+maxExtraAttempts+1)}
}

// run makes attempts until one has an answer to pass on, or none may be made any more.
func (a *attempts) run(ctx context.Context) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, a.failure(errTimeUp.Error())
	}
	hedge := time.NewTimer(a.start(ctx))
	defer hedge.Stop()
	for a.open > 0 {
		select {
		case res := <-a.outcomes:
			a.open--
			if answer := a.handleResult(res); answer != nil {
				a.cancelOthers(answer.Replica)
				return answer, nil
			}
			if a.open == 0 && a.mayRetry(ctx) {
				hedge.Reset(a.start(ctx))
			}
		case <-hedge.C:
			// A hedge that may not be sent now is not sent later either.
			if a.call.Hedge && a.suspicion() == quarantine.Unsuspected && a.mayRetry(ctx) {
				hedge.Reset(a.start(ctx))
			}
		case <-ctx.Done():
			return a.awaitCancelled()
		}
	}
	if a.fallback != nil {
		return a.fallback, nil
	}
	return nil, a.failure(a.lastReason)
}

// awaitCancelled ends a call whose context has ended, which has cut its open attempts. Each of them
// says whether it was sent: one whose connection was never made has not run, and an
// answer that came whole with the end is still the answer.
func (a *attempts) awaitCancelled() (*Answer, error) {
	late := time.NewTimer(cancelledAttemptTimeout)
	defer late.Stop()
	for a.open > 0 {
		select {
		case res := <-a.outcomes:
			a.open--
			answer := a.handleResult(res)
			if answer != nil && answer.Rest == nil {
				a.cancelOthers(answer.Replica)
				return answer, nil
			}
			if answer != nil {
				answer.Close()
			}
		case <-late.C:
			a.mayHaveRun += a.open
			a.cancelOthers("")
			return nil, a.failure(errTimeUp.Error())
		}
	}
	return nil, a.failure(errTimeUp.Error())
}

// cancelOthers cuts the attempts that are open, but for that to the kept replica, and
// gives their connections back.
func (a *attempts) cancelOthers(kept string) {
	for id, cancel := range a.cancelByReplica {
		if id != kept {
			cancel()
		}
	}
	open, outcomes := a.open, a.outcomes
	if open == 0 {
		return
	}
	go func() {
		for i := 0; i < open; i++ {
			if res := <-outcomes; res.answer != nil {
				res.answer.Close()
			}
		}
	}()
}

// failure says why the call has no answer to pass on. It closes the fallback, if there is one.
func (a *attempts) failure(reason string) *Failure {
	if a.fallback != nil {
		a.fallback.Close()
	}
	certainty := NotRun
	if a.mayHaveRun > 0 {
		certainty = MayHaveRun
	}
	if reason == "" {
		reason = errNoReplica.Error()
	}
	return &Failure{Certainty: certainty, Reason: reason, Quarantined: a.quarantined, Attempts: a.mayHaveRun,
		AskedReplicas: slices.Sorted(maps.Keys(a.cancelByReplica)),
		AllDeclined:   certainty == NotRun && a.declined > 0 && a.declined == a.notRun && a.quarantined == nil}
}

// state is what has become of the call so far.
func (a *attempts) state() AttemptState {
	return AttemptState{MayHaveRun: a.mayHaveRun, Open: a.open, NotRun: a.notRun, MaxAttempts: a.call.MaxAttempts,
		Repeatable: a.call.Repeatable, Suspicion: a.suspicion(), ContentRefused: a.quarantined != nil}
}

// mayRetry reports whether another replica is asked now. Nothing is begun for a caller
// that has left: its end may come together with the outcome or the moment that woke the
// loop.
func (a *attempts) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && a.state().MayRetry() && a.call.MayRetry(a.mayHaveRun+a.notRun+a.open)
}

// start sends the call to the next replica, if there is one, and returns after
// which time another should be asked as well.
func (a *attempts) start(ctx context.Context) time.Duration {
	rep, release, ok := a.pickReplica(ctx)
	if !ok {
		return noHedgeDelay
	}
	a.excluded[rep.ID] = true
	a.open++
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancelByReplica[rep.ID] = cancel
	go func() {
		a.outcomes <- a.forwarder.attempt(attemptCtx, func() { cancel(); release() }, a.call, rep)
	}()
	return hedgeDelay(a.call.HedgeAfter, rep.Latency)
}

// suspicion is what is held against the call's content.
func (a *attempts) suspicion() quarantine.Suspicion {
	return a.forwarder.Quarantine.Suspicion(a.call.content)
}

// pickReplica picks a replica at which the call's content may run now. It waits while
// another run of the content finds out whether it ends its replica.
func (a *attempts) pickReplica(ctx context.Context) (rep replica.Replica, release func(), ok bool) {
	for ctx.Err() == nil {
		if rep, ok = a.forwarder.Pick(a.call.Services, a.excluded); !ok {
			return replica.Replica{}, nil, false
		}
		release, err := a.forwarder.admitContent(a.call.RequestID, a.call.content, rep)
		switch {
		case err == nil:
			return rep, release, true
		case err.AwaitDecision(ctx):
		case err.TryElsewhere:
			a.excluded[rep.ID] = true
		default:
			a.quarantined, a.lastReason = err, err.Error()
			return replica.Replica{}, nil, false
		}
	}
	a.lastReason = errTimeUp.Error()
	return replica.Replica{}, nil, false
}

// handleResult takes an outcome into account and returns the answer to pass on, if
// this is it.
func (a *attempts) handleResult(res result) *Answer {
	if res.err != nil {
		a.lastReason = res.err.Error()
		if res.mayHaveRun {
			a.mayHaveRun++
		} else {
			a.notRun++
		}
		if errors.Is(res.err, errPlainDeclined) {
			a.declined++
		}
		return nil
	}
	a.mayHaveRun++
	if res.answer.Status >= http.StatusInternalServerError && a.call.Repeatable && a.state().MayRetry() {
		a.lastReason = "status " + strconv.Itoa(res.answer.Status)
		if a.fallback != nil {
			a.fallback.Close()
		}
		a.fallback = res.answer
		return nil
	}
	return res.answer
}
