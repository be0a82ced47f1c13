package modelsync

import (
	"cmp"
	"math"
	"slices"
	"time"

	"woodworks/internal/replicas/replica"
)

const (
	// bestEventTimeWindow is the minimum time for which an engine's best event time counts, so
	// that an engine that is slow for some seconds keeps its speed class.
	bestEventTimeWindow = 30 * time.Second
	// minSpeedClassRatio is the ratio between two event times above which a new speed class
	// begins. It is greater than the noise within a class.
	minSpeedClassRatio = 1.15
	// maxEventTimeAge bounds the age of an event time that is taken into account.
	maxEventTimeAge = 5 * time.Second
)

// EventTimeFunc returns the time between two events of a text at an engine, and the age of this
// measurement. The event time is 0 if it is not known.
type EventTimeFunc func(rep replica.Replica) (eventTime, age time.Duration)

// groupBySpeed groups engines into speed classes, the fastest first. A new class begins where the
// ratio of two consecutive event times exceeds minSpeedClassRatio. Engines without an event time
// are added to the largest class. Each class is sorted by id.
func groupBySpeed(replicas []replica.Replica, eventTimeOf func(id string) time.Duration) [][]replica.Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b replica.Replica) int { return cmp.Compare(eventTimeOf(a.ID), eventTimeOf(b.ID)) })
	var classes [][]replica.Replica
	var unknown []replica.Replica
	last := time.Duration(0)
	for _, rep := range sorted {
		eventTime := eventTimeOf(rep.ID)
		switch {
		case eventTime == 0:
			unknown = append(unknown, rep)
			continue
		case last == 0 || float64(eventTime) > minSpeedClassRatio*float64(last):
			classes = append(classes, nil)
		}
		last = eventTime
		classes[len(classes)-1] = append(classes[len(classes)-1], rep)
	}
	if len(classes) == 0 {
		classes = append(classes, nil)
	}
	largest := 0
	for i := range classes {
		if len(classes[i]) > len(classes[largest]) {
			largest = i
		}
	}
	classes[largest] = append(classes[largest], unknown...)
	for _, class := range classes {
		slices.SortFunc(class, func(a, b replica.Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	return classes
}

// assignBySpeed assigns replicas to models so that each model gets its share of every speed
// class, beginning with the fastest. A training step ends with its longest text, which takes much
// longer if its model has no fast engine.
func assignBySpeed(replicas []replica.Replica, models []string, allotment []int, previous map[string]string,
	eventTimeOf func(id string) time.Duration) [][]replica.Replica {
	classes := groupBySpeed(replicas, eventTimeOf)
	if len(classes) == 1 || len(replicas) < len(models) {
		return assignByID(replicas, models, allotment, previous)
	}
	assignments := make([][]replica.Replica, len(models))
	assigned := make([]int, len(models))
	reached := 0
	for _, class := range classes {
		reached += len(class)
		shares := computeClassShares(class, models, allotment, assigned, previous, reached)
		for i, members := range assignWithinAllotment(class, models, shares, previous) {
			assignments[i] = append(assignments[i], members...)
			assigned[i] += len(members)
		}
	}
	return assignments
}

// computeClassShares returns how many engines of a speed class each model gets. assigned is the
// number of engines of faster classes that each model has, and reached the number of engines in
// all classes up to this one. Within rounding, a model keeps the engines of the class that it was
// previously assigned.
func computeClassShares(class []replica.Replica, models []string, allotment, assigned []int, previous map[string]string,
	reached int) []int {
	fraction := min(float64(reached)/float64(max(total(allotment), 1)), 1)
	previousCounts := countAssigned(class, models, previous)
	shares, remaining := make([]int, len(models)), len(class)
	deficits := make([]float64, len(models))
	for i := range models {
		ideal := max(fraction*float64(allotment[i])-float64(assigned[i]), 0)
		minShare := int(math.Floor(ideal))
		shares[i] = min(max(previousCounts[i], minShare), int(math.Ceil(ideal)), allotment[i]-assigned[i])
		deficits[i] = ideal - float64(shares[i])
		remaining -= shares[i]
	}
	for ; remaining < 0; remaining++ {
		i := extremeIndex(deficits, func(i int) bool { return shares[i] > 0 }, -1)
		shares[i]--
		deficits[i]++
	}
	for ; remaining > 0; remaining-- {
		i := extremeIndex(deficits, func(i int) bool { return shares[i] < allotment[i]-assigned[i] }, 1)
		if i < 0 {
			break
		}
		shares[i]++
		deficits[i]--
	}
	return shares
}

// countAssigned returns how many engines of a speed class were previously assigned to each model.
func countAssigned(class []replica.Replica, models []string, previous map[string]string) []int {
	counts := make([]int, len(models))
	for i, model := range models {
		for _, rep := range class {
			if previous[rep.ID] == model {
				counts[i]++
			}
		}
	}
	return counts
}

// extremeIndex returns the index of the largest eligible value, or of the smallest one if sign is
// -1. It returns -1 if no value is eligible.
func extremeIndex(values []float64, eligible func(i int) bool, sign float64) int {
	best := -1
	for i, value := range values {
		if eligible(i) && (best < 0 || sign*value > sign*values[best]) {
			best = i
		}
	}
	return best
}
