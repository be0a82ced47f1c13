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

// unevenEngines are 45 engines of which each fourth is twice as fast as the others.
func unevenEngines() (replicas []replica.Replica, eventTimeOf func(id string) time.Duration) {
	paces := map[string]time.Duration{}
	for i := range 45 {
		id := fmt.Sprintf("r%02d", i)
		replicas = append(replicas, replica.Replica{Entry: replica.Entry{ID: id, Slots: 8}})
		paces[id] = time.Duration(58+i%3) * time.Millisecond
		if i < 12 {
			paces[id] = time.Duration(26+i%3) * time.Millisecond
		}
	}
	return replicas, func(id string) time.Duration { return paces[id] }
}

// recordDeals returns which model each engine was dealt to.
func recordDeals(models []string, deals [][]replica.Replica) map[string]string {
	dealt := map[string]string{}
	for i, ofModel := range deals {
		for _, rep := range ofModel {
			dealt[rep.ID] = models[i]
		}
	}
	return dealt
}

func fastOf(dealt []replica.Replica, eventTimeOf func(id string) time.Duration) (fast int) {
	for _, rep := range dealt {
		if eventTimeOf(rep.ID) < 40*time.Millisecond {
			fast++
		}
	}
	return fast
}

// Engines that were dealt before their speeds were known leave a model without fast ones, and
// its steps end last. Dealt with their speeds each model has its part of them, nothing else
// moves, and the next deal is the same.
func TestEachModelHasItsPartOfTheFastEngines(t *testing.T) {
	is := is.New(t)
	replicas, eventTimeOf := unevenEngines()
	allotment := []int{11, 6, 14, 14}
	unaware := deal(replicas, fourModels, allotment, nil)
	is.Equal(fastOf(unaware[3], eventTimeOf), 0) // the last model has none
	before := recordDeals(fourModels, unaware)
	deals := dealEvenly(replicas, fourModels, allotment, before, eventTimeOf)
	for i, least := range []int{2, 1, 3, 3} {
		is.Equal(len(deals[i]), allotment[i])
		is.True(fastOf(deals[i], eventTimeOf) >= least)
		is.True(fastOf(deals[i], eventTimeOf) <= least+1)
	}
	after := recordDeals(fourModels, deals)
	is.Equal(recordDeals(fourModels, dealEvenly(replicas, fourModels, allotment, after, eventTimeOf)), after)
}

// Where fewer engines are kept than there are, those are the fast ones.
func TestTheSlowestEnginesAreForNone(t *testing.T) {
	is := is.New(t)
	replicas, eventTimeOf := unevenEngines()
	deals := dealEvenly(replicas, fourModels, []int{4, 4, 4, 4}, nil, eventTimeOf)
	for i := range deals {
		is.Equal(len(deals[i]), 4)
		is.Equal(fastOf(deals[i], eventTimeOf), 3)
	}
}

// Engines of about one speed, or of none that is known, are dealt as without paces.
func TestEnginesOfOneSpeedAreDealtAsBefore(t *testing.T) {
	is := is.New(t)
	replicas, _ := unevenEngines()
	allotment := []int{11, 6, 14, 14}
	want := deal(replicas, fourModels, allotment, nil)
	is.Equal(dealEvenly(replicas, fourModels, allotment, nil, func(string) time.Duration { return 0 }), want)
	wide := func(id string) time.Duration {
		return 50*time.Millisecond + time.Duration(id[2]-'0')*500*time.Microsecond
	}
	is.Equal(dealEvenly(replicas, fourModels, allotment, nil, wide), want)
}

// An engine that is slow for some seconds keeps its kind.
func TestASlowSpellIsNoSpeed(t *testing.T) {
	is := is.New(t)
	var b replica.RollingMin
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < 50*time.Second; at += time.Second {
		pace := 50 * time.Millisecond
		if at > 25*time.Second && at < 40*time.Second {
			pace *= 3
		}
		b.Observe(pace, bestSpan, start.Add(at))
		is.Equal(b.Value(), 50*time.Millisecond)
	}
	for at := 50 * time.Second; at < 115*time.Second; at += time.Second {
		b.Observe(100*time.Millisecond, bestSpan, start.Add(at))
	}
	is.Equal(b.Value(), 100*time.Millisecond) // that is how it is now
}

// Whatever the speeds and the deals before: no engine is dealt twice, no model gets more than
// its share, all shares are full while there are engines, and of each kind every model has
// its part up to the rounding.
func TestDealsBySpeedKeepTheShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var replicas []replica.Replica
		paces, before := map[string]time.Duration{}, map[string]string{}
		for i := range rapid.IntRange(4, 40).Draw(t, "engines") {
			id := fmt.Sprintf("r%02d", i)
			replicas = append(replicas, replica.Replica{Entry: replica.Entry{ID: id}})
			paces[id] = time.Duration(rapid.SampledFrom([]int{0, 20, 21, 40, 80}).Draw(t, "pace")) * time.Millisecond
			before[id] = rapid.SampledFrom([]string{"", "a", "b", "c", "d", "gone"}).Draw(t, "before")
		}
		work := make([]float64, len(fourModels))
		for i := range work {
			work[i] = float64(rapid.IntRange(0, 9).Draw(t, "work"))
		}
		allotment := allot(work, rapid.IntRange(len(fourModels), len(replicas)).Draw(t, "kept"))
		deals := dealEvenly(replicas, fourModels, allotment, before, func(id string) time.Duration { return paces[id] })
		dealt := map[string]bool{}
		for i, ofModel := range deals {
			if len(ofModel) != allotment[i] {
				t.Fatalf("model %d has %d engines, its share is %d", i, len(ofModel), allotment[i])
			}
			for _, rep := range ofModel {
				if dealt[rep.ID] {
					t.Fatalf("%s is dealt twice", rep.ID)
				}
				dealt[rep.ID] = true
			}
		}
	})
}
