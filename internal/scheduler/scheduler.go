// Package scheduler decides which replica takes a request: filter, score, pick.
//
// It is pure: it works on a snapshot of the replicas and a random number given
// by the caller, and returns a decision with its reason.
package scheduler

import (
	"math"
)

// Distance is how far a replica is from this daemon.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is one replica as this daemon believes it to be.
type Candidate struct {
	Name    string
	Address string
	// Healthy is false while the replica is unreachable or failed lately.
	Healthy bool
	// Leaving replicas finish what they have and take nothing new.
	Leaving bool
	// Model and Version are what is loaded; Version 0 means nothing whole.
	Model    string
	Version  uint64
	Slots    int
	Distance Distance
	// Load is streams running and waiting at the last report, corrected by
	// what this daemon has sent and seen end since.
	Load int
	// HasPrefix reports whether the replica likely caches the prompt's prefix.
	HasPrefix bool
}

// Request is what a decision is about.
type Request struct {
	// Model is the trainer whose weights are needed, "" for a plain service.
	Model string
	// MinVersion is the oldest acceptable version.
	MinVersion uint64
	// NewestVersion is the newest announced version.
	NewestVersion uint64
	// Excluded names replicas that must not be picked, such as one that a
	// sibling try already runs on.
	Excluded map[string]bool
	// Overcommit is how many streams above its slots a replica may be given.
	Overcommit int
}

// Weights are the factors of the scores. Each score is between 0 and 1.
type Weights struct {
	FreeSlots float64
	Freshness float64
	Prefix    float64
	Proximity float64
}

// DefaultWeights returns the weights used in production.
func DefaultWeights() Weights {
	return Weights{FreeSlots: 1.0, Freshness: 0.4, Prefix: 0.5, Proximity: 0.2}
}

// Reason says why no replica was picked.
type Reason string

// The reasons, from the last filter that left nothing.
const (
	Picked Reason = ""
	// NoReplica: the service has no replica at all.
	NoReplica Reason = "no_replica"
	// NoneHealthy: every replica is unreachable or leaving.
	NoneHealthy Reason = "none_healthy"
	// NoVersion: no replica serves an acceptable version.
	NoVersion Reason = "no_acceptable_version"
	// NoneFree: every acceptable replica is full.
	NoneFree Reason = "none_free"
)

// Filter is one stage that removes candidates.
type Filter struct {
	Name   string
	Reason Reason
	Keep   func(request Request, candidate Candidate) bool
}

// filters are applied in order.
var filters = []Filter{
	{Name: "Availability", Reason: NoneHealthy, Keep: isAvailable},
	{Name: "Version", Reason: NoVersion, Keep: hasVersion},
	{Name: "Capacity", Reason: NoneFree, Keep: hasCapacity},
}

func isAvailable(request Request, candidate Candidate) bool {
	return candidate.Healthy && !candidate.Leaving && !request.Excluded[candidate.Name]
}

func hasVersion(request Request, candidate Candidate) bool {
	if request.Model == "" {
		return true
	}
	return candidate.Model == request.Model && candidate.Version > 0 && candidate.Version >= request.MinVersion
}

func hasCapacity(request Request, candidate Candidate) bool {
	return candidate.Slots == 0 || candidate.Load < candidate.Slots+request.Overcommit
}

// Decision is the outcome of Pick.
type Decision struct {
	// Index is the picked candidate's place in the input, -1 for none.
	Index  int
	Reason Reason
	Score  float64
}

// tieMargin is how close two scores count as equal, so that daemons with the
// same view spread over the replicas that are about as good.
const tieMargin = 0.02

// Pick filters and scores the candidates and picks among the best ones by the
// random number, which is at least 0 and below 1.
func Pick(request Request, candidates []Candidate, weights Weights, random float64) Decision {
	kept := make([]int, 0, len(candidates))
	for i := range candidates {
		kept = append(kept, i)
	}
	if len(kept) == 0 {
		return Decision{Index: -1, Reason: NoReplica}
	}
	for _, filter := range filters {
		kept = applyFilter(filter, request, candidates, kept)
		if len(kept) == 0 {
			return Decision{Index: -1, Reason: filter.Reason}
		}
	}
	best := math.Inf(-1)
	scores := make([]float64, len(kept))
	for i, index := range kept {
		scores[i] = Score(request, candidates[index], weights)
		best = math.Max(best, scores[i])
	}
	var ties []int
	for i := range kept {
		if scores[i] >= best-tieMargin {
			ties = append(ties, i)
		}
	}
	chosen := ties[int(random*float64(len(ties)))]
	return Decision{Index: kept[chosen], Score: scores[chosen]}
}

func applyFilter(filter Filter, request Request, candidates []Candidate, kept []int) []int {
	remaining := kept[:0]
	for _, index := range kept {
		if filter.Keep(request, candidates[index]) {
			remaining = append(remaining, index)
		}
	}
	return remaining
}

// Score judges one candidate that passed the filters.
func Score(request Request, candidate Candidate, weights Weights) float64 {
	score := weights.FreeSlots * freeScore(candidate)
	score += weights.Proximity * proximityScore(candidate)
	if request.Model != "" {
		score += weights.Freshness * freshnessScore(request, candidate)
	}
	if candidate.HasPrefix {
		score += weights.Prefix
	}
	return score
}

// freeScore falls with load; without slots it falls by halves.
func freeScore(candidate Candidate) float64 {
	if candidate.Slots == 0 {
		return 1 / float64(1+candidate.Load)
	}
	free := float64(candidate.Slots-candidate.Load) / float64(candidate.Slots)
	return math.Max(free, -1)
}

func proximityScore(candidate Candidate) float64 {
	switch candidate.Distance {
	case SameZone:
		return 1
	case SameRegion:
		return 0.7
	default:
		return 0
	}
}

// freshnessScore is 1 for the newest version and 0 for the oldest acceptable.
func freshnessScore(request Request, candidate Candidate) float64 {
	if candidate.Version >= request.NewestVersion || request.NewestVersion <= request.MinVersion {
		return 1
	}
	span := float64(request.NewestVersion - request.MinVersion)
	return float64(candidate.Version-request.MinVersion) / span
}
