package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// loadItem is an item of the simulated load. length is the true number of events of its
// output, generated the number so far.
type loadItem struct {
	Item
	group             int
	hint              int64
	length, generated float64
	// begins is when the item arrives, ready when its engine starts to generate, done when its
	// output is complete.
	begins, ready, done time.Duration
}

// load simulates bursts of two owners on engines of two speeds, in virtual time.
type load struct {
	engines []Engine
	items   []*loadItem
	// idleConns has the times at which idle connections expire, by owner and engine.
	idleConns          map[string][]time.Duration
	lengths            *LengthEstimator
	connections, moves int
}

// newLoad returns 45 engines, a quarter of them fast, and for each owner a burst of 18 groups
// of 8 items every 4 s. Hints have a log-normal error with a standard deviation of 0.5.
func newLoad(seed uint64) *load {
	l := &load{idleConns: map[string][]time.Duration{}, lengths: NewLengthEstimator()}
	for i := range 45 {
		eventTime := []time.Duration{loadFast, loadSlow, loadSlow, loadSlow}[i%4]
		l.engines = append(l.engines, Engine{
			ID:        fmt.Sprint("e", i),
			Slots:     8,
			EventTime: eventTime,
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

// run advances the simulation until all items are done.
func (l *load) run() {
	const tick = 25 * time.Millisecond
	for now, open := time.Duration(0), len(l.items); open > 0; now += tick {
		for _, owner := range []string{"0", "1"} {
			l.plan(owner, now)
		}
		loadFactors := map[string]float64{}
		for _, t := range l.items {
			loadFactors[t.Engine] += loadFactorOf(t.generated)
		}
		for _, t := range l.items {
			if t.Engine == "" || now < t.ready {
				continue
			}
			at := slices.IndexFunc(l.engines, func(engine Engine) bool { return engine.ID == t.Engine })
			t.generated += float64(tick) / (float64(l.engines[at].EventTime) * (1 + loadFactors[t.Engine]))
			if t.generated >= t.length {
				l.idleConns[t.Model+t.Engine] = append(l.idleConns[t.Model+t.Engine], now+1100*time.Millisecond)
				t.done, t.Engine = now+tick, ""
				l.lengths.Observe(t.hint, int(t.length))
				open--
			}
		}
	}
}

// plan makes the decisions of one owner and carries them out.
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
		conns := l.idleConns[owner+engine.ID]
		l.idleConns[owner+engine.ID] = slices.DeleteFunc(conns, func(until time.Duration) bool { return until < now })
		engine.IdleConns = len(l.idleConns[owner+engine.ID])
		engine.EventTime += engine.EventTime * time.Duration(7*(engine.InFlight+engine.OthersInFlight)) / 1000
	}
	for _, decision := range Plan(snapshot) {
		start, starts := decision.(Start)
		if move, moves := decision.(Move); moves {
			start = Start{Item: move.Item, Engine: move.Engine}
			l.moves++
		}
		conns := l.idleConns[owner+l.engines[start.Engine].ID]
		l.idleConns[owner+l.engines[start.Engine].ID] = conns[min(1, len(conns)):]
		l.connections += 1 - min(1, len(conns))
		own[start.Item].Engine, own[start.Item].ready = l.engines[start.Engine].ID, now+moveCost
		if starts {
			own[start.Item].ready = now + 20*time.Millisecond
		}
	}
}
