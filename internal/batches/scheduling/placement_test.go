package scheduling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	loadFast, loadSlow = 28 * time.Millisecond, 59 * time.Millisecond
	loadBatches        = 12
	loadGroups         = 18
	// loadNeeded is the number of complete groups that a trainer waits for.
	loadNeeded = 17
)

// neededGroupsTime returns the time at which loadNeeded groups of a batch are complete, given
// the time of each item.
func (l *load) neededGroupsTime(batch int, of func(*loadItem) time.Duration) time.Duration {
	groups := make([]time.Duration, loadGroups)
	for _, t := range l.items {
		if t.group/loadGroups == batch {
			groups[t.group%loadGroups] = max(groups[t.group%loadGroups], of(t))
		}
	}
	slices.Sort(groups)
	return groups[loadNeeded-1]
}

// Guards against steps that end late, or need many connections and moves, when a few long
// items determine the end of a burst. The bound is the time of the longest needed item alone
// at a fast engine.
func TestStepsEndNearLowerBoundWithFewConnections(t *testing.T) {
	is := is.New(t)
	const seeds = 4
	took, bound, connections, moves := time.Duration(0), time.Duration(0), 0, 0
	for seed := range uint64(seeds) {
		load := newLoad(seed + 1)
		load.run()
		for batch := range loadBatches {
			needed := load.neededGroupsTime(batch, func(each *loadItem) time.Duration { return each.done - each.begins })
			took += needed / (seeds * loadBatches)
			ideal := load.neededGroupsTime(batch, func(each *loadItem) time.Duration {
				return time.Duration(each.length) * loadFast
			})
			bound += ideal / (seeds * loadBatches)
		}
		connections, moves = connections+load.connections, moves+load.moves
	}
	t.Logf("mean step time %v, lower bound %v, %d connections and %d moves per %d items",
		took, bound, connections/seeds, moves/seeds, loadBatches*loadGroups*8)
	is.True(took < bound*120/100)
	is.True(connections/seeds < 1300)
	is.True(moves/seeds < 60)
}

// unevenStep returns a step of one decisive item, one fast and five slow engines, and some
// short items.
func unevenStep(short int, decisive Item) Snapshot {
	snapshot := Snapshot{Zone: "z", Engines: []Engine{engineWithEventTime("fast", loadFast)}}
	for i := range 5 {
		snapshot.Engines = append(snapshot.Engines, engineWithEventTime(fmt.Sprint("slow", i), loadSlow))
	}
	snapshot.Items = []Item{decisive}
	for range short {
		snapshot.Items = append(snapshot.Items, Item{Model: testModel, RemainingEvents: 10, MaxRemainingEvents: 25})
	}
	return snapshot
}

// Guards against short items that take slots of fast engines while slow ones have room.
func TestShortItemsLeaveFastEnginesFree(t *testing.T) {
	is := is.New(t)
	snapshot := unevenStep(100, Item{Model: testModel, RemainingEvents: 140, MaxRemainingEvents: 140})
	for i := range snapshot.Items {
		snapshot.Items[i].BatchAge = MaxDeferralAge
	}
	at := map[string]int{}
	for _, decision := range Plan(snapshot) {
		start := decision.(Start)
		at[snapshot.Engines[start.Engine].ID]++
		is.True(start.Item != 0 || snapshot.Engines[start.Engine].ID == "fast")
	}
	is.Equal(at["slow0"], 12)
	is.Equal(at["fast"], 12)
}

// Guards against short items that take a slot freed at a fast engine between two rounds with
// moves, while a long item at a slow engine needs it.
func TestFastSlotIsKeptForItemThatNeedsIt(t *testing.T) {
	is := is.New(t)
	snapshot := unevenStep(10, Item{
		Model:              testModel,
		RemainingEvents:    100,
		MaxRemainingEvents: 140,
		Engine:             "slow0",
		RunTime:            time.Second,
	})
	for i := range snapshot.Engines {
		snapshot.Engines[i].InFlight = snapshot.Engines[i].Slots
	}
	snapshot.Engines[0].InFlight--
	for i := range snapshot.Items {
		snapshot.Items[i].BatchAge = MaxDeferralAge
	}
	snapshot.NoMoves = true
	is.Equal(len(Plan(snapshot)), 0)
	snapshot.NoMoves = false
	is.Equal(len(Plan(snapshot)), 1)
	move, ok := Plan(snapshot)[0].(Move)
	is.True(ok)
	is.Equal(move.Item, 0)
}

// An engine without the required weights must not count as fast, neither for reserved slots
// nor for their total.
func TestOnlyUsableEnginesCountAsFast(t *testing.T) {
	is := is.New(t)
	item := Item{Model: testModel, MinVersion: 1, RemainingEvents: 140, MaxRemainingEvents: 140}
	snapshot := unevenStep(0, item)
	other := engineWithEventTime("other", loadFast)
	other.Versions = map[string]int64{testModel: 0}
	snapshot.Engines = append(snapshot.Engines, other)
	planner := newPlanner(snapshot)
	is.Equal(planner.tier(&item).fastEngines, []int{0})
	is.Equal(planner.tier(&item).fastSlots(planner), 12)
}

// Guards against short items that start earlier than their step requires, that ignore idle
// connections, or that are deferred beyond MaxDeferralAge.
func TestShortItemsAreDeferredWhileStepAllows(t *testing.T) {
	is := is.New(t)
	snapshot := unevenStep(40, Item{
		Model:              testModel,
		RemainingEvents:    100,
		MaxRemainingEvents: 140,
		Engine:             "fast",
		RunTime:            time.Second,
	})
	snapshot.Engines[2].IdleConns = 3
	started, connected := 0, 0
	for _, decision := range Plan(snapshot) {
		started++
		if decision.(Start).Engine == 2 {
			connected++
		}
	}
	// 40 items of 10 events are 24 s of work; half of the 2.8 s to the step's end is 1.4 s.
	is.True(started >= 17 && started <= 19)
	is.True(connected >= 3)
	for i := range snapshot.Items {
		snapshot.Items[i].BatchAge = MaxDeferralAge
	}
	is.Equal(len(Plan(snapshot)), 40)
}

// A deferred item must be short, recent, and of a step with a longer item.
func TestOnlyShortItemsAreDeferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		for i := range snapshot.Items {
			item := &snapshot.Items[i]
			item.MaxRemainingEvents = item.RemainingEvents * rapid.Float64Range(1, 3).Draw(t, "max remaining ratio")
			item.BatchAge = time.Duration(rapid.IntRange(0, 3000).Draw(t, "batch age")) * time.Millisecond
		}
		// A move could take the room that a waiting item would have got.
		snapshot.NoMoves = true
		planner := newPlanner(snapshot)
		awaitsSlow := func(item *Item) bool { return planner.isShort(item) && planner.tier(item).fastDemand > 0 }
		for i, started := range startedItems(snapshot) {
			item := &snapshot.Items[i]
			mayDefer := !item.Required && item.BatchAge < MaxDeferralAge &&
				item.MaxRemainingEvents < longestInStep(snapshot, item)
			if started || item.Engine != "" || mayDefer || awaitsSlow(item) {
				continue
			}
			after := planAfter(snapshot)
			for e := range snapshot.Engines {
				if after.canRun(e, item) {
					t.Fatalf("item %d waits though %s has room", i, snapshot.Engines[e].ID)
				}
			}
		}
	})
}

// startedItems reports, by index, which items Plan starts.
func startedItems(snapshot Snapshot) []bool {
	started := make([]bool, len(snapshot.Items))
	for _, decision := range Plan(snapshot) {
		started[decision.(Start).Item] = true
	}
	return started
}

// planAfter returns the planner after all starts.
func planAfter(snapshot Snapshot) *planner {
	planner := newPlanner(snapshot)
	planner.planStarts()
	return planner
}

// longestInStep returns the longest remaining length in an item's step.
func longestInStep(snapshot Snapshot, item *Item) float64 {
	longest := 0.0
	for i := range snapshot.Items {
		other := &snapshot.Items[i]
		if other.BatchAdoptedAt.Equal(item.BatchAdoptedAt) && classOf(other) == classOf(item) {
			longest = max(longest, other.RemainingEvents)
		}
	}
	return longest
}

// Guards against moves of items that finish well before their step: a new connection costs
// more than the move gains.
func TestOnlyItemsThatDelayStepMove(t *testing.T) {
	is := is.New(t)
	snapshot := unevenStep(0, Item{Model: testModel, RemainingEvents: 100, Engine: "fast", RunTime: time.Second})
	snapshot.Items = append(snapshot.Items, Item{
		Model:           testModel,
		RemainingEvents: 20,
		Engine:          "slow0",
		RunTime:         time.Second,
	})
	is.Equal(len(Plan(snapshot)), 0)
	// With a slower engine it would delay the step.
	snapshot.Engines[1].EventTime = 200 * time.Millisecond
	is.Equal(len(Plan(snapshot)), 1)
}

// Items with an overdue first event must leave an engine in small numbers, as it may only be
// loading weights.
func TestItemsLeaveUnresponsiveEngineGradually(t *testing.T) {
	is := is.New(t)
	snapshot := unevenStep(0, Item{Model: testModel, RemainingEvents: 100, Engine: "fast", RunTime: time.Second})
	for range 5 {
		snapshot.Items = append(snapshot.Items, Item{
			Model:           testModel,
			RemainingEvents: 10,
			Engine:          "slow0",
			RunTime:         600 * time.Millisecond,
			Overdue:         300 * time.Millisecond,
		})
	}
	decisions := Plan(snapshot)
	is.Equal(len(decisions), maxOverdueMoves)
	for _, decision := range decisions {
		is.True(snapshot.Engines[decision.(Move).Engine].ID != "slow0")
	}
	// New items must avoid the engine.
	snapshot.Items = append(snapshot.Items, Item{Model: testModel, RemainingEvents: 10})
	for _, decision := range Plan(snapshot) {
		if start, ok := decision.(Start); ok {
			is.True(snapshot.Engines[start.Engine].ID != "slow0")
		}
	}
}

func TestFirstEventTimeoutIsLearned(t *testing.T) {
	is := is.New(t)
	var latency FirstEventLatency
	is.Equal(latency.OverdueAfter("s"), MaxFirstEventTimeout)
	for i := range 100 {
		took := 20 * time.Millisecond
		if i%20 == 0 {
			took = 5 * time.Second // a few attempts without a first event must not matter
		}
		latency.Observe("s", took)
	}
	is.Equal(latency.OverdueAfter("s"), minFirstEventTimeout)
	is.Equal(latency.OverdueAfter("another"), MaxFirstEventTimeout)
	for range firstEventWindow {
		latency.Observe("s", 200*time.Millisecond)
	}
	is.Equal(latency.OverdueAfter("s"), 500*time.Millisecond)
	for range firstEventWindow {
		latency.Observe("s", 2*time.Second)
	}
	is.Equal(latency.OverdueAfter("s"), MaxFirstEventTimeout)
}
