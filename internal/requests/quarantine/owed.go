package quarantine

import "time"

// The rules for contents that are owed: they are never refused, and held back for a bounded time.

const (
	// In a burst of ends, an owed content waits for owedRetryDelay after the end with which other contents
	// are refused, and after each further one. It waits that long at most after fewer ends, whatever
	// holds it back.
	owedRetryDelay = 3 * time.Second
	// Outside a burst, secondEndDelay follows the end with which its runs become isolated, and
	// maxOwedRetryDelay each further one. The item may be harmless, so that each delay stays below the
	// time that a step may have an item at no replica; in sum they bound how fast a content that
	// does end replicas ends the next ones.
	secondEndDelay    = 2500 * time.Millisecond
	maxOwedRetryDelay = 4300 * time.Millisecond
	// burstWindow is how long an end counts as part of a burst: replicas then end that did not run the
	// content.
	burstWindow = 10 * time.Second
	// holdGap is how long after a content was last held back it counts as no longer waiting. Owners
	// ask again within about a second.
	holdGap = 2 * time.Second
	// owedAskInterval bounds the delay after which a refused owner asks again. It is below holdGap, so that
	// all reasons for which the content is held back count as one wait.
	owedAskInterval = time.Second
)

// NeedsIsolation reports whether the content, which is owed, must run at a replica without another
// isolated run.
func (t *Table) NeedsIsolation(content *Content) bool {
	if t.NoneSuspected() {
		return false
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	return s != nil && s.ends() >= minEndsToIsolate && t.holdLeft(s, t.now()) > 0
}

// RunsIsolated reports whether this daemon has an isolated run in progress at a replica, which is an
// incarnation.
func (t *Table) RunsIsolated(replica string) bool {
	if t.NoneSuspected() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolatedRuns[replica] > 0
}

// HeldBack notes that an owed content was not sent to Decide, as no replica without an isolated run has
// room.
func (t *Table) HeldBack(content *Content) {
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.entries[digest]; s != nil {
		s.held(t.now())
	}
}

// owedDelay returns how long after the last end an owed content waits for its next run. t.mu must be held.
func (t *Table) owedDelay(s *suspect, now time.Time) time.Duration {
	inBurst := t.inBurst(s, now)
	switch {
	case s.ends() < minEndsToIsolate, s.ends() < minEndsToRefuse && inBurst:
		return 0
	case inBurst:
		return owedRetryDelay
	case s.ends() < minEndsToRefuse:
		return secondEndDelay
	default:
		return maxOwedRetryDelay
	}
}

// maxHold returns how long an owed content may be held back between two runs, for all reasons together.
// t.mu must be held.
func (t *Table) maxHold(s *suspect, now time.Time) time.Duration {
	return max(t.owedDelay(s, now), owedRetryDelay)
}

// owedRetryAfter returns how long an owed content waits for its next run after the last end, 0 or less if
// it may run. Once the entry is full, and further ends leave no trace in it, the delay counts from the
// last isolated run here. t.mu must be held.
func (t *Table) owedRetryAfter(s *suspect, now time.Time) time.Duration {
	last := s.lastEndAt
	if len(s.Ended) >= maxEndedReplicas && s.isolatedRunEndedAt.After(last) {
		last = s.isolatedRunEndedAt
	}
	return last.Add(t.owedDelay(s, now)).Sub(now)
}

// held notes that an owed run of the content is held back. t.mu must be held.
func (s *suspect) held(now time.Time) {
	if s.heldSince.IsZero() || now.Sub(s.lastHeldAt) > holdGap {
		s.heldSince = now
	}
	s.lastHeldAt = now
}

// inheritHold counts the time for which owed runs of a content were held back elsewhere.
func (t *Table) inheritHold(digest Digest, heldFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	if s == nil || s.isolatedRun != nil {
		return
	}
	now := t.now()
	s.held(now)
	if since := now.Add(-heldFor); since.Before(s.heldSince) {
		s.heldSince = since
	}
}

// holdLeft returns for how long owed runs of the content may still be held back, for all reasons together
// and whatever is learned meanwhile. It is 0 or less if the next one must start. t.mu must be held.
func (t *Table) holdLeft(s *suspect, now time.Time) time.Duration {
	most := t.maxHold(s, now)
	if s.heldSince.IsZero() || now.Sub(s.lastHeldAt) > holdGap {
		return most
	}
	return s.heldSince.Add(most).Sub(now)
}
