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
		{demand(0, 360, 100), []Demand{demand(0, 0, 130)}, 0},                // it has more than its 230
		{demand(0, 200, 100), []Demand{demand(0, 0, 130)}, 30},               // and here 30 less
		{demand(0, 100, 200), []Demand{demand(0, 100, 200)}, 80},             // half of it all
		{demand(0, 50, 50), []Demand{demand(0, 300, 200)}, 50},               // all that it wants
		{demand(1, 100, 200), []Demand{demand(0, 100, 200)}, 0},              // the other's rank goes first
		{demand(0, 100, 200), []Demand{demand(1, 200, 200)}, Unbounded},      // and this one's
		{demand(0, 0, 200), []Demand{demand(0, 900, 1)}, 180},                // places that are counted twice
		{demand(0, 0, 200), []Demand{demand(1, 400, 0), demand(0, 0, 1)}, 0}, // none is left at all
	} {
		if got := Allowance(slots, each.own, each.others); got != each.want {
			t.Errorf("%+v beside %+v: %d, not %d", each.own, each.others, got, each.want)
		}
	}
}

// Owners of one rank that know of each other want no more than there is, each gets an equal
// part at least or all that it wants, and nothing is left over that one of them wants.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(0, 100).Draw(t, "places")
		wanted := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 6).Draw(t, "wanted")
		sum, all := 0, 0
		for i, own := range wanted {
			var others []int
			for j, each := range wanted {
				if j != i {
					others = append(others, each)
				}
			}
			share := fairShare(places, own, others)
			if share < min(own, places/len(wanted)) || share > own {
				t.Fatalf("%d of %d places for %d beside %v", share, places, own, others)
			}
			sum, all = sum+share, all+own
		}
		if sum > places || sum < min(places, all)-len(wanted) {
			t.Fatalf("%d of %d places are given to %v", sum, places, wanted)
		}
	})
}

// Room that is left to others is taken in the end, and they get another chance after that.
func TestYieldingIsBounded(t *testing.T) {
	is := is.New(t)
	var turn StartLimiter
	now := time.Unix(0, 0)
	is.Equal(turn.Allow(now, Unbounded, 9), 9)
	is.Equal(turn.Allow(now, 2, 9), 2)
	is.Equal(turn.Allow(now.Add(maxYieldTime-1), 0, 7), 0)
	is.Equal(turn.Allow(now.Add(maxYieldTime), 0, 7), 7)
	is.Equal(turn.Allow(now.Add(maxYieldTime+1), 0, 7), 0)
	is.Equal(turn.Allow(now.Add(maxYieldTime+2), 7, 7), 7)
	is.Equal(turn.Allow(now.Add(2*maxYieldTime+1), 0, 7), 0)
}

// Two owners that choose one of many equal engines at the same instant seldom choose the
// same, and each comes to all of them alike.
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
