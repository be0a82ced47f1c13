package forward

import (
	"time"

	"woodworks/internal/requests/quarantine"
)

// The rule by which a further replica is asked. A plain request is sent to one after each
// attempt that failed and, if nothing is held against its content, while its attempts are silent
// (hedge); a stream after each attempt that failed. That is so
//
//  1. as long as the caller waits and AttemptState.MayRetry allows it;
//  2. for plain requests, if then Call.MayRetry does, which may spend from a budget and is asked
//     last: the policies in force with their retry budget (standalone) and, while the service
//     is full, the budget of further attempts (admission.Ticket.MayRetry).
//
// Within a turn no replica is sent a request twice. A plain request that every replica declined waits for
// another turn at its service (ingress, mostTurns).

const (
	// maxExtraAttempts is how often a request that was certainly not run may be
	// sent to replicas beyond its attempts.
	maxExtraAttempts = 4
	// defaultHedgeDelay is when a second replica is asked while the first is silent whose latency is
	// not known, hedgeFactor after how many times its usual latency else, leastHedge the
	// least time.
	defaultHedgeDelay  = 200 * time.Millisecond
	hedgeLatencyFactor = 3
	minHedgeDelay      = 60 * time.Millisecond
	// noHedgeDelay stands for no hedge, where there is no replica to ask.
	noHedgeDelay = time.Hour
)

// AttemptState is what has become of a request so far.
type AttemptState struct {
	// MayHaveRun counts the attempts that ran or may have, Open those without an outcome yet,
	// NotRun those that certainly have not run.
	MayHaveRun, Open, NotRun int
	// MaxAttempts is how many attempts may run, one at least.
	MaxAttempts int
	// Repeatable requests, and streams that can be resumed, may run more than once.
	Repeatable bool
	// Suspicion is what is held against the content, Refused that it may not run now.
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
		// A content that has just ended replicas, or of which another daemon has learned so, runs
		// next alone, if at all.
		return s.Repeatable && s.Suspicion < quarantine.OnlyAlone
	}
}

// hedgeDelay is how long an attempt may be silent before another replica is asked, by the
// route's own time, if it has one, or by the replica's usual latency, 0 if it is not known.
func hedgeDelay(ofRoute, latency time.Duration) time.Duration {
	switch {
	case ofRoute > 0:
		return ofRoute
	case latency == 0:
		return defaultHedgeDelay
	default:
		return max(hedgeLatencyFactor*latency, minHedgeDelay)
	}
}
