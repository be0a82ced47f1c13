package forward

import (
	"time"

	"woodworks/internal/requests/quarantine"
)

// The rule for asking a further replica. A plain request is sent to a further replica after each
// failed attempt and, if its content is not suspected, as a hedge while its attempts are
// unanswered; a stream after each failed attempt. The conditions are:
//
//  1. The caller still waits, and AttemptState.MayRetry allows it.
//  2. For plain requests, Call.MayRetry allows it. Call.MayRetry is asked last, as it may spend
//     from a budget. It applies the policies in force with their retry budget (package standalone)
//     and, while the service is full, the budget of further attempts (admission.Ticket.MayRetry).
//
// Within one admission, no replica gets a request twice. A plain request that every replica
// declined waits to be admitted again (ingress, maxAdmissions).

const (
	// maxExtraAttempts is the number of attempts, beyond MaxAttempts, that may be made because
	// earlier ones certainly did not run.
	maxExtraAttempts = 4
	// A hedge is sent after hedgeLatencyFactor times the replica's usual latency, but at least
	// minHedgeDelay, or after defaultHedgeDelay if the latency is not known.
	defaultHedgeDelay  = 200 * time.Millisecond
	hedgeLatencyFactor = 3
	minHedgeDelay      = 60 * time.Millisecond
	// noHedgeDelay is longer than any call. It is used when there is no replica to ask.
	noHedgeDelay = time.Hour
)

// AttemptState is the state of a request's attempts, as input of the retry rule.
type AttemptState struct {
	// MayHaveRun counts the attempts that ran or may have run, Open those without an outcome
	// yet, NotRun those that certainly have not run.
	MayHaveRun, Open, NotRun int
	// MaxAttempts is how many attempts may run; values below 1 count as 1.
	MaxAttempts int
	// Repeatable is set if the request may run more than once. For a stream it is set if the
	// stream is resumable.
	Repeatable bool
	// Suspicion is the quarantine's suspicion against the content. ContentRefused reports that the
	// content may not run now.
	Suspicion      quarantine.Suspicion
	ContentRefused bool
}

// MayRetry reports whether a further replica may be asked.
func (s AttemptState) MayRetry() bool {
	started := s.MayHaveRun + s.Open
	switch {
	case s.ContentRefused, s.NotRun > maxExtraAttempts, started >= max(s.MaxAttempts, 1):
		return false
	case started == 0:
		return true
	default:
		// A content under which replicas have just ended, as observed here or reported by
		// another daemon, may only have isolated runs afterwards.
		return s.Repeatable && s.Suspicion < quarantine.IsolatedOnly
	}
}

// hedgeDelay returns how long an attempt may be unanswered before another replica is asked. This
// is routeDelay, or, if routeDelay is 0, a delay derived from the replica's usual latency. A
// latency of 0 means that the latency is not known.
func hedgeDelay(routeDelay, latency time.Duration) time.Duration {
	switch {
	case routeDelay > 0:
		return routeDelay
	case latency == 0:
		return defaultHedgeDelay
	default:
		return max(hedgeLatencyFactor*latency, minHedgeDelay)
	}
}
