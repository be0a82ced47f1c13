package replica

import (
	"math/rand/v2"
	"time"
)

// Pick chooses the replica for a plain request: not yet tried, rather not one
// to be avoided, the least loaded for its slots, rather in the own zone, and by
// chance among equals. It returns false if every candidate was tried.
func Pick(candidates []Replica, tried map[string]bool, zone string, now time.Time) (Replica, bool) {
	best := Replica{}
	found := false
	bestScore := 0.0
	for _, candidate := range candidates {
		if tried[candidate.ID] {
			continue
		}
		score := loadScore(candidate, zone, now)
		if !found || score < bestScore {
			best, bestScore, found = candidate, score, true
		}
	}
	return best, found
}

const (
	avoidPenalty = 1000.0
	zonePenalty  = 0.05
	// latencyWeight makes a replica that answers in twice the time of another
	// count like one with another request under way.
	latencyPerUnit = 200 * time.Millisecond
	jitter         = 0.02
)

// loadScore is lower for a better choice.
func loadScore(candidate Replica, zone string, now time.Time) float64 {
	score := float64(candidate.InFlight) / float64(max(candidate.Slots, 1))
	score += float64(candidate.Latency) / float64(latencyPerUnit)
	if candidate.Zone != zone {
		score += zonePenalty
	}
	if now.Before(candidate.AvoidUntil) {
		score += avoidPenalty + candidate.AvoidUntil.Sub(now).Seconds()
	}
	return score + rand.Float64()*jitter
}
