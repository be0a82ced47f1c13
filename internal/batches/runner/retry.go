package runner

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/upstream"
)

// The rules by which items are tried again and given up.

const (
	// retryDelay is how long an item waits after an attempt that failed, and how long a
	// replica without a free slot is spared.
	retryDelay = 20 * time.Millisecond
	// firstEventTimeout is how long the first sign of an answer may take, for the first
	// attempt; it doubles with each further one, up to maxFirstEventTimeout.
	firstEventTimeout    = scheduling.MaxFirstEvent
	maxFirstEventTimeout = 10 * time.Second
	// minEventTimeout is the least that is waited for a further event, and eventTimes how many
	// times the replica's event time (a median).
	minEventTimeout    = 1200 * time.Millisecond
	eventTimeoutFactor = 4
)

// fault is what a failed attempt says of its replica.
type fault int

const (
	// noFault: the replica has done nothing wrong.
	noFault fault = iota
	// faultDeclined: it takes nothing now, as its weights change or are too old.
	faultDeclined
	// faultFull: this daemon has no connection left to it.
	faultFull
	// faultFailed: it is not there, or broke off.
	faultFailed
)

// retryDecision is what becomes of an item after a failed attempt.
type retryDecision struct {
	fault fault
	// countsAsFailure says that the failure is the item's, by its replica's answer.
	countsAsFailure bool
	// delay is how long the item waits for its next attempt.
	delay time.Duration
	// deadReason says why the item is given up, "" if it is tried again.
	deadReason string
}

// decideRetry is the rule for items whose attempt failed: only a replica's own answer counts
// against an item, as often as its route allows attempts; all else is tried again until the
// item is older than its route allows. Failures are those of the item before this one.
func decideRetry(cause error, failures, maxAttempts int) retryDecision {
	var status *forward.StatusError
	var quarantined *forward.QuarantinedError
	switch {
	case errors.As(cause, &quarantined):
		return retryDecision{delay: quarantined.RetryAfter}
	case errors.Is(cause, forward.ErrDeclined), errors.Is(cause, errTooOld):
		return retryDecision{fault: faultDeclined, delay: retryDelay}
	case errors.Is(cause, upstream.ErrFull):
		return retryDecision{fault: faultFull, delay: retryDelay}
	case errors.As(cause, &status):
		return decideRetryForStatus(status.Status, failures, maxAttempts)
	default:
		return retryDecision{fault: faultFailed, delay: retryDelay}
	}
}

func decideRetryForStatus(status, failures, maxAttempts int) retryDecision {
	switch {
	case status == http.StatusUnprocessableEntity:
		return retryDecision{deadReason: "cannot be done"}
	case status == http.StatusInternalServerError && exhausted(failures+1, maxAttempts):
		return retryDecision{countsAsFailure: true, deadReason: "failed at every attempt"}
	default:
		return retryDecision{countsAsFailure: status == http.StatusInternalServerError, delay: retryDelay}
	}
}

// handOverFault is what a failed hand-over says of the replica that was asked; the item goes on
// where it is.
func handOverFault(cause error) fault {
	var quarantined *forward.QuarantinedError
	switch {
	case cause == nil, errors.As(cause, &quarantined):
		return noFault
	case errors.Is(cause, forward.ErrDeclined):
		return faultDeclined
	default:
		return faultFailed
	}
}

// exhausted reports whether a route allows no more attempts after so many failures.
func exhausted(failures, maxAttempts int) bool { return failures >= max(maxAttempts, 1) }

// expired reports whether an item is given up that has waited since its batch came to this
// owner. A route without a limit lets items wait for ever.
func expired(age, maxQueue time.Duration) bool { return maxQueue > 0 && age >= maxQueue }

// firstEventTimeoutOf returns how long the first sign of an answer may take at an attempt.
func firstEventTimeoutOf(attempt int) time.Duration {
	return min(firstEventTimeout<<min(attempt-1, 3), maxFirstEventTimeout)
}

// eventTimeoutOf returns how long a further event may take at a replica.
func eventTimeoutOf(eventTime time.Duration) time.Duration {
	return max(minEventTimeout, eventTimeoutFactor*eventTime)
}
