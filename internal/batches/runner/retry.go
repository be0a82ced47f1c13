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
	// failurePause is how long an item waits after an attempt that failed, and how long a
	// replica without a free slot is spared.
	failurePause = 20 * time.Millisecond
	// firstEventTimeout is how long the first sign of an answer may take, for the first
	// attempt; it doubles with each further one, up to maxFirstEventTimeout.
	firstEventTimeout    = scheduling.MaxFirstEventTimeout
	maxFirstEventTimeout = 10 * time.Second
	// minEventTimeout is the least that is waited for a further event, and eventTimes how many
	// times the replica's event time (a median).
	minEventTimeout = 1200 * time.Millisecond
	eventTimes      = 4
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

// retry is what becomes of an item after a failed attempt.
type retry struct {
	fault fault
	// counts says that the failure is the item's, by its replica's answer.
	counts bool
	// pause is how long the item waits for its next attempt.
	pause time.Duration
	// dead says why the item is given up, "" if it is tried again.
	dead string
}

// retryAfter is the rule for items whose attempt failed: only a replica's own answer counts
// against an item, as often as its route allows attempts; all else is tried again until the
// item is older than its route allows. Failures are those of the item before this one.
func retryAfter(cause error, failures, maxAttempts int) retry {
	var status *forward.StatusError
	var quarantined *forward.QuarantinedError
	switch {
	case errors.As(cause, &quarantined):
		return retry{pause: quarantined.RetryAfter}
	case errors.Is(cause, forward.ErrDeclined), errors.Is(cause, errTooOld):
		return retry{fault: faultDeclined, pause: failurePause}
	case errors.Is(cause, upstream.ErrFull):
		return retry{fault: faultFull, pause: failurePause}
	case errors.As(cause, &status):
		return retryAfterStatus(status.Status, failures, maxAttempts)
	default:
		return retry{fault: faultFailed, pause: failurePause}
	}
}

func retryAfterStatus(status, failures, maxAttempts int) retry {
	switch {
	case status == http.StatusUnprocessableEntity:
		return retry{dead: "cannot be done"}
	case status == http.StatusInternalServerError && exhausted(failures+1, maxAttempts):
		return retry{counts: true, dead: "failed at every attempt"}
	default:
		return retry{counts: status == http.StatusInternalServerError, pause: failurePause}
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

// tooOld reports whether an item is given up that has waited since its batch came to this
// owner. A route without a limit lets items wait for ever.
func tooOld(age, maxQueue time.Duration) bool { return maxQueue > 0 && age >= maxQueue }

// firstEventTimeoutOf returns how long the first sign of an answer may take at an attempt.
func firstEventTimeoutOf(attempt int) time.Duration {
	return min(firstEventTimeout<<min(attempt-1, 3), maxFirstEventTimeout)
}

// eventTimeoutOf returns how long a further event may take at a replica.
func eventTimeoutOf(eventTime time.Duration) time.Duration {
	return max(minEventTimeout, eventTimes*eventTime)
}
