package quarantine

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
)

// ReplicaEnded notes that a replica of a service ended while it ran the content.
func (t *Table) ReplicaEnded(content *Content, replica, service string) {
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureEntry(digest)
	s.setLabel(content, service)
	t.addEnd(s, replica)
}

// ConnectionBroken notes that the connection to a replica ended while it ran the content, and that
// its process may have.
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

// addEnd adds a replica to those that addEnd under a content. The mutex is held.
func (t *Table) addEnd(s *suspect, name string) {
	added := false
	t.update(s, func() {
		delete(s.brokenAt, name)
		added = s.addEnd(name, t.now())
		if added && s.refused() && s.Keeper == "" {
			s.Keeper = t.machine
		}
	})
	if !added {
		return
	}
	s.changedHere = true
	t.logger.Warn("replica ended under a content", zap.String("content", s.Digest.Short()),
		zap.String("replica", replica.Incarnation(name).ID()), zap.String("start", name),
		zap.String("service", s.Label.Service), zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
		zap.Int64("epoch", s.Epoch), zap.Bool("refused", s.refused()),
		zap.String("host", s.Label.Host), zap.String("target", s.Label.Target), zap.String("caller", s.Label.Caller))
	t.announce(s)
}

// Answered notes that a replica gave the content a whole answer: it does not end what
// runs it.
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

// Lift clears a content for an operator. It reports whether there was something to clear.
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

// clearEntry begins a new epoch of a content. The mutex is held.
func (t *Table) clearEntry(s *suspect, reason string) {
	t.logger.Info("content cleared", zap.String("content", s.Digest.Short()), zap.String("reason", reason),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
		zap.Int64("epoch", s.Epoch), zap.Bool("refused", s.refused()), zap.Uint64("turned_away", s.turnedAway))
	t.update(s, func() {
		s.Entry = Entry{Digest: s.Digest, Epoch: s.Epoch + 1, Label: s.Label}
		s.brokenAt, s.endSeenAt, s.turnedAway = nil, nil, 0
	})
	s.changedHere = true
	t.announce(s)
}

// Merge takes in what another daemon knows of contents. What is news is told on.
func (t *Table) Merge(entries []Entry, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range entries {
		if s := t.ensureEntry(other.Digest); t.merge(s, other, from) {
			t.announce(s)
		}
	}
}

// merge takes in what is known elsewhere of one content, and reports whether it was news.
// The mutex is held.
func (t *Table) merge(s *suspect, other Entry, from string) bool {
	news := false
	t.update(s, func() { news = s.merge(other, t.now()) })
	if !news {
		return false
	}
	t.logger.Info("content learned of", zap.String("content", s.Digest.Short()), zap.String("from", from),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()),
		zap.Int64("epoch", s.Epoch), zap.Bool("refused", s.refused()), zap.String("keeper", s.Keeper))
	return true
}
