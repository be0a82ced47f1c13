package runner

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/upstream"
)

// The rules that decide whether an item is tried again or given up.

const (
	// retryDelay is the delay before the next attempt at an item. It is also how long a replica is
	// avoided if this daemon has no free connection to the replica.
	retryDelay = 20 * time.Millisecond
	// firstEventTimeout bounds the wait for a replica's first response. The timeout doubles with each
	// attempt in a row that got none, up to maxFirstEventTimeout: the replica may be gone without a
	// sign, and the item must be at another one before it misses its step.
	firstEventTimeout    = scheduling.MaxFirstEventTimeout
	maxFirstEventTimeout = 4 * time.Second
	// minEventTimeout is the minimum timeout for a further event; eventTimeoutFactor times the
	// replica's median event time applies if that is longer, up to maxEventTimeout. slowEventFactor
	// times the event time is always left, so that a replica of very slow events is not cut off.
	minEventTimeout    = 1200 * time.Millisecond
	eventTimeoutFactor = 4
	maxEventTimeout    = 4 * time.Second
	slowEventFactor    = 2
)

// fault says what a failed attempt shows about its replica.
type fault int

const (
	// noFault: the replica is not at fault.
	noFault fault = iota
	// faultDeclined: the replica declines requests, or its weights are too old.
	faultDeclined
	// faultFull: this daemon has no free connection to the replica.
	faultFull
	// faultFailed: the replica was unreachable or the stream broke off.
	faultFailed
)

// retryDecision says what follows a failed attempt at an item.
type retryDecision struct {
	fault fault
	// countsAsFailure says that the replica's answer reports a failure of the item itself.
	countsAsFailure bool
	// delay is the delay before the item's next attempt.
	delay time.Duration
	// deadReason says why the item is given up; it is "" if the item is tried again.
	deadReason string
}

// decideRetry decides what follows a failed attempt at an item. Only answers of replicas count as
// failures of the item, which is given up after maxAttempts failures, or at once if it is
// unprocessable. After any other cause the item is tried again until it expires. failures is the
// number of failures before this attempt.
func decideRetry(cause error, failures, maxAttempts int) retryDecision {
	var status *forward.StatusError
	var quarantined *forward.QuarantinedError
	switch {
	case errors.As(cause, &quarantined):
		return retryDecision{delay: quarantined.RetryAfter}
	case errors.Is(cause, forward.ErrDeclined), errors.Is(cause, errTooOld):
		return retryDecision{fault: faultDeclined, delay: retryDelay}
	case errors.Is(cause, upstream.ErrPoolExhausted):
		return retryDecision{fault: faultFull, delay: retryDelay}
	case errors.As(cause, &status):
		return decideRetryForStatus(status.Status, failures, maxAttempts)
	default:
		return retryDecision{fault: faultFailed, delay: retryDelay}
	}
}

// decideRetryForStatus decides what follows an answer of a replica with an error status.
func decideRetryForStatus(status, failures, maxAttempts int) retryDecision {
	switch {
	case status == http.StatusUnprocessableEntity:
		return retryDecision{deadReason: "rejected as unprocessable"}
	case status == http.StatusInternalServerError && exhausted(failures+1, maxAttempts):
		return retryDecision{countsAsFailure: true, deadReason: "failed at every attempt"}
	default:
		return retryDecision{countsAsFailure: status == http.StatusInternalServerError, delay: retryDelay}
	}
}

// handOverFault returns what a failed hand-over shows about the replica that was asked to continue
// the item. The item continues at its current replica.
func handOverFault(cause error) fault {
	var quarantined *forward.QuarantinedError
	switch {
	case cause == nil, errors.As(cause, &quarantined):
		return noFault
	case errors.Is(cause, forward.ErrDeclined):
		return faultDeclined
	case errors.Is(cause, upstream.ErrPoolExhausted):
		return faultFull
	default:
		return faultFailed
	}
}

// exhausted reports whether no attempt is left after the given number of failures.
func exhausted(failures, maxAttempts int) bool { return failures >= max(maxAttempts, 1) }

// expired reports whether a waiting item whose batch was adopted the given time ago is given up. A
// maxQueue of 0 means no limit.
func expired(age, maxQueue time.Duration) bool { return maxQueue > 0 && age >= maxQueue }

// firstEventTimeoutOf returns the timeout for the replica's first response at an attempt that follows the
// given number of attempts in a row without a response.
func firstEventTimeoutOf(silentAttempts int) time.Duration {
	return min(firstEventTimeout<<min(silentAttempts, 3), maxFirstEventTimeout)
}

// eventTimeoutOf returns the timeout for a further event of a replica with the given event time.
func eventTimeoutOf(eventTime time.Duration) time.Duration {
	timeout := max(minEventTimeout, eventTimeoutFactor*eventTime)
	return min(timeout, max(maxEventTimeout, slowEventFactor*eventTime))
}
