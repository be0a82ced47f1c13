// Package weights plans which replica loads which weight version, and when.
//
// Every owner of replicas computes the same plan from the same view and carries
// out its own part; there is no coordinator. Views that differ for a moment
// change how many replicas swap at a time, never what a sample is said to be.
package weights

import (
	"fmt"
	"sort"

	"woodworks/internal/rendezvous"
)

// Replica is one engine replica as the planner sees it.
type Replica struct {
	Name    string
	Model   string
	Version uint64
	Loading bool
	// Usable is false while the replica is unreachable or leaving.
	Usable bool
}

// Demand is one trainer's claim on the replicas of a service.
type Demand struct {
	Trainer  string
	Share    int64
	Version  uint64
	Artifact string
}

// Target is what a replica should serve.
type Target struct {
	Trainer  string
	Version  uint64
	Artifact string
}

// Assign gives each usable replica its target. Replicas are split by the
// demands' shares; each trainer keeps the replicas that it would also get with
// other replicas missing, as far as shares allow.
func Assign(replicas []Replica, demands []Demand) map[string]Target {
	names := usableNames(replicas)
	quotas := quotasOf(len(names), demands)
	targets := make(map[string]Target, len(names))
	for i, demand := range demands {
		target := Target{Trainer: demand.Trainer, Version: demand.Version, Artifact: demand.Artifact}
		quota := quotas[i]
		for _, name := range rendezvous.Rank("weights/"+demand.Trainer, names) {
			if _, taken := targets[name]; taken || quota == 0 {
				continue
			}
			targets[name] = target
			quota--
		}
	}
	return targets
}

func usableNames(replicas []Replica) []string {
	var names []string
	for _, replica := range replicas {
		if replica.Usable {
			names = append(names, replica.Name)
		}
	}
	sort.Strings(names)
	return names
}

// quotasOf splits count by shares, the remainders to the largest fractions.
func quotasOf(count int, demands []Demand) []int {
	quotas := make([]int, len(demands))
	total := int64(0)
	for _, demand := range demands {
		total += demand.Share
	}
	if total == 0 {
		return quotas
	}
	order := make([]int, len(demands))
	given := 0
	for i, demand := range demands {
		order[i] = i
		quotas[i] = int(int64(count) * demand.Share / total)
		given += quotas[i]
	}
	remainder := func(i int) int64 { return int64(count) * demands[i].Share % total }
	sort.SliceStable(order, func(i, j int) bool { return remainder(order[i]) > remainder(order[j]) })
	for i := 0; given < count; i++ {
		quotas[order[i%len(order)]]++
		given++
	}
	return quotas
}

// Waves says how many replicas may swap at a time.
type Waves struct {
	// First is how many may while no replica serves the version whole yet: a
	// version that cannot be loaded then costs few replicas.
	First int
	// LaterPercent is the share of a trainer's replicas that may afterwards.
	// Engines go on with their streams through a swap, so all at once is
	// cheap, and the sooner all have the version the fresher the samples.
	LaterPercent int
}

// DefaultWaves returns the waves used in production.
func DefaultWaves() Waves { return Waves{First: 1, LaterPercent: 100} }

// limit returns how many of count replicas may swap now.
func (waves Waves) limit(count int, proved bool) int {
	if !proved {
		return max(1, waves.First)
	}
	return max(1, count*waves.LaterPercent/100)
}

// MaySwap reports whether a replica's swap may begin now: whether it is among
// the first of those that still have to swap, in an order that differs from
// version to version, that the present wave has room for.
func MaySwap(name string, replicas []Replica, targets map[string]Target, waves Waves) bool {
	own, assigned := targets[name]
	if !assigned {
		return false
	}
	var pending []string
	count := 0
	for _, replica := range replicas {
		target, wanted := targets[replica.Name]
		if !wanted || target != own {
			continue
		}
		count++
		if !isAt(replica, target) {
			pending = append(pending, replica.Name)
		}
	}
	room := waves.limit(count, len(pending) < count)
	order := rendezvous.Rank(fmt.Sprintf("wave/%s/%d", own.Trainer, own.Version), pending)
	for position, candidate := range order {
		if candidate == name {
			return position < room
		}
	}
	return false
}

func isAt(replica Replica, target Target) bool {
	return replica.Model == target.Trainer && replica.Version >= target.Version && !replica.Loading
}

// NeedsSwap reports whether a replica should be ordered to load its target. A
// replica that is already newer than the target, as the owner may know later
// than the engine, is left alone.
func NeedsSwap(replica Replica, target Target) bool {
	return replica.Usable && !replica.Loading && !isAt(replica, target)
}
