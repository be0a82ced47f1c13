package scheduling

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

const testModel = "m"

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawEngine(t *rapid.T, id string) Engine {
	return Engine{
		ID: id, Zone: rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone"),
		Slots: rapid.IntRange(0, 4).Draw(t, "slots"), InFlight: rapid.IntRange(0, 5).Draw(t, "in flight"),
		EventTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "event time")) * time.Millisecond,
		Avoided:   rapid.IntRange(0, 4).Draw(t, "avoided") == 0,
		Declining: rapid.IntRange(0, 4).Draw(t, "declining") == 0,
		Versions:  map[string]int64{testModel: rapid.Int64Range(1, 4).Draw(t, "version")},
	}
}

func drawItem(t *rapid.T, engines []Engine) Item {
	it := Item{
		Priority:       rapid.IntRange(0, 1).Draw(t, "priority"),
		BatchAdoptedAt: testStart.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "since")) * time.Second),
		Model:          testModel, MinVersion: rapid.Int64Range(1, 4).Draw(t, "min version"),
		Required:        rapid.Bool().Draw(t, "required"),
		RemainingEvents: float64(rapid.IntRange(1, 200).Draw(t, "remaining")),
	}
	if len(engines) > 0 && rapid.Bool().Draw(t, "runs") {
		it.Engine = rapid.SampledFrom(engines).Draw(t, "engine").ID
		it.RunTime = time.Duration(rapid.IntRange(0, 3000).Draw(t, "run time")) * time.Millisecond
	}
	if len(engines) > 0 && rapid.Bool().Draw(t, "group has engine") {
		it.GroupEngine = rapid.SampledFrom(engines).Draw(t, "group engine").ID
	}
	return it
}

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Zone: "z"}
	for i := range rapid.IntRange(0, 6).Draw(t, "engines") {
		s.Engines = append(s.Engines, drawEngine(t, string(rune('a'+i))))
	}
	for range rapid.IntRange(0, 20).Draw(t, "items") {
		s.Items = append(s.Items, drawItem(t, s.Engines))
	}
	return s
}

// checkPlan checks the invariants of a plan: no engine gets more than it has slots for,
// avoided engines and those with older weights get nothing, a declining engine gets at most
// one request, each item has at most one decision, and no item waits while an engine that can
// run it has room.
func checkPlan(t *rapid.T, snapshot Snapshot, decisions []Decision) {
	taken := make([]int, len(snapshot.Engines))
	decided := map[int]bool{}
	for _, decision := range decisions {
		var item, engine int
		switch decision := decision.(type) {
		case Start:
			item, engine = decision.Item, decision.Engine
			if snapshot.Items[item].Engine != "" {
				t.Fatalf("item %d is started but already runs", item)
			}
		case Move:
			item, engine = decision.Item, decision.Engine
			if snapshot.Items[item].Engine == "" || snapshot.Items[item].Engine == snapshot.Engines[engine].ID {
				t.Fatalf("item %d is moved from %q to %q", item, snapshot.Items[item].Engine, snapshot.Engines[engine].ID)
			}
			if decision.Gain < minMoveGain {
				t.Fatalf("gain of a move is only %v", decision.Gain)
			}
		}
		if decided[item] {
			t.Fatalf("item %d has two decisions", item)
		}
		decided[item] = true
		taken[engine]++
		if snapshot.Engines[engine].Versions[testModel] < snapshot.Items[item].MinVersion {
			t.Fatalf("item %d is assigned to an engine with outdated weights", item)
		}
	}
	checkEngines(t, snapshot, taken)
	checkWaiting(t, snapshot, taken, decided)
}

// checkEngines checks that no engine gets more requests than allowed.
func checkEngines(t *rapid.T, snapshot Snapshot, taken []int) {
	for i, engine := range snapshot.Engines {
		switch {
		case taken[i] > 0 && engine.Avoided:
			t.Fatalf("avoided engine %s gets %d requests", engine.ID, taken[i])
		case taken[i] > 1 && engine.Declining:
			t.Fatalf("declining engine %s gets %d requests", engine.ID, taken[i])
		case taken[i] > 0 && engine.InFlight+taken[i] > snapshot.Engines[i].Capacity():
			t.Fatalf("engine %s gets %d requests in addition to %d", engine.ID, taken[i], engine.InFlight)
		}
	}
}

// checkWaiting checks that no item waits while an engine that can run it has room.
func checkWaiting(t *rapid.T, snapshot Snapshot, taken []int, decided map[int]bool) {
	for i, item := range snapshot.Items {
		if item.Engine != "" || decided[i] {
			continue
		}
		for e, engine := range snapshot.Engines {
			room := engine.InFlight+taken[e] < snapshot.Engines[e].Capacity() && !engine.Avoided &&
				!(engine.Declining && taken[e] > 0)
			if room && engine.Versions[testModel] >= item.MinVersion {
				t.Fatalf("item %d waits though %s has room", i, engine.ID)
			}
		}
	}
}

func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		decisions := Plan(snapshot)
		checkPlan(t, snapshot, decisions)
		if again := Plan(snapshot); !reflect.DeepEqual(again, decisions) {
			t.Fatalf("the same snapshot gave %v and %v", decisions, again)
		}
	})
}

// Guards against items that start before ones that precede them in compareWaiting, if the same
// engines can run both.
func TestItemsStartInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		for i := range snapshot.Items {
			snapshot.Items[i].MinVersion = 1
		}
		started := map[int]bool{}
		for _, decision := range Plan(snapshot) {
			if start, ok := decision.(Start); ok {
				started[start.Item] = true
			}
		}
		for i := range snapshot.Items {
			for j := range snapshot.Items {
				first, second := &snapshot.Items[i], &snapshot.Items[j]
				if first.Engine == "" && second.Engine == "" && compareWaiting(first, second) < 0 &&
					started[j] && !started[i] {
					t.Fatalf("item %d is started, but item %d, which precedes it, is not", j, i)
				}
			}
		}
	})
}

func TestCompareWaiting(t *testing.T) {
	is := is.New(t)
	urgent := &Item{Priority: 0, BatchAdoptedAt: testStart.Add(time.Minute)}
	older := &Item{Priority: 1, BatchAdoptedAt: testStart}
	required := &Item{Priority: 1, BatchAdoptedAt: testStart.Add(time.Second), Required: true, RemainingEvents: 1}
	longer := &Item{Priority: 1, BatchAdoptedAt: testStart.Add(time.Second), RemainingEvents: 9}
	shorter := &Item{Priority: 1, BatchAdoptedAt: testStart.Add(time.Second), RemainingEvents: 2}
	ordered := []*Item{urgent, older, required, longer, shorter}
	for i, first := range ordered {
		for _, second := range ordered[i+1:] {
			is.True(compareWaiting(first, second) < 0)
			is.True(compareWaiting(second, first) > 0)
		}
	}
}

func engineWithEventTime(id string, eventTime time.Duration) Engine {
	return Engine{ID: id, Zone: "z", Slots: 12, EventTime: eventTime, Versions: map[string]int64{testModel: 1}}
}

// Guards against long items at slow engines, where a single one may delay the batch, while
// faster ones have room.
func TestLongItemsStartAtFasterEngines(t *testing.T) {
	is := is.New(t)
	snapshot := Snapshot{Zone: "z", Engines: []Engine{
		engineWithEventTime("slower", 52*time.Millisecond),
		engineWithEventTime("a", 40*time.Millisecond),
		engineWithEventTime("b", 39*time.Millisecond),
	}}
	for length := range 30 {
		snapshot.Items = append(snapshot.Items, Item{Model: testModel, RemainingEvents: float64(length)})
	}
	atSlower := 0
	for _, decision := range Plan(snapshot) {
		start := decision.(Start)
		if snapshot.Engines[start.Engine].ID == "slower" {
			atSlower++
			is.True(snapshot.Items[start.Item].RemainingEvents < 6)
		}
	}
	is.Equal(atSlower, 6)
}

// Guards against moves whose gain is within measurement noise or below the cost of a move, and
// against missing ones.
func TestMovesOutweighTheirCost(t *testing.T) {
	is := is.New(t)
	movedFrom := func(eventTime time.Duration, remaining float64, runFor time.Duration) bool {
		snapshot := Snapshot{
			Zone: "z",
			Engines: []Engine{
				engineWithEventTime("at", eventTime),
				engineWithEventTime("free", 40*time.Millisecond),
				engineWithEventTime("other", 40*time.Millisecond),
			},
		}
		snapshot.Items = []Item{{Model: testModel, Engine: "at", RunTime: runFor, RemainingEvents: remaining}}
		return len(Plan(snapshot)) == 1
	}
	is.True(movedFrom(52*time.Millisecond, 80, time.Second))
	is.True(movedFrom(140*time.Millisecond, 10, time.Second))
	is.True(!movedFrom(43*time.Millisecond, 165, time.Second))
	is.True(!movedFrom(52*time.Millisecond, 10, time.Second))
	is.True(!movedFrom(52*time.Millisecond, 80, minRunTime/2))
}

func TestMovesDoNotOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eventTime := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(10, 200).Draw(t, name)) * time.Millisecond
		}
		snapshot := Snapshot{Zone: "z", Engines: []Engine{
			engineWithEventTime("a", eventTime("a")), engineWithEventTime("b", eventTime("b"))}}
		remaining := float64(rapid.IntRange(1, 200).Draw(t, "remaining"))
		snapshot.Items = []Item{{Model: testModel, Engine: "a", RunTime: time.Second, RemainingEvents: remaining}}
		snapshot.Engines[0].InFlight = 1
		if len(Plan(snapshot)) == 0 {
			return
		}
		snapshot.Engines[0].InFlight, snapshot.Engines[1].InFlight = 0, 1
		snapshot.Items[0].Engine = "b"
		if len(Plan(snapshot)) != 0 {
			t.Fatalf("item oscillates between engines with event times %v and %v",
				snapshot.Engines[0].EventTime, snapshot.Engines[1].EventTime)
		}
	})
}

// BenchmarkPlan plans up to 10,000 waiting items on a tenth as many engines.
func BenchmarkPlan(b *testing.B) {
	for _, items := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			snapshot := Snapshot{Zone: "z"}
			for i := range items / 10 {
				eventTime := time.Duration(30+i%20) * time.Millisecond
				snapshot.Engines = append(snapshot.Engines, engineWithEventTime(fmt.Sprint("e", i), eventTime))
			}
			for i := range items {
				snapshot.Items = append(snapshot.Items, Item{
					Model: testModel, RemainingEvents: float64(i * 7919 % 165), Required: i%10 == 0,
					GroupEngine: fmt.Sprint("e", i/4%len(snapshot.Engines)),
				})
			}
			for b.Loop() {
				Plan(snapshot)
			}
		})
	}
}

// Guards against items that queue at an engine whose slots are taken by another owner's
// requests.
func TestRequestsOfOtherOwnersOccupySlots(t *testing.T) {
	is := is.New(t)
	engine := func(id string, eventTime time.Duration, others int) Engine {
		return Engine{
			ID:             id,
			Slots:          2,
			OthersInFlight: others,
			EventTime:      eventTime,
			Versions:       map[string]int64{testModel: 1},
		}
	}
	item := Item{Model: testModel, RemainingEvents: 100}
	decisions := Plan(Snapshot{
		Engines: []Engine{engine("fast", 20*time.Millisecond, 2), engine("slow", 50*time.Millisecond, 1)},
		Items:   []Item{item, item},
	})
	is.Equal(decisions, []Decision{Start{Item: 0, Engine: 1}})
}
