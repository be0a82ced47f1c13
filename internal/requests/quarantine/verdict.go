package quarantine

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/refusal"
)

const (
	// minEndsToIsolate is the number of ends from which a content runs only in isolation, and
	// minEndsToRefuse the number from which the content is refused. One end may coincide with an
	// unrelated crash. Two ends without an answer in between are rare for a harmless content,
	// and a third end would have to coincide with the content's isolated run.
	minEndsToIsolate = 2
	minEndsToRefuse  = 3
	// maxEndedReplicas bounds the replicas that an entry lists.
	maxEndedReplicas = 8
	// endDedupWindow is the time within which several reports of an end of a replica count as
	// one end, if the replica's incarnations cannot be told apart. Concurrent runs report an end
	// within milliseconds, and a process cannot restart and end again within this time.
	endDedupWindow = time.Second
	// recentEndMaxAge is the age up to which an end counts as recent. A replica with a recent
	// end is assumed to be unavailable, and a suspected content waits until another replica of
	// its service is available. An ended process is usually replaced within seconds.
	recentEndMaxAge = 5 * time.Second
	// retryDelay is how long after its last end a refused content may run once more at its
	// keeper.
	retryDelay = 15 * time.Second
)

// Suspicion is the degree to which a content is suspected of ending replicas.
type Suspicion int

// The degrees of Suspicion, in increasing order.
const (
	// Unsuspected: no replica has ended under the content since its last answer.
	Unsuspected Suspicion = iota
	// Suspected: one end; the content runs without a hedge.
	Suspected
	// IsolatedOnly: the content may only run in isolation.
	IsolatedOnly
	// Quarantined: the content is refused.
	Quarantined
)

// Decision is the result of Table.Decide: Allowed, Isolated, Wait, OtherReplica or Refused.
type Decision interface{ isDecision() }

// Allowed permits the content to run without restrictions.
type Allowed struct{}

// Isolated permits one run of the content at the replica passed to Decide, where this daemon
// starts no other isolated run meanwhile, unless one that is owed has been held back for
// long. The caller must call End when the run is done and its
// outcome has been reported to the table. End may be called more than once.
type Isolated struct{ End func() }

// Wait means that an isolated run of the content is in progress. Over is closed when that run
// ends; the caller may then call Decide again.
type Wait struct{ Over <-chan struct{} }

// OtherReplica means that the content may not run at the replica passed to Decide, but may run
// at another replica. Either another isolated run is in progress at the replica, or the replica
// recently ended under the content.
type OtherReplica struct{}

// Refused means that the content must not run now. It is never Final for a content that is owed.
type Refused struct {
	// Ended is the number of ends counted for the content.
	Ended int
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
	// Final reports that this daemon will not run the content until its refusal expires, is
	// lifted by an operator, or is cleared by the keeper's run.
	Final bool
}

func (Allowed) isDecision()      {}
func (Isolated) isDecision()     {}
func (Wait) isDecision()         {}
func (OtherReplica) isDecision() {}
func (Refused) isDecision()      {}

// Suspicion returns how far a content is suspected. Unlike Decide, it starts no run.
func (t *Table) Suspicion(content *Content) Suspicion {
	if t.NoneSuspected() {
		return Unsuspected
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	switch {
	case s == nil || len(s.Ended) == 0:
		return Unsuspected
	case s.ends() < minEndsToIsolate:
		return Suspected
	case !s.refused():
		return IsolatedOnly
	default:
		return Quarantined
	}
}

// Blocked reports whether the content must not run at any replica now.
func (t *Table) Blocked(content *Content) bool {
	if t.NoneSuspected() {
		return false
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	switch {
	case s == nil || s.ends() < minEndsToIsolate:
		return false
	case content.Owed:
		now := t.now()
		blocked := t.owedRetryAfter(s, now) > 0 && t.holdLeft(s, now) > 0
		if blocked {
			s.held(now)
		}
		return blocked
	default:
		return s.refused() && !t.mayRetry(s, t.now())
	}
}

// Decide returns whether the content may run now at replica, which is an incarnation. If the
// result is Isolated, the run counts as started until its End is called. others returns the
// incarnations of the other listed replicas of the service. Decide calls others only for
// contents with at least minEndsToIsolate ends. t.mu is held during the call, so others must not
// call the table.
func (t *Table) Decide(content *Content, replica string, others func() []string) Decision {
	if t.NoneSuspected() {
		return Allowed{}
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	if s == nil || len(s.Ended) == 0 {
		return Allowed{}
	}
	now := t.now()
	s.usedAt = now
	if s.ends() < minEndsToIsolate {
		return Allowed{}
	}
	decision := t.decide(s, content.Owed, replica, now, others)
	if _, runs := decision.(Isolated); !runs && content.Owed {
		s.held(now)
	}
	return decision
}

// decide decides on a content with at least minEndsToIsolate ends. t.mu must be held.
func (t *Table) decide(s *suspect, owed bool, replica string, now time.Time, others func() []string) Decision {
	if owed && t.holdLeft(s, now) <= 0 {
		return t.startIsolated(s, replica, owed)
	}
	if refused, ok := t.refusalFor(s, owed, now, others); ok {
		s.turnedAway++
		t.turnedAway.Add(1)
		return refused
	}
	switch {
	case s.isolatedRun != nil:
		return Wait{Over: s.isolatedRun}
	case t.isolatedRuns[replica] > 0, s.endedRecently(replica, now):
		return OtherReplica{}
	}
	return t.startIsolated(s, replica, owed)
}

// refusalFor returns a refusal and true if the content must not run at any replica now,
// otherwise false. t.mu must be held.
func (t *Table) refusalFor(s *suspect, owed bool, now time.Time, others func() []string) (Refused, bool) {
	since := now.Sub(s.lastEndAt)
	refused := Refused{Ended: s.ends()}
	final := s.refused() && !owed
	switch {
	case final && (s.Keeper != t.machine || s.Retried):
		refused.RetryAfter, refused.Final = refusal.Quarantined.RetryAfter, true
	case final && since < retryDelay:
		refused.RetryAfter = retryDelay - since
	case owed && t.owedRetryAfter(s, now) > 0:
		refused.RetryAfter = t.owedRetryAfter(s, now)
	case s.isolatedRun == nil && since < recentEndMaxAge && !s.anyAvailable(others(), now):
		refused.RetryAfter = min(refusal.IsolatedRunPending.RetryAfter, recentEndMaxAge-since)
	default:
		return Refused{}, false
	}
	if owed {
		refused.RetryAfter = min(refused.RetryAfter, t.holdLeft(s, now), owedAskInterval)
	}
	return refused, true
}

// mayRetry reports whether this daemon, as the keeper, may now run a refused content once more.
// t.mu must be held.
func (t *Table) mayRetry(s *suspect, now time.Time) bool {
	return s.Keeper == t.machine && !s.Retried && now.Sub(s.lastEndAt) >= retryDelay
}

// anyAvailable reports whether at least one of the replicas has not recently ended under the
// content.
func (s *suspect) anyAvailable(replicas []string, now time.Time) bool {
	return slices.ContainsFunc(replicas, func(id string) bool { return !s.endedRecently(id, now) })
}

// startIsolated starts an isolated run of the content. If the content is refused and not owed, the run
// is the keeper's only retry, and the entry is marked as retried. t.mu must be held.
func (t *Table) startIsolated(s *suspect, name string, owed bool) Isolated {
	done := make(chan struct{})
	s.isolatedRun, s.heldSince = done, time.Time{}
	t.isolatedRuns[name]++
	if s.refused() && !owed {
		t.update(s, func() { s.Retried, s.changedHere = true, true })
		t.announce(s)
	}
	t.logger.Info("isolated run started", zap.String("content", s.Digest.Short()),
		zap.String("replica", replica.Incarnation(name).ID()), zap.String("start", name),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()), zap.Bool("refused", s.refused()),
		zap.Bool("owed", owed), zap.Duration("since_end", t.now().Sub(s.lastEndAt)))
	var once sync.Once
	return Isolated{End: func() { once.Do(func() { t.endIsolated(s, name, done) }) }}
}

// endIsolated ends an isolated run and wakes the callers that wait for it.
func (t *Table) endIsolated(s *suspect, replica string, done chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.isolatedRunEndedAt = t.now()
	if s.isolatedRun == done {
		s.isolatedRun = nil
		s.held(s.isolatedRunEndedAt)
	}
	close(done)
	t.isolatedRuns[replica]--
	if t.isolatedRuns[replica] <= 0 {
		delete(t.isolatedRuns, replica)
	}
}
