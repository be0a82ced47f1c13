package quarantine

import (
	"time"

	"go.uber.org/zap"
)

const (
	// suspicionTTL is how long after the last end a content stays suspected or refused. Later
	// ends count from zero, so a fixed fault is noticed even if no operator lifts the refusal.
	suspicionTTL = 24 * time.Hour
	// brokenConnectionTTL is how long a broken connection may still turn out to be the end of
	// its replica. The list drops a replica after three missed heartbeats, a few seconds.
	brokenConnectionTTL = 8 * time.Second
	// clearedTTL is how long a cleared entry is kept, so that delayed messages about its
	// earlier epoch are ignored.
	clearedTTL = 10 * time.Minute
	// maxEntries bounds the entries of a table, each of at most 3 KiB with its label.
	maxEntries = 4096
)

// remove deletes an entry from the table. t.mu must be held.
func (t *Table) remove(s *suspect, reason string) {
	if s.active() {
		t.activeCount.Add(-1)
		t.logger.Info("content entry removed", zap.String("content", s.Digest.Short()), zap.String("reason", reason),
			zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
			zap.Bool("refused", s.refused()), zap.Uint64("turned_away", s.turnedAway))
	}
	delete(t.entries, s.Digest)
	delete(t.changed, s.Digest)
}

// evictOne removes the least recently used of the entries with the fewest ends, to make room.
// It spares entries with an isolated run in progress. t.mu must be held.
func (t *Table) evictOne() {
	var victim *suspect
	for _, s := range t.entries {
		if s.isolatedRun == nil && (victim == nil || s.evictedBefore(victim)) {
			victim = s
		}
	}
	if victim != nil {
		t.remove(victim, "table full")
	}
}

// evictedBefore reports whether s is evicted in preference to other.
func (s *suspect) evictedBefore(other *suspect) bool {
	if s.ends() != other.ends() {
		return s.ends() < other.ends()
	}
	return s.usedAt.Before(other.usedAt)
}

// Sweep resolves broken connections, clears suspicions after suspicionTTL and removes cleared
// entries after clearedTTL. Listed reports whether the replica list has an incarnation; one
// that is missing, also because its replica has restarted, has ended. Sweep calls it with t.mu
// held.
func (t *Table) Sweep(listed func(replica string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.entries {
		t.resolveBroken(s, now, listed)
		switch {
		case s.isolatedRun != nil:
		case len(s.Ended) > 0 && now.Sub(s.lastEndAt) > suspicionTTL:
			t.clearEntry(s, "expired")
		case !s.active() && s.journaled == nil && now.Sub(s.usedAt) > clearedTTL:
			t.remove(s, "cleared entry expired")
		}
	}
}

// resolveBroken counts each broken connection of an entry as an end if its replica is no longer
// listed, and discards it after brokenConnectionTTL otherwise. t.mu must be held.
func (t *Table) resolveBroken(s *suspect, now time.Time, listed func(replica string) bool) {
	for replica, at := range s.brokenAt {
		switch {
		case !listed(replica):
			t.addEnd(s, replica)
		case now.Sub(at) > brokenConnectionTTL:
			t.update(s, func() { delete(s.brokenAt, replica) })
		}
	}
}
