package quarantine

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
)

// Ended notes that a replica of a service ended while it ran the content.
func (t *Table) Ended(content *Content, replica, service string) {
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entry(digest)
	found.label(content, service)
	t.ended(found, replica)
}

// Broke notes that the connection to a replica ended while it ran the content, and that
// its process may have.
func (t *Table) Broke(content *Content, replica, service string) {
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entry(digest)
	found.label(content, service)
	t.change(found, func() {
		if found.broke == nil {
			found.broke = map[string]time.Time{}
		}
		if len(found.broke) < endedKept {
			found.broke[replica] = t.now()
		}
	})
}

// ended adds a replica to those that ended under a content. The mutex is held.
func (t *Table) ended(found *known, name string) {
	added := false
	t.change(found, func() {
		delete(found.broke, name)
		added = found.addEnd(name, t.now())
		if added && found.refused() && found.Keeper == "" {
			found.Keeper = t.machine
		}
	})
	if !added {
		return
	}
	found.ownChange = true
	t.logger.Warn("replica ended under a content", zap.String("content", found.Digest.Short()), zap.String("replica", replica.Start(name).ID()), zap.String("start", name),
		zap.String("service", found.Label.Service), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()), zap.Int64("epoch", found.Epoch), zap.Bool("refused", found.refused()),
		zap.String("host", found.Label.Host), zap.String("target", found.Label.Target), zap.String("caller", found.Label.Caller))
	t.tell(found)
}

// Answered notes that a replica gave the content a whole answer: it does not end what
// runs it.
func (t *Table) Answered(content *Content) {
	if t.Quiet() {
		return
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[digest]
	switch {
	case found == nil:
	case len(found.Ended) > 0:
		t.clear(found, "answered")
	case len(found.broke) > 0:
		t.change(found, func() { found.broke = nil })
	}
}

// Lift clears a content for an operator. It reports whether there was something to clear.
func (t *Table) Lift(digest Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[digest]
	if found == nil || len(found.Ended) == 0 {
		return false
	}
	t.clear(found, "lifted by an operator")
	return true
}

// clear begins a new epoch of a content. The mutex is held.
func (t *Table) clear(found *known, reason string) {
	t.logger.Info("content cleared", zap.String("content", found.Digest.Short()), zap.String("reason", reason), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()),
		zap.Int64("epoch", found.Epoch), zap.Bool("refused", found.refused()), zap.Uint64("turned_away", found.turnedAway))
	t.change(found, func() {
		found.Entry = Entry{Digest: found.Digest, Epoch: found.Epoch + 1, Label: found.Label}
		found.broke, found.seenAt, found.turnedAway = nil, nil, 0
	})
	found.ownChange = true
	t.tell(found)
}

// Merge takes in what another daemon knows of contents. What is news is told on.
func (t *Table) Merge(entries []Entry, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, told := range entries {
		if found := t.entry(told.Digest); t.merge(found, told, from) {
			t.tell(found)
		}
	}
}

// merge takes in what is known elsewhere of one content, and reports whether it was news.
// The mutex is held.
func (t *Table) merge(found *known, told Entry, from string) bool {
	news := false
	t.change(found, func() { news = found.merge(told, t.now()) })
	if !news {
		return false
	}
	t.logger.Info("content learned of", zap.String("content", found.Digest.Short()), zap.String("from", from), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()),
		zap.Int64("epoch", found.Epoch), zap.Bool("refused", found.refused()), zap.String("keeper", found.Keeper))
	return true
}
