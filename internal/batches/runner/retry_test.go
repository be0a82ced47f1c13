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

// configuredOperator is an operator with one configuration.
type configuredOperator struct {
	emptyOperator
	configuration *route.Configuration
}

func (c configuredOperator) Configuration() *route.Configuration { return c.configuration }

// operatorWithMaxQueue returns an operator with one route, which lets batches wait for maxQueue.
func operatorWithMaxQueue(t *testing.T, maxQueue time.Duration) configuredOperator {
	t.Helper()
	configuration, err := route.New(route.Definition{Routes: []route.Route{{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: route.Batch, MaxQueueTime: maxQueue,
		Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	return configuredOperator{configuration: configuration}
}

// newWaitingJob returns a job with one waiting item, accepted by a daemon whose wall clock is
// behind the owner's by the given time.
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

// The age of a batch must be measured by the owner's monotonic clock. Measured by wall clocks,
// items would expire at once, or never, if the clocks of the accepting daemon and of the owner
// differ.
func TestExpiryUsesMonotonicClock(t *testing.T) {
	const maxQueue = time.Minute
	for _, behind := range []time.Duration{-time.Hour, -time.Minute, 0, 3 * time.Minute, time.Hour} {
		t.Run(behind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := newWaitingJob(t, behind, maxQueue)
				j.giveUpExpired()
				is.Equal(len(j.results.pending), 0) // not expired at the start
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

// Only answers of replicas count as failures of an item, and the fault decides whether the replica
// is avoided.
func TestDecideRetry(t *testing.T) {
	is := is.New(t)
	retried := func(f fault) retryDecision { return retryDecision{fault: f, delay: retryDelay} }
	is.Equal(decideRetry(&forward.QuarantinedError{RetryAfter: time.Minute}, 9, 3), retryDecision{delay: time.Minute})
	is.Equal(decideRetry(forward.ErrDeclined, 9, 3), retried(faultDeclined))
	is.Equal(decideRetry(errTooOld, 9, 3), retried(faultDeclined))
	is.Equal(decideRetry(upstream.ErrPoolExhausted, 9, 3), retried(faultFull))
	is.Equal(decideRetry(context.Canceled, 9, 3), retried(faultFailed))
	is.Equal(decideRetry(&forward.StatusError{Status: 503}, 9, 3), retried(noFault))
	is.Equal(decideRetry(&forward.StatusError{Status: 422}, 0, 3), retryDecision{deadReason: "rejected as unprocessable"})
	is.Equal(decideRetry(&forward.StatusError{Status: 500}, 1, 3), retryDecision{countsAsFailure: true, delay: retryDelay})
	is.Equal(decideRetry(&forward.StatusError{Status: 500}, 2, 3),
		retryDecision{countsAsFailure: true, deadReason: "failed at every attempt"})
	is.Equal(decideRetry(&forward.StatusError{Status: 500}, 0, 0),
		retryDecision{countsAsFailure: true, deadReason: "failed at every attempt"})
}

// The timeout for the first event doubles with each silent attempt, up to its maximum.
func TestFirstEventTimeoutDoubles(t *testing.T) {
	is := is.New(t)
	for silent, timeout := range []time.Duration{
		1500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second,
	} {
		is.Equal(firstEventTimeoutOf(silent), timeout)
	}
}

// longestAtNoReplica is how long an item may be at no replica while nothing is wrong and replicas have
// room.
const longestAtNoReplica = 5 * time.Second

// Guards against an item that is believed to run at a replica that is gone until its step's time is up.
func TestAReplicaThatIsGoneIsNotBelievedForLong(t *testing.T) {
	is := is.New(t)
	for silent := range 10 {
		is.True(firstEventTimeoutOf(silent)+retryDelay+wakeInterval < longestAtNoReplica)
	}
	for eventTime := time.Duration(0); eventTime <= 2*time.Second; eventTime += 10 * time.Millisecond {
		is.True(eventTimeoutOf(eventTime)+retryDelay+wakeInterval < longestAtNoReplica)
		is.True(eventTimeoutOf(eventTime) >= 2*eventTime)
	}
}

// A hand-over that fails because this daemon has no free connection (upstream.ErrPoolExhausted)
// must not mark the replica as failed: other batches would avoid it for seconds.
func TestAFullPoolIsNoFailureOfTheReplicaAsked(t *testing.T) {
	is := is.New(t)
	is.Equal(handOverFault(upstream.ErrPoolExhausted), faultFull)
}
