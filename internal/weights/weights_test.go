package weights_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"woodworks/internal/testseed"
	"woodworks/internal/weights"
)

func init() { testseed.Fix() }

func drawReplicas(t *rapid.T) []weights.Replica {
	var replicas []weights.Replica
	for i := range rapid.IntRange(1, 20).Draw(t, "replicas") {
		replicas = append(replicas, weights.Replica{
			Name: fmt.Sprint("r", i), Model: "a", Version: uint64(rapid.IntRange(0, 3).Draw(t, "version")),
			Loading: rapid.IntRange(0, 4).Draw(t, "loading") == 0, Usable: rapid.IntRange(0, 5).Draw(t, "usable") > 0,
		})
	}
	return replicas
}

// Every usable replica has one target, in numbers that follow the shares.
func TestAssignFollowsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := drawReplicas(t)
		demands := []weights.Demand{{Trainer: "a", Share: int64(rapid.IntRange(1, 4).Draw(t, "a")), Version: 3}, {Trainer: "b", Share: int64(rapid.IntRange(1, 4).Draw(t, "b")), Version: 2}}
		targets := weights.Assign(replicas, demands)
		usable := 0
		counts := map[string]int{}
		for _, replica := range replicas {
			if !replica.Usable {
				continue
			}
			usable++
			counts[targets[replica.Name].Trainer]++
		}
		total := demands[0].Share + demands[1].Share
		for _, demand := range demands {
			exact := float64(usable) * float64(demand.Share) / float64(total)
			if diff := float64(counts[demand.Trainer]) - exact; diff >= 1 || diff <= -1 {
				t.Fatalf("%s has %d of %d replicas, exact %.2f", demand.Trainer, counts[demand.Trainer], usable, exact)
			}
		}
		if len(targets) != usable {
			t.Fatalf("%d targets for %d replicas", len(targets), usable)
		}
	})
}

// The waves end with every usable replica at the version: the first wave is of
// one, and no wave is larger than its limit.
func TestWavesReachEveryReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := drawReplicas(t)
		for i := range replicas {
			replicas[i].Loading = false
		}
		targets := weights.Assign(replicas, []weights.Demand{{Trainer: "a", Share: 1, Version: 4}})
		waves := weights.Waves{First: 1, LaterPercent: rapid.SampledFrom([]int{34, 100}).Draw(t, "percent")}
		for wave := range len(replicas) + 1 {
			var swapping []int
			for i, replica := range replicas {
				if weights.NeedsSwap(replica, targets[replica.Name]) && weights.MaySwap(replica.Name, replicas, targets, waves) {
					swapping = append(swapping, i)
				}
			}
			limit := max(1, len(targets)*waves.LaterPercent/100)
			if wave == 0 {
				limit = waves.First
			}
			if len(swapping) > limit {
				t.Fatalf("wave %d: %d swap at a time, limit %d", wave, len(swapping), limit)
			}
			for _, i := range swapping {
				replicas[i].Version = 4
			}
		}
		for _, replica := range replicas {
			if replica.Usable && replica.Version != 4 {
				t.Fatalf("%s was left at version %d", replica.Name, replica.Version)
			}
		}
	})
}
