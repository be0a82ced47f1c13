// Package rendezvous ranks candidates for a key by highest random weight, so
// that all who know the same candidates agree on a ranking and a candidate's
// coming or going moves only the keys that it wins.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// separator keeps ("ab","c") and ("a","bc") apart in the hash input.
const separator = "\x00"

// Weight returns the candidate's weight for the key.
func Weight(key, candidate string) uint64 {
	return xxhash.Sum64String(key + separator + candidate)
}

// Rank returns the candidates ordered by falling weight for the key. Ties go
// to the smaller name. The input is not changed.
func Rank(key string, candidates []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	ranked := make([]weighted, len(candidates))
	for i, candidate := range candidates {
		ranked[i] = weighted{name: candidate, weight: Weight(key, candidate)}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].weight != ranked[j].weight {
			return ranked[i].weight > ranked[j].weight
		}
		return ranked[i].name < ranked[j].name
	})
	names := make([]string, len(ranked))
	for i, entry := range ranked {
		names[i] = entry.name
	}
	return names
}

// Top returns the first of Rank without sorting, or "" for no candidates.
func Top(key string, candidates []string) string {
	best := ""
	var bestWeight uint64
	for _, candidate := range candidates {
		weight := Weight(key, candidate)
		if best == "" || weight > bestWeight || (weight == bestWeight && candidate < best) {
			best = candidate
			bestWeight = weight
		}
	}
	return best
}
