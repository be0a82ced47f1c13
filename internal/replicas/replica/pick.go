package replica

import (
	"math/rand/v2"
	"time"
)

// What makes up a score, which is 1 for a replica whose slots are all in use.
const (
	// avoidPenalty is added for a replica to be avoided: it is picked only if there is no
	// other.
	avoidPenalty = 1000.0
	// latencyUnit is by how much longer a replica's answers must take for it to count like
	// one whose slots are all in use.
	latencyUnit = 200 * time.Millisecond
	// maxJitter bounds what chance adds, so that daemons do not all pick the same.
	maxJitter = 0.05
	// noConnPenalty is added where a connection must be made: a little more than one request
	// under way at a replica of six slots. Making one takes the replica's time, and with
	// hundreds of daemons that each ask seldom, every request would make one.
	noConnPenalty = 0.2
	// exploreFraction is the part of the picks for which connections do not count, so that a
	// replica that is new or has recovered gets work from a daemon that asks seldom.
	exploreFraction = 0.05
)

// Pick chooses the replica for a plain request: not yet tried, rather not one
// to be avoided, the least loaded for its slots (by our own requests there, or by what it
// reported of all, both by its slowdown), rather one with an idle connection, and by chance
// among equals.
// The way to another zone counts as far as answers from there take longer; a replica
// that was never asked counts as fast as the fastest. It returns false if every
// candidate was tried.
func Pick(candidates []Replica, tried map[string]bool, now time.Time) (Replica, bool) {
	best := -1
	bestScore := 0.0
	fastest := minLatency(candidates)
	exploring := rand.Float64() < exploreFraction
	for i := range candidates {
		r := &candidates[i]
		if tried[r.ID] {
			continue
		}
		latency := r.Latency
		if latency == 0 {
			latency = fastest
		}
		score := loadScore(r, latency, r.Connected || exploring, now)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Replica{}, false
	}
	r := candidates[best]
	if r.Latency == 0 {
		r.Latency = fastest
	}
	return r, true
}

// minLatency returns the lowest latency known, or 0.
func minLatency(candidates []Replica) time.Duration {
	fastest := time.Duration(0)
	for i := range candidates {
		if latency := candidates[i].Latency; latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}

// loadScore is lower for a better choice. Latency is what the candidate's is taken to be,
// connected whether it counts as such.
func loadScore(r *Replica, latency time.Duration, connected bool, now time.Time) float64 {
	score := float64(max(r.InFlight, r.ReportedLoad)) / float64(max(r.Slots, 1))
	score += float64(latency) / float64(latencyUnit)
	if r.Slowdown > 0 {
		// What runs there and what is sent take longer or shorter by the same.
		score *= r.Slowdown
	}
	if !connected {
		score += noConnPenalty
	}
	if now.Before(r.AvoidUntil) {
		score += avoidPenalty + r.AvoidUntil.Sub(now).Seconds()
	}
	return score + rand.Float64()*maxJitter
}
