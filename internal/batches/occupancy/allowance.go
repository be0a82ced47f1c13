package occupancy

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Unbounded is the allowance of an owner while no other owner of the same or a more urgent rank
// waits for slots.
const Unbounded = math.MaxInt

// maxYieldTime bounds how long an owner leaves free slots to waiting owners, which learn of the
// slots within a few hundred milliseconds. Slots that are still free after that may not be ones
// that the waiting owners can use, so the owner takes them.
const maxYieldTime = 300 * time.Millisecond

// Allowance returns how many more requests an owner may start at engines with the given total
// number of slots, so that the slots are shared fairly. Demand of a more urgent rank comes first;
// owners of the same rank get max-min fair shares. The result is Unbounded if no owner of the same
// or a more urgent rank waits for slots.
//
// Without an allowance, an owner whose requests fill all engines would take every slot that
// becomes free before other owners learn of it, and starve them.
func Allowance(slots int, own Demand, others []Demand) int {
	var equalDemands []int
	contended := false
	for _, dm := range others {
		inFlight, demand := int(dm.InFlight), int(dm.InFlight+dm.Waiting)
		switch {
		case dm.Waiting == 0 || dm.Rank > own.Rank:
			slots -= inFlight
		case dm.Rank < own.Rank:
			contended = true
			slots -= demand
		default:
			contended = true
			equalDemands = append(equalDemands, demand)
		}
	}
	if !contended {
		return Unbounded
	}
	share := fairShare(slots, int(own.InFlight+own.Waiting), equalDemands)
	return max(share-int(own.InFlight), 0)
}

// fairShare returns the max-min fair share of the slots for an owner that wants the given number:
// an equal part, plus what other owners leave of their parts, but no more than wanted. others
// holds the number that each other owner wants; fairShare sorts it.
func fairShare(slots, wanted int, others []int) int {
	slices.Sort(others)
	for i, other := range others {
		part := slots / (len(others) - i + 1)
		if wanted <= part || other > part {
			return max(min(wanted, part), 0)
		}
		slots -= other
	}
	return max(min(wanted, slots), 0)
}

// StartLimiter limits the starts of one owner at a service's engines while other owners wait
// for slots. The zero value is ready to use. It is not safe for concurrent use.
type StartLimiter struct {
	// yieldingSince is when the owner began to leave slots to others, or zero.
	yieldingSince time.Time
}

// Allow returns how many of the due starts may be made now, given the result of Allowance.
// Once the owner has left slots to others for maxYieldTime, it allows all due starts.
func (l *StartLimiter) Allow(now time.Time, allowance, due int) int {
	switch {
	case due <= allowance:
		l.yieldingSince = time.Time{}
		return due
	case l.yieldingSince.IsZero():
		l.yieldingSince = now
	case now.Sub(l.yieldingSince) >= maxYieldTime:
		l.yieldingSince = time.Time{}
		return due
	}
	return allowance
}

// IsYielding reports whether the owner is leaving slots to others.
func (l *StartLimiter) IsYielding() bool { return !l.yieldingSince.IsZero() }

// Preference returns a value in [0, 1) that breaks ties between equally good replicas. It
// depends on the owner, so that owners which start at the same instant, before any can see the
// others' requests, rarely choose the same replica.
func Preference(owner, replica string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(owner)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(replica))
	return float64(mixBits(hash.Sum64())>>11) / (1 << 53)
}

// mixBits spreads differences in the last bytes over all bits, like the finalizer of
// MurmurHash3.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
