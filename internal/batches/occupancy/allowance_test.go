package occupancy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAllowance(t *testing.T) {
	demand := func(rank int32, inFlight, waiting uint32) Demand {
		return Demand{Rank: rank, InFlight: inFlight, Waiting: waiting}
	}
	const slots = 360
	for _, each := range []struct {
		own    Demand
		others []Demand
		want   int
	}{
		{demand(0, 360, 100), nil, Unbounded},
		{demand(0, 360, 100), []Demand{demand(0, 20, 0)}, Unbounded},
		{demand(0, 360, 100), []Demand{demand(0, 0, 130)}, 0},                // already above its share of 230
		{demand(0, 200, 100), []Demand{demand(0, 0, 130)}, 30},               // 30 less than its share
		{demand(0, 100, 200), []Demand{demand(0, 100, 200)}, 80},             // half of all slots
		{demand(0, 50, 50), []Demand{demand(0, 300, 200)}, 50},               // its whole demand
		{demand(1, 100, 200), []Demand{demand(0, 100, 200)}, 0},              // the other one is more urgent
		{demand(0, 100, 200), []Demand{demand(1, 200, 200)}, Unbounded},      // this one is more urgent
		{demand(0, 0, 200), []Demand{demand(0, 900, 1)}, 180},                // overcommitted slots
		{demand(0, 0, 200), []Demand{demand(1, 400, 0), demand(0, 0, 1)}, 0}, // no slot is left
	} {
		if got := Allowance(slots, each.own, each.others); got != each.want {
			t.Errorf("own %+v, others %+v: Allowance = %d, want %d", each.own, each.others, got, each.want)
		}
	}
}

// Guards against shares below an equal part of what an owner wants, shares that exceed the
// slots in sum, and slots left unused despite demand.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		wanted := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 6).Draw(t, "wanted")
		sum, all := 0, 0
		for i, own := range wanted {
			var others []int
			for j, each := range wanted {
				if j != i {
					others = append(others, each)
				}
			}
			share := fairShare(slots, own, others)
			if share < min(own, slots/len(wanted)) || share > own {
				t.Fatalf("fairShare(%d, %d, %v) = %d", slots, own, others, share)
			}
			sum, all = sum+share, all+own
		}
		if sum > slots || sum < min(slots, all)-len(wanted) {
			t.Fatalf("shares of %v sum up to %d of %d slots", wanted, sum, slots)
		}
	})
}

// Guards against yielding forever, and against not yielding again after slots were taken.
func TestYieldingIsBounded(t *testing.T) {
	is := is.New(t)
	var limiter StartLimiter
	now := time.Unix(0, 0)
	is.Equal(limiter.Allow(now, Unbounded, 9), 9)
	is.Equal(limiter.Allow(now, 2, 9), 2)
	is.Equal(limiter.Allow(now.Add(maxYieldTime-1), 0, 7), 0)
	is.Equal(limiter.Allow(now.Add(maxYieldTime), 0, 7), 7)
	is.Equal(limiter.Allow(now.Add(maxYieldTime+1), 0, 7), 0)
	is.Equal(limiter.Allow(now.Add(maxYieldTime+2), 7, 7), 7)
	is.Equal(limiter.Allow(now.Add(2*maxYieldTime+1), 0, 7), 0)
}

// Guards against owners that prefer the same replicas.
func TestPreferencesDifferBetweenOwners(t *testing.T) {
	is := is.New(t)
	const owners, engines = 200, 45
	chosen := map[int]int{}
	for owner := range owners {
		best, at := -1.0, 0
		for engine := range engines {
			preference := Preference(fmt.Sprintf("d%d/run", owner), fmt.Sprintf("engine-%d", engine))
			is.True(preference >= 0 && preference < 1)
			if preference > best {
				best, at = preference, engine
			}
		}
		chosen[at]++
	}
	is.True(len(chosen) >= engines*3/4)
	for _, count := range chosen {
		is.True(count <= 4*owners/engines)
	}
}
