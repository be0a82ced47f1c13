package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// loadItem is one loadItem of the load: what is known of it, its true length, and how it goes.
type loadItem struct {
	Item
	group             int
	hint              int64
	length, generated float64
	// ready is when it begins to be made where it is, done when it was whole.
	begins, ready, done time.Duration
}

// load plays bursts of two owners on engines of two speeds, in virtual time.
type load struct {
	engines []Engine
	items   []*loadItem
	// idleConns has until when connections of an owner rest at an engine.
	idleConns          map[string][]time.Duration
	lengths            *LengthEstimator
	connections, moves int
}

// newLoad makes 45 engines, a quarter of them fast, and bursts of 18 groups of 8 texts,
// one for each owner every 4 s. Hints are off by a factor of e^0.5 (standard deviation).
func newLoad(seed uint64) *load {
	l := &load{idleConns: map[string][]time.Duration{}, lengths: NewLengthEstimator()}
	for i := range 45 {
		pace := []time.Duration{loadFast, loadSlow, loadSlow, loadSlow}[i%4]
		l.engines = append(l.engines, Engine{
			ID:        fmt.Sprint("e", i),
			Slots:     8,
			EventTime: pace,
			Versions:  map[string]int64{"0": 1, "1": 1},
		})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range loadBatches * loadGroups * 8 {
		batch := i / (loadGroups * 8)
		t := &loadItem{group: i / 8, begins: time.Duration(batch/2) * 4 * time.Second}
		t.length = max(min(math.Round(14*math.Exp(0.9*random.NormFloat64())), 145), 1)
		t.hint = int64(max(t.length*defaultTokensPerEvent*math.Exp(0.5*random.NormFloat64()), 1))
		t.Item = Item{Model: fmt.Sprint(batch % 2), BatchAdoptedAt: testStart.Add(t.begins)}
		l.items = append(l.items, t)
	}
	return l
}

// run goes on in steps until all texts are whole.
func (l *load) run() {
	const tick = 25 * time.Millisecond
	for now, open := time.Duration(0), len(l.items); open > 0; now += tick {
		for _, owner := range []string{"0", "1"} {
			l.plan(owner, now)
		}
		loads := map[string]float64{}
		for _, t := range l.items {
			loads[t.Engine] += slowdownBy(t.generated)
		}
		for _, t := range l.items {
			if t.Engine == "" || now < t.ready {
				continue
			}
			at := slices.IndexFunc(l.engines, func(engine Engine) bool { return engine.ID == t.Engine })
			t.generated += float64(tick) / (float64(l.engines[at].EventTime) * (1 + loads[t.Engine]))
			if t.generated >= t.length {
				l.idleConns[t.Model+t.Engine] = append(l.idleConns[t.Model+t.Engine], now+1100*time.Millisecond)
				t.done, t.Engine = now+tick, ""
				l.lengths.Observe(t.hint, int(t.length))
				open--
			}
		}
	}
}

// plan lets an owner plan, and does what it says.
func (l *load) plan(owner string, now time.Duration) {
	snapshot := Snapshot{Engines: slices.Clone(l.engines), NoMoves: now%(250*time.Millisecond) != 0}
	var own []*loadItem
	for _, t := range l.items {
		at := slices.IndexFunc(l.engines, func(engine Engine) bool { return engine.ID == t.Engine })
		switch {
		case t.done > 0 || t.begins > now:
		case t.Model != owner && at >= 0:
			snapshot.Engines[at].OthersInFlight++
		case t.Model == owner:
			t.Events, t.RunTime, t.BatchAge = int(t.generated), now-t.ready, now-t.begins
			t.RemainingEvents = l.lengths.Remaining(t.hint, t.Events)
			t.MaxRemainingEvents = l.lengths.MaxRemaining(t.hint, t.Events)
			own, snapshot.Items = append(own, t), append(snapshot.Items, t.Item)
			if at >= 0 {
				snapshot.Engines[at].InFlight++
			}
		}
	}
	for i := range snapshot.Engines {
		engine := &snapshot.Engines[i]
		rests := l.idleConns[owner+engine.ID]
		l.idleConns[owner+engine.ID] = slices.DeleteFunc(rests, func(until time.Duration) bool { return until < now })
		engine.IdleConns = len(l.idleConns[owner+engine.ID])
		engine.EventTime += engine.EventTime * time.Duration(7*(engine.InFlight+engine.OthersInFlight)) / 1000
	}
	for _, decision := range Plan(snapshot) {
		start, starts := decision.(Start)
		if move, moves := decision.(Move); moves {
			start = Start{Item: move.Item, Engine: move.Engine}
			l.moves++
		}
		resting := l.idleConns[owner+l.engines[start.Engine].ID]
		l.idleConns[owner+l.engines[start.Engine].ID] = resting[min(1, len(resting)):]
		l.connections += 1 - min(1, len(resting))
		own[start.Item].Engine, own[start.Item].ready = l.engines[start.Engine].ID, now+moveCost
		if starts {
			own[start.Item].ready = now + 20*time.Millisecond
		}
	}
}
