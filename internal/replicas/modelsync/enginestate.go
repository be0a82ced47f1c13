package modelsync

import (
	"maps"
	"time"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/replicas/replica"
)

// engineState is what is remembered of one engine, or of one incarnation of it: a change and its
// rest belong to the incarnation that they were ordered of.
type engineState struct {
	incarnation replica.Incarnation
	// assignedModel is the one that the engine was dealt to, "" for none.
	assignedModel string
	loading       bool
	// backoff is the pause after changes that failed.
	backoff      backoff.Rest
	lastListedAt time.Time
	// bestEventTime is the bestEventTime event time of late.
	bestEventTime replica.BestTime
}

// unlistedStateTTL is how long a note outlives its engine's place in the list, from
// which an outage of the journal may take all for a while.
const unlistedStateTTL = 30 * time.Second

// isLoading reports whether a change of an engine is under way.
func (s *Syncer) isLoading(replicaID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.engines[replicaID]
	return n != nil && n.loading
}

// updateListed keeps the notes of the engines that are listed, with their best event times.
func (s *Syncer) updateListed(replicas []replica.Replica, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rep := range replicas {
		n := s.stateOf(rep.ID)
		if n.incarnation != rep.Incarnation() {
			// The engine keeps the model that it was dealt to, and nothing else.
			n = &engineState{incarnation: rep.Incarnation(), assignedModel: n.assignedModel}
			s.engines[rep.ID] = n
		}
		n.lastListedAt = now
		if eventTime, age := s.EventTime(rep); eventTime > 0 && age <= maxEventTimeAge {
			n.bestEventTime.Note(eventTime, bestEventTimeWindow, now)
		}
	}
}

// removeExpired drops the notes of engines that are long gone.
func (s *Syncer) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.engines, func(_ string, n *engineState) bool { return !n.loading && now.Sub(n.lastListedAt) > unlistedStateTTL })
}

// stateOf returns the note of an engine. The mutex is held.
func (s *Syncer) stateOf(id string) *engineState {
	n := s.engines[id]
	if n == nil {
		n = &engineState{}
		s.engines[id] = n
	}
	return n
}
