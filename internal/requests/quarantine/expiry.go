package quarantine

import (
	"time"

	"go.uber.org/zap"
)

const (
	// suspicionTTL is how long after its last end a content is remembered. One that still
	// comes then begins anew, so that a fault which was mended without a word to
	// the operator of this service is found mended within a day.
	suspicionTTL = 24 * time.Hour
	// brokenConnectionTTL is how long a broken connection may turn out to be the end of its
	// replica: an entry lapses three heartbeats after its process, a few seconds.
	brokenConnectionTTL = 8 * time.Second
	// clearedTTL is how long a cleared content is remembered, so that what another daemon
	// tells late of its earlier epoch changes nothing.
	clearedTTL = 10 * time.Minute
	// maxEntries bounds the contents remembered, each of 3 KiB at most with its label. At
	// three ends each, that many mean 12,000 crashes within forgetAfter.
	maxEntries = 4096
)

// remove drops an entry. The mutex is held.
func (t *Table) remove(s *suspect, reason string) {
	if s.active() {
		t.activeCount.Add(-1)
		t.logger.Info("content forgotten", zap.String("content", s.Digest.Short()), zap.String("reason", reason),
			zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
			zap.Bool("refused", s.refused()), zap.Uint64("turned_away", s.turnedAway))
	}
	delete(t.entries, s.Digest)
	delete(t.changed, s.Digest)
}

// evictOne makes room: of the contents with the fewest ends the one that was not used
// for longest goes. The mutex is held.
func (t *Table) evictOne() {
	var least *suspect
	for _, s := range t.entries {
		if s.isolatedRun == nil && (least == nil || s.evictedBefore(least)) {
			least = s
		}
	}
	if least != nil {
		t.remove(least, "too many")
	}
}

// evictedBefore orders entries by how little is lost with them.
func (s *suspect) evictedBefore(other *suspect) bool {
	if s.ends() != other.ends() {
		return s.ends() < other.ends()
	}
	return s.usedAt.Before(other.usedAt)
}

// Sweep decides on broken connections by which replicas are still listed, and forgets
// what is old. One that is listed as started again has ended.
func (t *Table) Sweep(listed func(replica string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.entries {
		t.resolveBroken(s, now, listed)
		switch {
		case s.isolatedRun != nil:
		case len(s.Ended) > 0 && now.Sub(s.lastEndAt) > suspicionTTL:
			t.clearEntry(s, "long ago")
		case !s.active() && s.journaled == nil && now.Sub(s.usedAt) > clearedTTL:
			t.remove(s, "cleared")
		}
	}
}

// resolveBroken decides on the broken connections of an entry. The mutex is held.
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
