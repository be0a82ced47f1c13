package replica

import (
	"math/rand/v2"
	"time"
)

// Terms of the score by which Pick chooses. A replica that is fully loaded and differs in nothing
// else scores 1.
const (
	// avoidPenalty is added to the score of a replica to avoid, which is chosen only if there is
	// no other.
	avoidPenalty = 1000.0
	// latencyUnit is the additional latency that counts as much as a full load.
	latencyUnit = 200 * time.Millisecond
	// maxJitter bounds the random term, which keeps daemons from all choosing the same replica.
	maxJitter = 0.05
	// noConnPenalty is added if a connection must be opened first, which costs the replica time.
	// It is a little more than the score of one request in flight to a replica of six slots, so
	// that when hundreds of daemons have few requests each, not every request opens a connection.
	noConnPenalty = 0.2
	// exploreFraction is the fraction of the picks that leave out noConnPenalty, so that a replica
	// that is new or has recovered also gets work from a daemon with few requests.
	exploreFraction = 0.05
)

// Pick chooses the replica for a plain request among the candidates that are not in tried, by
// the lowest score. A replica to avoid is chosen only if no other is left. The score is the load
// per slot plus the latency, multiplied by the slowdown; the load is the larger of this daemon's
// requests in flight and the reported load. A replica without an idle connection is penalised,
// and a small random term decides between equals. Latency includes the network, so replicas of
// other zones score worse as far as they answer later. A replica without a known latency is
// taken to be as fast as the fastest candidate, also in the Replica that is returned. Pick
// returns false if every candidate was tried.
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

// minLatency returns the lowest known latency of the candidates, 0 if none is known.
func minLatency(candidates []Replica) time.Duration {
	fastest := time.Duration(0)
	for i := range candidates {
		if latency := candidates[i].Latency; latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}

// loadScore returns the score of a replica; lower is better. latency is used instead of r.Latency,
// which may be unknown. connected says whether to leave out the penalty for opening a connection.
func loadScore(r *Replica, latency time.Duration, connected bool, now time.Time) float64 {
	score := float64(max(r.InFlight, r.ReportedLoad)) / float64(max(r.Slots, 1))
	score += float64(latency) / float64(latencyUnit)
	if r.Slowdown > 0 {
		// A slowdown affects running requests and the new one alike.
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
