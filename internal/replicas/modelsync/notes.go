package modelsync

import (
	"maps"
	"time"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/replicas/replica"
)

// note is what is remembered of one engine, or of one incarnation of it: a change and its
// rest belong to the incarnation that they were ordered of.
type note struct {
	start replica.Incarnation
	// model is the one that the engine was dealt to, "" for none.
	model   string
	loading bool
	// rest is the pause after changes that failed.
	rest     backoff.Rest
	listedAt time.Time
	// best is the best event time of late.
	best replica.RollingMin
}

// forgetAfter is how long a note outlives its engine's place in the list, from
// which an outage of the journal may take all for a while.
const forgetAfter = 30 * time.Second

// isLoading reports whether a change of an engine is under way.
func (s *Syncer) isLoading(replicaID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notes[replicaID]
	return n != nil && n.loading
}

// noteListed keeps the notes of the engines that are listed, with their best event times.
func (s *Syncer) noteListed(replicas []replica.Replica, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rep := range replicas {
		n := s.noteOf(rep.ID)
		if n.start != rep.Incarnation() {
			// The engine keeps the model that it was dealt to, and nothing else.
			n = &note{start: rep.Incarnation(), model: n.model}
			s.notes[rep.ID] = n
		}
		n.listedAt = now
		if eventTime, age := s.EventTime(rep); eventTime > 0 && age <= maxEventTimeAge {
			n.best.Observe(eventTime, bestSpan, now)
		}
	}
}

// forget drops the notes of engines that are long gone.
func (s *Syncer) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.notes, func(_ string, n *note) bool { return !n.loading && now.Sub(n.listedAt) > forgetAfter })
}

// noteOf returns the note of an engine. The mutex is held.
func (s *Syncer) noteOf(id string) *note {
	n := s.notes[id]
	if n == nil {
		n = &note{}
		s.notes[id] = n
	}
	return n
}
