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

// configured is an operator that has given one configuration.
type configured struct {
	unaware
	configuration *route.Configuration
}

func (c configured) Configuration() *route.Configuration { return c.configuration }

// batchesFor is an operator whose one route lets batches wait for a time.
func batchesFor(t *testing.T, maxQueue time.Duration) configured {
	t.Helper()
	configuration, err := route.New(route.Definition{Routes: []route.Route{{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: route.Batch, MaxQueueTime: maxQueue,
		Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	return configured{configuration: configuration}
}

// agedJob is a batch with one waiting item, accepted by a daemon whose clock shows
// another time of day than the owner's.
func agedJob(t *testing.T, behind, maxQueue time.Duration) *job {
	t.Helper()
	j, it := movedJob(t)
	j.r.operator = batchesFor(t, maxQueue)
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
func TestItemsAreGivenUpByTheOwnersSteadyClock(t *testing.T) {
	const maxQueue = time.Minute
	for _, behind := range []time.Duration{-time.Hour, -time.Minute, 0, 3 * time.Minute, time.Hour} {
		t.Run(behind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := agedJob(t, behind, maxQueue)
				j.giveUpTooOld()
				is.Equal(len(j.results.pending), 0) // nothing is old at the start
				time.Sleep(maxQueue - time.Millisecond)
				j.giveUpTooOld()
				is.Equal(len(j.results.pending), 0)
				time.Sleep(2 * time.Millisecond)
				j.giveUpTooOld()
				is.Equal(len(j.results.pending), 1)
				is.Equal(j.results.pending[0].Outcome, batch.Dead)
			})
		})
	}
}

// Only a replica's own answer counts against an item, and what an attempt says of its
// replica decides who gets the next one.
func TestWhatFollowsAFailedAttempt(t *testing.T) {
	is := is.New(t)
	again := func(f fault) retry { return retry{fault: f, pause: failurePause} }
	is.Equal(retryAfter(&forward.QuarantinedError{RetryAfter: time.Minute}, 9, 3), retry{pause: time.Minute})
	is.Equal(retryAfter(forward.ErrDeclined, 9, 3), again(faultDeclined))
	is.Equal(retryAfter(errTooOld, 9, 3), again(faultDeclined))
	is.Equal(retryAfter(upstream.ErrFull, 9, 3), again(faultFull))
	is.Equal(retryAfter(context.Canceled, 9, 3), again(faultFailed))
	is.Equal(retryAfter(&forward.StatusError{Status: 503}, 9, 3), again(noFault))
	is.Equal(retryAfter(&forward.StatusError{Status: 422}, 0, 3), retry{dead: "cannot be done"})
	is.Equal(retryAfter(&forward.StatusError{Status: 500}, 1, 3), retry{counts: true, pause: failurePause})
	is.Equal(retryAfter(&forward.StatusError{Status: 500}, 2, 3),
		retry{counts: true, dead: "failed at every attempt"})
	is.Equal(retryAfter(&forward.StatusError{Status: 500}, 0, 0),
		retry{counts: true, dead: "failed at every attempt"})
}

func TestTheTimeForAFirstEventDoubles(t *testing.T) {
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
