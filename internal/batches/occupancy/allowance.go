package occupancy

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Unbounded is the allowance of an owner that nobody waits for.
const Unbounded = math.MaxInt

// maxYieldTime is for how long an owner leaves room to others that wait for it: they learn of the
// room within some hundred milliseconds. After that it takes what they have left, as what they
// wait for may be at other engines.
const maxYieldTime = 300 * time.Millisecond

// Allowance returns how many more requests an owner may have under way at some engines with
// slots places in all, so that each owner comes to its part of them: what others of a more
// urgent rank want comes first, and owners of the same rank get equal parts, or what they
// want if that is less. An owner that nobody waits for may start as it likes.
//
// Without it, an owner whose requests fill all engines would take each place that becomes
// free before others learn of it, and these would wait until it has nothing left.
func Allowance(slots int, own Demand, others []Demand) int {
	var equal []int
	waits := false
	for _, dm := range others {
		has, wants := int(dm.InFlight), int(dm.InFlight+dm.Waiting)
		switch {
		case dm.Waiting == 0 || dm.Rank > own.Rank:
			slots -= has
		case dm.Rank < own.Rank:
			waits = true
			slots -= wants
		default:
			waits = true
			equal = append(equal, wants)
		}
	}
	if !waits {
		return Unbounded
	}
	share := fairShare(slots, int(own.InFlight+own.Waiting), equal)
	return max(share-int(own.InFlight), 0)
}

// fairShare returns what one gets of some places that it and others want: an equal part, to
// which is added what others leave of theirs.
func fairShare(places, wanted int, others []int) int {
	slices.Sort(others)
	for i, other := range others {
		part := places / (len(others) - i + 1)
		if wanted <= part || other > part {
			return max(min(wanted, part), 0)
		}
		places -= other
	}
	return max(min(wanted, places), 0)
}

// StartLimiter is one owner's view of who may start next at a service's engines. The zero value is
// ready for use.
type StartLimiter struct {
	// yieldingSince is from when on room was left to others, or zero.
	yieldingSince time.Time
}

// Allow returns how many of the starts that are due may be made now, with an allowance as
// Allowance returns it. What is left to others for yieldTime is taken in the end.
func (t *StartLimiter) Allow(now time.Time, allowance, due int) int {
	switch {
	case due <= allowance:
		t.yieldingSince = time.Time{}
		return due
	case t.yieldingSince.IsZero():
		t.yieldingSince = now
	case now.Sub(t.yieldingSince) >= maxYieldTime:
		t.yieldingSince = time.Time{}
		return due
	}
	return allowance
}

// IsYielding reports whether room is being left to others.
func (t *StartLimiter) IsYielding() bool { return !t.yieldingSince.IsZero() }

// Preference ranks a replica among ones that are as good as each other, from 0 to below 1,
// in an order that differs from owner to owner: two that start at the same instant, before
// either can know of the other, then seldom choose the same.
func Preference(owner, replica string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(owner)) // it never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(replica))
	return float64(mixBits(hash.Sum64())>>11) / (1 << 53)
}

// mixBits spreads the differences of the last bytes over all bits, as the end of murmur3 does.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
