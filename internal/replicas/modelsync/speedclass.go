package modelsync

import (
	"cmp"
	"math"
	"slices"
	"time"

	"woodworks/internal/replicas/replica"
)

const (
	// bestEventTimeWindow is over how long at least the best event time of an engine counts: an engine that is
	// slow for some seconds is not worth the loads of dealing it anew.
	bestEventTimeWindow = 30 * time.Second
	// minSpeedClassRatio is by which factor the event times of two engines must differ to be of two
	// kinds: more than noise makes of engines of one kind.
	minSpeedClassRatio = 1.15
	// maxEventTimeAge is how old an event time may be that others have measured.
	maxEventTimeAge = 5 * time.Second
)

// EventTimeFunc returns the time between two events of a text at an engine, and how long ago it was
// measured, or 0 if it is not known.
type EventTimeFunc func(rep replica.Replica) (eventTime, age time.Duration)

// groupBySpeed parts engines by their speeds, the fastest first: where two event times next to
// each other differ by kindGap a kind ends. Engines of which none is known count among the
// kind of most. Each kind is in the order of ids.
func groupBySpeed(replicas []replica.Replica, eventTimeOf func(id string) time.Duration) [][]replica.Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b replica.Replica) int { return cmp.Compare(eventTimeOf(a.ID), eventTimeOf(b.ID)) })
	var kinds [][]replica.Replica
	var unknown []replica.Replica
	last := time.Duration(0)
	for _, rep := range sorted {
		eventTime := eventTimeOf(rep.ID)
		switch {
		case eventTime == 0:
			unknown = append(unknown, rep)
			continue
		case last == 0 || float64(eventTime) > minSpeedClassRatio*float64(last):
			kinds = append(kinds, nil)
		}
		last = eventTime
		kinds[len(kinds)-1] = append(kinds[len(kinds)-1], rep)
	}
	if len(kinds) == 0 {
		kinds = append(kinds, nil)
	}
	largest := 0
	for i := range kinds {
		if len(kinds[i]) > len(kinds[largest]) {
			largest = i
		}
	}
	kinds[largest] = append(kinds[largest], unknown...)
	for _, kind := range kinds {
		slices.SortFunc(kind, func(a, b replica.Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	return kinds
}

// assignBySpeed deals replicas to models so that each model has its part of every kind of
// engine, the fast ones first: a step ends with its longest text, which takes much longer
// where its model holds no fast engine.
func assignBySpeed(replicas []replica.Replica, models []string, allotment []int, before map[string]string,
	eventTimeOf func(id string) time.Duration) [][]replica.Replica {
	kinds := groupBySpeed(replicas, eventTimeOf)
	if len(kinds) == 1 || len(replicas) < len(models) {
		return assignByID(replicas, models, allotment, before)
	}
	deals := make([][]replica.Replica, len(models))
	given := make([]int, len(models))
	reached := 0
	for _, kind := range kinds {
		reached += len(kind)
		parts := computeClassShares(kind, models, allotment, given, before, reached)
		for i, dealt := range assignWithinAllotment(kind, models, parts, before) {
			deals[i] = append(deals[i], dealt...)
			given[i] += len(dealt)
		}
	}
	return deals
}

// computeClassShares returns how many engines of a kind each model gets, given what it has of the
// faster ones, reached being how many engines there are up to this kind. What a model has
// already of the kind it keeps within the rounding.
func computeClassShares(kind []replica.Replica, models []string, allotment, given []int, before map[string]string,
	reached int) []int {
	part := min(float64(reached)/float64(max(total(allotment), 1)), 1)
	held := countAssigned(kind, models, before)
	parts, left := make([]int, len(models)), len(kind)
	lacks := make([]float64, len(models))
	for i := range models {
		due := max(part*float64(allotment[i])-float64(given[i]), 0)
		least := int(math.Floor(due))
		parts[i] = min(max(held[i], least), int(math.Ceil(due)), allotment[i]-given[i])
		lacks[i] = due - float64(parts[i])
		left -= parts[i]
	}
	for ; left < 0; left++ {
		i := extremeIndex(lacks, func(i int) bool { return parts[i] > 0 }, -1)
		parts[i]--
		lacks[i]++
	}
	for ; left > 0; left-- {
		i := extremeIndex(lacks, func(i int) bool { return parts[i] < allotment[i]-given[i] }, 1)
		if i < 0 {
			break
		}
		parts[i]++
		lacks[i]--
	}
	return parts
}

// countAssigned returns how many engines of a kind were dealt to each model before.
func countAssigned(kind []replica.Replica, models []string, before map[string]string) []int {
	held := make([]int, len(models))
	for i, model := range models {
		for _, rep := range kind {
			if before[rep.ID] == model {
				held[i]++
			}
		}
	}
	return held
}

// extremeIndex returns the index of the largest of some values, or of the smallest where sign is
// -1, among those that may be chosen; -1 if there is none.
func extremeIndex(values []float64, may func(i int) bool, sign float64) int {
	best := -1
	for i, value := range values {
		if may(i) && (best < 0 || sign*value > sign*values[best]) {
			best = i
		}
	}
	return best
}
