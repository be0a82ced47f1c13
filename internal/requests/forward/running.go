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

// tries is what has become of the call so far.
func (run *running) tries() Tries {
	return Tries{MayHaveRun: run.offered, Open: run.open, NotRun: run.notRun, MaxAttempts: run.call.MaxAttempts, Repeatable: run.call.Repeatable,
		Suspicion: run.suspicion(), Refused: run.quarantined != nil}
}

// mayRetry reports whether another replica is asked now. Nothing is begun for a caller
// that has left: its end may come together with the outcome or the moment that woke the
// loop.
func (run *running) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && run.tries().MayRetry() && (run.call.MayRetry == nil || run.call.MayRetry(run.offered+run.notRun+run.open))
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
	return hedgeDelay(run.call.HedgeAfter, chosen.Latency)
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
	if outcome.answer.Status >= http.StatusInternalServerError && run.call.Repeatable && run.tries().MayRetry() {
		run.lastReason = "status " + strconv.Itoa(outcome.answer.Status)
		if run.fallback != nil {
			run.fallback.Close()
		}
		run.fallback = outcome.answer
		return nil
	}
	return outcome.answer
}
