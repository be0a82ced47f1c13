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

// errNoReplica means that no replica of the call's services is listed, or that all are excluded.
var errNoReplica = errors.New("forward: no replica")

// cancelledAttemptTimeout is how long a call waits for the outcomes of attempts that the end of
// its context has cancelled. It is a third of the time that ingress reserves for the final
// answer.
const cancelledAttemptTimeout = 8 * time.Millisecond

// attempts holds the state of all attempts of one call. Only the goroutine of run may use its
// fields, except outcomes.
type attempts struct {
	forwarder *Forwarder
	call      *Call
	// excluded holds the IDs of the replicas that had an attempt, and of those that may not run
	// the content now.
	excluded map[string]bool
	// cancelByReplica holds the cancel function of each attempt by the ID of its replica.
	cancelByReplica map[string]context.CancelFunc
	outcomes        chan result
	// mayHaveRun counts attempts that may have run, notRun those that certainly did not, open those
	// without an outcome yet.
	mayHaveRun, notRun, open int
	// declined counts those attempts in notRun that their replica declined.
	declined   int
	lastReason string
	// quarantined is set if quarantine refuses to run the content now.
	quarantined *QuarantinedError
	// fallback is an answer with an error status from a replica, which is passed on if no later
	// attempt gets a better answer.
	fallback *Answer
}

func newAttempts(f *Forwarder, call *Call) *attempts {
	call.setDefaults()
	return &attempts{forwarder: f, call: call, excluded: map[string]bool{}, cancelByReplica: map[string]context.CancelFunc{},
		outcomes: make(chan result, call.MaxAttempts+maxExtraAttempts+1)}
}

// run makes attempts until one has an answer to pass on or no further attempt is allowed.
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

// awaitCancelled collects the outcomes of the open attempts, which the end of the call's context
// has cancelled. An attempt that was never sent counts as not run, and an answer that was
// received completely just before the end is still passed on.
func (a *attempts) awaitCancelled() (*Answer, error) {
	timeout := time.NewTimer(cancelledAttemptTimeout)
	defer timeout.Stop()
	for a.open > 0 {
		select {
		case res := <-a.outcomes:
			a.open--
			answer := a.handleResult(res)
			if answer != nil && answer.Remainder == nil {
				a.cancelOthers(answer.Replica)
				return answer, nil
			}
			if answer != nil {
				answer.Close()
			}
		case <-timeout.C:
			a.mayHaveRun += a.open
			a.cancelOthers("")
			return nil, a.failure(errTimeUp.Error())
		}
	}
	return nil, a.failure(errTimeUp.Error())
}

// cancelOthers cancels the open attempts, except the attempt at the replica with the ID kept.
// Answers that still arrive are closed in the background.
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

// failure returns the error of a call that has no answer to pass on, and closes the fallback.
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

// state returns the input of the retry rule.
func (a *attempts) state() AttemptState {
	return AttemptState{MayHaveRun: a.mayHaveRun, Open: a.open, NotRun: a.notRun, MaxAttempts: a.call.MaxAttempts,
		Repeatable: a.call.Repeatable, Suspicion: a.suspicion(), ContentRefused: a.quarantined != nil}
}

// mayRetry reports whether another replica may be asked now. The context and the client are checked
// first, as the caller may have left at the same moment as the event that woke run.
func (a *attempts) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && !a.call.clientLeft() && a.state().MayRetry() && a.call.MayRetry(a.mayHaveRun+a.notRun+a.open)
}

// start sends the call to the next replica and returns the delay after which a hedge may be
// sent. If there is no replica to ask, start sends nothing and returns noHedgeDelay.
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

// suspicion returns the quarantine's current suspicion against the call's content.
func (a *attempts) suspicion() quarantine.Suspicion {
	return a.forwarder.Quarantine.Suspicion(a.call.content)
}

// pickReplica picks a replica that may run the call's content now. If another run of the content
// is to show whether the content crashes its replica, pickReplica first waits for that run. If
// ok is true, the caller must call release when its own run has ended.
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
		case err.TryOtherReplica:
			a.excluded[rep.ID] = true
		default:
			a.quarantined, a.lastReason = err, err.Error()
			return replica.Replica{}, nil, false
		}
	}
	a.lastReason = errTimeUp.Error()
	return replica.Replica{}, nil, false
}

// handleResult counts the result of an attempt. It returns the attempt's answer if the answer is
// to be passed on now, otherwise nil.
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
