package quarantine

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
)

// ReplicaEnded records that a replica of the service ended while it ran the content. replica is
// an incarnation.
func (t *Table) ReplicaEnded(content *Content, replica, service string) {
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureEntry(digest)
	s.setLabel(content, service)
	t.addEnd(s, replica)
}

// ConnectionBroken records that the connection to a replica broke while the replica ran the
// content, so that the replica's process may have ended. Sweep finds out whether it has ended.
// replica is an incarnation.
func (t *Table) ConnectionBroken(content *Content, replica, service string) {
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureEntry(digest)
	s.setLabel(content, service)
	t.update(s, func() {
		if s.brokenAt == nil {
			s.brokenAt = map[string]time.Time{}
		}
		if len(s.brokenAt) < maxEndedReplicas {
			s.brokenAt[replica] = t.now()
		}
	})
}

// addEnd counts an end of a replica under a content. If the end is not counted yet, it is logged
// and the entry is announced. The third end makes this machine the keeper, unless the entry has
// a keeper. t.mu must be held.
func (t *Table) addEnd(s *suspect, name string) {
	added := false
	t.update(s, func() {
		now := t.now()
		delete(s.brokenAt, name)
		t.noteEnd(s, name, now)
		added = s.addEnd(name, now)
		if added && s.refused() && s.Keeper == "" {
			s.Keeper = t.machine
		}
	})
	if !added {
		return
	}
	s.changedHere = true
	t.logger.Warn("replica ended while running content", zap.String("content", s.Digest.Short()),
		zap.String("replica", replica.Incarnation(name).ID()), zap.String("start", name),
		zap.String("service", s.Label.Service), zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
		zap.Int64("epoch", s.Epoch), zap.Bool("refused", s.refused()),
		zap.String("host", s.Label.Host), zap.String("target", s.Label.Target), zap.String("caller", s.Label.Caller))
	t.announce(s)
}

// Answered records that a replica answered the content completely, which clears the content of
// all suspicion.
func (t *Table) Answered(content *Content) {
	if t.NoneSuspected() {
		return
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	switch {
	case s == nil:
	case len(s.Ended) > 0:
		t.clearEntry(s, "answered")
	case len(s.brokenAt) > 0:
		t.update(s, func() { s.brokenAt = nil })
	}
}

// Lift clears a content of all suspicion on behalf of an operator. It returns false if no
// replica has ended under the content.
func (t *Table) Lift(digest Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	if s == nil || len(s.Ended) == 0 {
		return false
	}
	t.clearEntry(s, "lifted by an operator")
	return true
}

// clearEntry starts a new epoch of a content, in which no replica has ended, and announces the
// entry. t.mu must be held.
func (t *Table) clearEntry(s *suspect, reason string) {
	t.logger.Info("content cleared", zap.String("content", s.Digest.Short()), zap.String("reason", reason),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
		zap.Int64("epoch", s.Epoch), zap.Bool("refused", s.refused()), zap.Uint64("turned_away", s.turnedAway))
	t.update(s, func() {
		s.Entry = Entry{Digest: s.Digest, Epoch: s.Epoch + 1, Label: s.Label}
		s.brokenAt, s.endSeenAt, s.turnedAway = nil, nil, 0
		s.ownEnds, s.heldSince = nil, time.Time{}
	})
	s.changedHere = true
	t.announce(s)
}

// Merge applies entries received from another daemon. Entries that changed the table are
// announced in turn. from names the sender in the log.
func (t *Table) Merge(entries []Entry, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range entries {
		if s := t.ensureEntry(other.Digest); t.merge(s, other, from) {
			t.announce(s)
		}
	}
}

// merge applies one received entry and reports whether it changed the table. t.mu must be held.
func (t *Table) merge(s *suspect, other Entry, from string) bool {
	changed := false
	t.update(s, func() {
		now := t.now()
		before := maps.Clone(s.Ended)
		if changed = s.merge(other, now); !changed {
			return
		}
		for name, times := range s.Ended {
			if times > before[name] {
				t.noteEnd(s, name, now)
			}
		}
	})
	if !changed {
		return false
	}
	t.logger.Info("content entry merged", zap.String("content", s.Digest.Short()), zap.String("from", from),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
		zap.Int64("epoch", s.Epoch), zap.Bool("refused", s.refused()), zap.String("keeper", s.Keeper))
	return true
}
