package modelsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/replicas/replica"
)

var fourModels = []string{"a", "b", "c", "d"}

// mixedSpeedEngines returns 45 engines, of which the first 12 are twice as fast as the others.
func mixedSpeedEngines() (replicas []replica.Replica, eventTimeOf func(id string) time.Duration) {
	eventTimes := map[string]time.Duration{}
	for i := range 45 {
		id := fmt.Sprintf("r%02d", i)
		replicas = append(replicas, replica.Replica{Entry: replica.Entry{ID: id, Slots: 8}})
		eventTimes[id] = time.Duration(58+i%3) * time.Millisecond
		if i < 12 {
			eventTimes[id] = time.Duration(26+i%3) * time.Millisecond
		}
	}
	return replicas, func(id string) time.Duration { return eventTimes[id] }
}

// modelsByID returns the model to which each engine is assigned.
func modelsByID(models []string, assignments [][]replica.Replica) map[string]string {
	assigned := map[string]string{}
	for i, ofModel := range assignments {
		for _, rep := range ofModel {
			assigned[rep.ID] = models[i]
		}
	}
	return assigned
}

func countFast(assigned []replica.Replica, eventTimeOf func(id string) time.Duration) (fast int) {
	for _, rep := range assigned {
		if eventTimeOf(rep.ID) < 40*time.Millisecond {
			fast++
		}
	}
	return fast
}

// Guards against a model without fast engines, whose training steps would end last, and against
// an assignment that changes when computed again.
func TestEachModelGetsItsShareOfFastEngines(t *testing.T) {
	is := is.New(t)
	replicas, eventTimeOf := mixedSpeedEngines()
	allotment := []int{11, 6, 14, 14}
	withoutSpeeds := assignByID(replicas, fourModels, allotment, nil)
	is.Equal(countFast(withoutSpeeds[3], eventTimeOf), 0) // the last model has none
	previous := modelsByID(fourModels, withoutSpeeds)
	assignments := assignBySpeed(replicas, fourModels, allotment, previous, eventTimeOf)
	for i, minFast := range []int{2, 1, 3, 3} {
		is.Equal(len(assignments[i]), allotment[i])
		is.True(countFast(assignments[i], eventTimeOf) >= minFast)
		is.True(countFast(assignments[i], eventTimeOf) <= minFast+1)
	}
	after := modelsByID(fourModels, assignments)
	is.Equal(modelsByID(fourModels, assignBySpeed(replicas, fourModels, allotment, after, eventTimeOf)), after)
}

// If more engines exist than are needed, the slowest ones stay unassigned.
func TestSlowestEnginesStayUnassigned(t *testing.T) {
	is := is.New(t)
	replicas, eventTimeOf := mixedSpeedEngines()
	assignments := assignBySpeed(replicas, fourModels, []int{4, 4, 4, 4}, nil, eventTimeOf)
	for i := range assignments {
		is.Equal(len(assignments[i]), 4)
		is.Equal(countFast(assignments[i], eventTimeOf), 3)
	}
}

// Small differences in speed, or unknown speeds, must not change the assignment.
func TestEnginesOfOneSpeedAreAssignedByID(t *testing.T) {
	is := is.New(t)
	replicas, _ := mixedSpeedEngines()
	allotment := []int{11, 6, 14, 14}
	want := assignByID(replicas, fourModels, allotment, nil)
	is.Equal(assignBySpeed(replicas, fourModels, allotment, nil, func(string) time.Duration { return 0 }), want)
	similar := func(id string) time.Duration {
		return 50*time.Millisecond + time.Duration(id[2]-'0')*500*time.Microsecond
	}
	is.Equal(assignBySpeed(replicas, fourModels, allotment, nil, similar), want)
}

// An engine that is slow for a short time must keep its speed class.
func TestShortSlownessKeepsTheSpeedClass(t *testing.T) {
	is := is.New(t)
	var best replica.RollingMin
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < 50*time.Second; at += time.Second {
		eventTime := 50 * time.Millisecond
		if at > 25*time.Second && at < 40*time.Second {
			eventTime *= 3
		}
		best.Observe(eventTime, bestEventTimeWindow, start.Add(at))
		is.Equal(best.Value(), 50*time.Millisecond)
	}
	for at := 50 * time.Second; at < 115*time.Second; at += time.Second {
		best.Observe(100*time.Millisecond, bestEventTimeWindow, start.Add(at))
	}
	is.Equal(best.Value(), 100*time.Millisecond) // the earlier best has expired
}

// Whatever the speeds and the previous assignment, no engine is assigned twice and each model
// gets exactly its allotment.
func TestAssignmentBySpeedKeepsTheAllotment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var replicas []replica.Replica
		eventTimes, previous := map[string]time.Duration{}, map[string]string{}
		for i := range rapid.IntRange(4, 40).Draw(t, "engines") {
			id := fmt.Sprintf("r%02d", i)
			replicas = append(replicas, replica.Replica{Entry: replica.Entry{ID: id}})
			eventTimes[id] = time.Duration(rapid.SampledFrom([]int{0, 20, 21, 40, 80}).Draw(t, "event time")) * time.Millisecond
			previous[id] = rapid.SampledFrom([]string{"", "a", "b", "c", "d", "gone"}).Draw(t, "previous")
		}
		work := make([]float64, len(fourModels))
		for i := range work {
			work[i] = float64(rapid.IntRange(0, 9).Draw(t, "work"))
		}
		allotment := computeAllotment(work, rapid.IntRange(len(fourModels), len(replicas)).Draw(t, "allotted"))
		assignments := assignBySpeed(replicas, fourModels, allotment, previous, func(id string) time.Duration { return eventTimes[id] })
		assigned := map[string]bool{}
		for i, ofModel := range assignments {
			if len(ofModel) != allotment[i] {
				t.Fatalf("model %d has %d engines, allotment is %d", i, len(ofModel), allotment[i])
			}
			for _, rep := range ofModel {
				if assigned[rep.ID] {
					t.Fatalf("%s is assigned twice", rep.ID)
				}
				assigned[rep.ID] = true
			}
		}
	})
}
