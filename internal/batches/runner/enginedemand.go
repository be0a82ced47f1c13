package runner

import (
	"slices"

	"woodworks/internal/batches/occupancy"
	"woodworks/internal/batches/scheduling"
)

// Pure functions that compute an owner's demand from a snapshot and the decisions on it.

// limitStarts returns the decisions without any starts beyond the given number.
func limitStarts(decisions []scheduling.Decision, starts int) []scheduling.Decision {
	return slices.DeleteFunc(slices.Clone(decisions), func(decision scheduling.Decision) bool {
		_, start := decision.(scheduling.Start)
		if start {
			starts--
		}
		return start && starts < 0
	})
}

// capacityOf returns the number of requests that the engines of a snapshot run at a time.
func capacityOf(snap *scheduling.Snapshot) (slots int) {
	for i := range snap.Engines {
		slots += snap.Engines[i].Capacity()
	}
	return slots
}

// demandOf returns what an owner has in flight and waiting after the decisions are carried out, and
// whether an engine has room for the most urgent item that waits.
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

// startsOf returns the indices of the items that the decisions start, and the number of starts at
// each engine.
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
