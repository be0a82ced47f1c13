package modelsync

import (
	"maps"
	"time"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/replicas/replica"
)

// engineState is the state of one incarnation of an engine. A change in progress and the backoff
// belong to the incarnation for which the change was ordered.
type engineState struct {
	incarnation replica.Incarnation
	// assignedModel is the model to which the engine is assigned, "" for none.
	assignedModel string
	loading       bool
	// backoff delays the next change after failed ones.
	backoff      backoff.Rest
	lastListedAt time.Time
	// bestEventTime is the shortest event time observed recently; see bestEventTimeWindow.
	bestEventTime replica.RollingMin
}

// unlistedStateTTL is how long the state of an engine is kept after the engine leaves the replica
// list, since an outage of the journal may empty the list for a while.
const unlistedStateTTL = 30 * time.Second

// isLoading reports whether a change of an engine is in progress.
func (s *Syncer) isLoading(replicaID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.engines[replicaID]
	return state != nil && state.loading
}

// updateListed updates the states of the listed engines and their best event times. A new
// incarnation of an engine gets a new state.
func (s *Syncer) updateListed(replicas []replica.Replica, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rep := range replicas {
		state := s.stateOf(rep.ID)
		if state.incarnation != rep.Incarnation() {
			// Only the assigned model carries over to the new incarnation.
			state = &engineState{incarnation: rep.Incarnation(), assignedModel: state.assignedModel}
			s.engines[rep.ID] = state
		}
		state.lastListedAt = now
		if eventTime, age := s.EventTime(rep); eventTime > 0 && age <= maxEventTimeAge {
			state.bestEventTime.Observe(eventTime, bestEventTimeWindow, now)
		}
	}
}

// removeExpired removes the states of engines that have been unlisted for longer than
// unlistedStateTTL, except those with a change in progress.
func (s *Syncer) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.engines, func(_ string, state *engineState) bool {
		return !state.loading && now.Sub(state.lastListedAt) > unlistedStateTTL
	})
}

// stateOf returns the state of an engine, and adds an empty one if there is none. The mutex must
// be held.
func (s *Syncer) stateOf(id string) *engineState {
	state := s.engines[id]
	if state == nil {
		state = &engineState{}
		s.engines[id] = state
	}
	return state
}
