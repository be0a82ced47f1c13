package quarantine

import (
	"time"

	"go.uber.org/zap"
)

const (
	// suspicionTTL is how long after the last end a content stays suspected or refused. Later
	// ends count from zero. A content whose fault has been mended thereby runs again even if no
	// operator lifts the refusal.
	suspicionTTL = 24 * time.Hour
	// brokenConnectionTTL is how long after a connection broke its replica's end can still be
	// detected. The replica list drops a replica after three missed heartbeats, which is a few
	// seconds.
	brokenConnectionTTL = 8 * time.Second
	// clearedTTL is how long a cleared entry is kept, so that delayed messages about its
	// earlier epoch are ignored.
	clearedTTL = 10 * time.Minute
	// maxEntries bounds the entries of a table, each of at most 3 KiB with its label. If all are
	// refused, at least 12,000 replicas have ended within suspicionTTL.
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

// evictOne makes room by removing one entry: of the entries with the fewest ends, the least
// recently used one. Entries with an isolated run in progress are not removed. t.mu must be
// held.
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

// evictedBefore reports whether s is to be evicted rather than other.
func (s *suspect) evictedBefore(other *suspect) bool {
	if s.ends() != other.ends() {
		return s.ends() < other.ends()
	}
	return s.usedAt.Before(other.usedAt)
}

// Sweep resolves broken connections, clears suspicions after suspicionTTL and removes cleared
// entries after clearedTTL. sound reports whether the replica list shows no crash of an incarnation: it is
// listed, or was draining when it left. Another one has crashed; this includes that of a restarted replica. Sweep
// calls sound with t.mu held, so sound must not call the table.
func (t *Table) Sweep(sound func(replica string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.entries {
		t.resolveBroken(s, now, sound)
		switch {
		case s.isolatedRun != nil:
		case len(s.Ended) > 0 && now.Sub(s.lastEndAt) > suspicionTTL:
			t.clearEntry(s, "expired")
		case !s.active() && s.journaled == nil && now.Sub(s.usedAt) > clearedTTL:
			t.remove(s, "cleared entry expired")
		}
	}
}

// resolveBroken counts a broken connection of an entry as an end if its replica is no longer
// sound. A broken connection to a replica that stays so is discarded after
// brokenConnectionTTL. t.mu must be held.
func (t *Table) resolveBroken(s *suspect, now time.Time, sound func(replica string) bool) {
	for replica, at := range s.brokenAt {
		switch {
		case !sound(replica):
			t.addEnd(s, replica)
		case now.Sub(at) > brokenConnectionTTL:
			t.update(s, func() { delete(s.brokenAt, replica) })
		}
	}
}
