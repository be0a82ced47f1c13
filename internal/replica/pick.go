package replica

import (
	"math/rand/v2"
	"time"
)

// Pick chooses the replica for a plain request: not yet tried, rather not one
// to be avoided, the least loaded for its slots (by our own requests there, or by what
// it told of all), and by chance among equals. The
// way to another zone counts as far as answers from there take longer. It returns
// false if every candidate was tried.
func Pick(candidates []Replica, tried map[string]bool, now time.Time) (Replica, bool) {
	best := Replica{}
	found := false
	bestScore := 0.0
	for _, candidate := range candidates {
		if tried[candidate.ID] {
			continue
		}
		score := loadScore(candidate, now)
		if !found || score < bestScore {
			best, bestScore, found = candidate, score, true
		}
	}
	return best, found
}

const (
	avoidPenalty = 1000.0
	// latencyPerUnit is by how much longer a replica's answers must take for it
	// to count like one whose slots are all in use.
	latencyPerUnit = 200 * time.Millisecond
	jitter         = 0.05
)

// loadScore is lower for a better choice.
func loadScore(candidate Replica, now time.Time) float64 {
	score := float64(max(candidate.InFlight, candidate.Reported)) / float64(max(candidate.Slots, 1))
	score += float64(candidate.Latency) / float64(latencyPerUnit)
	if now.Before(candidate.AvoidUntil) {
		score += avoidPenalty + candidate.AvoidUntil.Sub(now).Seconds()
	}
	return score + rand.Float64()*jitter
}
