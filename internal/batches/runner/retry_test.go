package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// configuredOperator is an operator that has given one configuration.
type configuredOperator struct {
	emptyOperator
	configuration *route.Configuration
}

func (c configuredOperator) Configuration() *route.Configuration { return c.configuration }

// operatorWithMaxQueue is an operator whose one route lets batches wait for a time.
func operatorWithMaxQueue(t *testing.T, maxQueue time.Duration) configuredOperator {
	t.Helper()
	configuration, err := route.New(route.Declared{Routes: []route.Route{{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: route.Batch, MaxQueue: maxQueue,
		Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	return configuredOperator{configuration: configuration}
}

// newWaitingJob is a batch with one waiting item, accepted by a daemon whose clock shows
// another time of day than the owner's.
func newWaitingJob(t *testing.T, behind, maxQueue time.Duration) *job {
	t.Helper()
	j, it := newMovingJob(t)
	j.r.operator = operatorWithMaxQueue(t, maxQueue)
	j.submission = &batch.Submission{
		ID:           "x",
		Host:         "h",
		Path:         "/p/x",
		AcceptedAtMs: time.Now().Add(-behind).UnixMilli(),
	}
	j.adoptedAt, j.results = time.Now(), resultQueue{wake: make(chan struct{}, 1)}
	it.state, it.buffering, it.cancel = itemWaiting, false, nil
	return j
}

// The accepting daemon's time of day stood in the batch's record, and its owner took the
// difference to its own for the batch's age. Where the owner's clock was ahead by more
// than the route lets items wait (60 s), every item that waited was listed as dead 0.35 s
// after the owner had begun; where it was behind, none was ever given up. How old a batch
// is says the owner's steady clock.
func TestExpiryUsesMonotonicClock(t *testing.T) {
	const maxQueue = time.Minute
	for _, behind := range []time.Duration{-time.Hour, -time.Minute, 0, 3 * time.Minute, time.Hour} {
		t.Run(behind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := newWaitingJob(t, behind, maxQueue)
				j.giveUpExpired()
				is.Equal(len(j.results.pending), 0) // nothing is old at the start
				time.Sleep(maxQueue - time.Millisecond)
				j.giveUpExpired()
				is.Equal(len(j.results.pending), 0)
				time.Sleep(2 * time.Millisecond)
				j.giveUpExpired()
				is.Equal(len(j.results.pending), 1)
				is.Equal(j.results.pending[0].Outcome, batch.Dead)
			})
		})
	}
}

// Only a replica's own answer counts against an item, and what an attempt says of its
// replica decides who gets the next one.
func TestDecideRetry(t *testing.T) {
	is := is.New(t)
	again := func(f fault) retryDecision { return retryDecision{fault: f, delay: retryDelay} }
	is.Equal(decideRetry(&forward.QuarantinedError{RetryAfter: time.Minute}, 9, 3), retryDecision{delay: time.Minute})
	is.Equal(decideRetry(forward.ErrDeclined, 9, 3), again(faultDeclined))
	is.Equal(decideRetry(errTooOld, 9, 3), again(faultDeclined))
	is.Equal(decideRetry(upstream.ErrFull, 9, 3), again(faultFull))
	is.Equal(decideRetry(context.Canceled, 9, 3), again(faultFailed))
	is.Equal(decideRetry(&forward.StatusError{Status: 503}, 9, 3), again(noFault))
	is.Equal(decideRetry(&forward.StatusError{Status: 422}, 0, 3), retryDecision{deadReason: "cannot be done"})
	is.Equal(decideRetry(&forward.StatusError{Status: 500}, 1, 3), retryDecision{countsAsFailure: true, delay: retryDelay})
	is.Equal(decideRetry(&forward.StatusError{Status: 500}, 2, 3),
		retryDecision{countsAsFailure: true, deadReason: "failed at every attempt"})
	is.Equal(decideRetry(&forward.StatusError{Status: 500}, 0, 0),
		retryDecision{countsAsFailure: true, deadReason: "failed at every attempt"})
}

func TestFirstEventTimeoutDoubles(t *testing.T) {
	is := is.New(t)
	for attempt, timeout := range []time.Duration{
		1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 10 * time.Second, 10 * time.Second,
	} {
		is.Equal(firstEventTimeoutOf(attempt+1), timeout)
	}
}

// A hand-over that finds no free connection of this daemon (upstream.ErrFull) says nothing of
// the replica that was asked: it was avoided by all batches for 0.2 to 3 s, as if it had failed,
// where an attempt that meets the same spares it for 20 ms.
func TestAFullPoolIsNoFailureOfTheReplicaAsked(t *testing.T) {
	is := is.New(t)
	is.Equal(handOverFault(upstream.ErrFull), faultFull)
}
