package runner

import (
	"slices"

	"woodworks/internal/batches/occupancy"
	"woodworks/internal/batches/scheduling"
)

// What a snapshot and the decisions on it say of an owner's demand. These functions are pure.

// firstStarts returns the decisions without the starts after so many.
func firstStarts(decisions []scheduling.Decision, starts int) []scheduling.Decision {
	return slices.DeleteFunc(slices.Clone(decisions), func(decision scheduling.Decision) bool {
		_, start := decision.(scheduling.Start)
		if start {
			starts--
		}
		return start && starts < 0
	})
}

// capacityOf returns how many requests the engines of a snapshot run at a time.
func capacityOf(snap *scheduling.Snapshot) (places int) {
	for i := range snap.Engines {
		places += snap.Engines[i].Capacity()
	}
	return places
}

// demandOf returns what an owner has and still wants after some decisions, and whether an engine
// has room for the most urgent item that waits.
func demandOf(service occupancy.Key, snap *scheduling.Snapshot, decisions []scheduling.Decision) (
	demand occupancy.Demand, room bool,
) {
	var first *scheduling.Item
	started, taken := startsOf(decisions)
	demand.Service = service
	for i := range snap.Engines {
		demand.InFlight += uint32(max(snap.Engines[i].InFlight+taken[i], 0))
	}
	for i := range snap.Items {
		item := &snap.Items[i]
		if item.Engine != "" || started[i] {
			continue
		}
		demand.Waiting++
		if first == nil || item.Priority < first.Priority {
			first = item
			demand.Rank = int32(item.Priority)
		}
	}
	for i := range snap.Engines {
		engine := &snap.Engines[i]
		room = room || first != nil && engine.HasRoom(taken[i]) && engine.HasWeightsFor(first)
	}
	return demand, room
}

// startsOf returns the items that decisions start, and how many at each engine.
func startsOf(decisions []scheduling.Decision) (started map[int]bool, taken map[int]int) {
	started, taken = map[int]bool{}, map[int]int{}
	for _, decision := range decisions {
		if start, ok := decision.(scheduling.Start); ok {
			started[start.Item] = true
			taken[start.Engine]++
		}
	}
	return started, taken
}
