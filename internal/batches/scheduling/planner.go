package scheduling

import (
	"slices"
	"time"
)

const (
	// slowdownPerRequest is by how much, as a ratio, a request under way slows the others at an
	// engine, and loadPerEvent by how much more for each event of its text: for each token
	// an engine reads all that the text has so far.
	slowdownPerRequest = 0.005
	slowdownPerEvent   = 0.0001
)

// slowdownBy is by how much a request slows the others, with the events of its text.
func slowdownBy(events float64) float64 { return slowdownPerRequest + slowdownPerEvent*events }

// planner is one round of decisions. It counts the room that they take.
type planner struct {
	Snapshot
	engines []engineState
	// medianEventTime is the median of the known event times, 0 if none is known.
	medianEventTime time.Duration
	// byID are the indices of engines.
	byID  map[string]int
	tiers cache[class, engineTiers]
	steps cache[stepKey, step]
	pools cache[poolKey, pool]
}

// cache holds values by key. Items that follow each other mostly have the same key, so that the last
// value is kept at hand.
type cache[K comparable, V any] struct {
	values  map[K]*V
	lastKey K
	last    *V
}

// get returns the value of a key, made by newValue if there is none.
func (c *cache[K, V]) get(key K, newValue func() *V) *V {
	if c.last != nil && c.lastKey == key {
		return c.last
	}
	v := c.values[key]
	if v == nil {
		if c.values == nil {
			c.values = map[K]*V{}
		}
		v = newValue()
		c.values[key] = v
	}
	c.lastKey, c.last = key, v
	return v
}

// engineState is an engine as it is after the decisions so far.
type engineState struct {
	*Engine
	// inFlight is how many requests are under way there, of all owners; idleConns how many
	// connections to it are left.
	inFlight, idleConns int
	// slowdown is by how much, as a ratio, the requests there slow one more.
	slowdown float64
	// unloadedRatio is its event time with nothing else under way, as a ratio of the usual one.
	unloadedRatio float64
	// overdue says that a first event is overdue there.
	overdue bool
}

// class is what an engine must fulfil for an item.
type class struct {
	model      string
	minVersion int64
}

func classOf(it *Item) class { return class{model: it.Model, minVersion: it.MinVersion} }

func newPlanner(snapshot Snapshot) *planner {
	count := len(snapshot.Engines)
	p := &planner{Snapshot: snapshot, engines: make([]engineState, count), byID: make(map[string]int, count)}
	for i := range snapshot.Engines {
		e := &snapshot.Engines[i]
		inFlight := e.InFlight + e.OthersInFlight
		p.engines[i] = engineState{
			Engine:    e,
			inFlight:  inFlight,
			idleConns: e.IdleConns,
			slowdown:  float64(inFlight) * slowdownBy(0),
		}
		p.byID[e.ID] = i
	}
	for i := range snapshot.Items {
		it := &snapshot.Items[i]
		if at, ok := p.byID[it.Engine]; ok {
			p.engines[at].slowdown += slowdownBy(it.TotalEvents()) - slowdownBy(0)
			p.engines[at].overdue = p.engines[at].overdue || it.Overdue > 0
		}
	}
	p.normalizeEventTimes()
	p.forecastSteps()
	return p
}

// normalizeEventTimes sets the usual event time, and each engine's as a ratio of it.
func (p *planner) normalizeEventTimes() {
	var times []time.Duration
	for i := range p.Engines {
		if p.Engines[i].EventTime > 0 {
			times = append(times, p.Engines[i].EventTime)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		p.medianEventTime = times[(len(times)-1)/2]
	}
	for i := range p.engines {
		e := &p.engines[i]
		e.unloadedRatio = 1
		if e.EventTime > 0 {
			e.unloadedRatio = float64(e.EventTime) / float64(p.medianEventTime)
		}
		e.unloadedRatio /= 1 + e.slowdown
	}
}

// relativeEventTime is the expected time between the events of one more request at an engine, as a
// ratio of the usual one.
func (e *engineState) relativeEventTime() float64 { return e.unloadedRatio * (1 + e.slowdown) }

// eventTime is the expected time between the events of one more request at an engine, in
// nanoseconds.
func (p *planner) eventTime(engine int) float64 {
	return p.engines[engine].relativeEventTime() * float64(p.medianEventTime)
}

// hasRoom reports whether an engine may get one more request.
func (e *engineState) hasRoom() bool {
	probed := e.Declining && e.inFlight > e.InFlight+e.OthersInFlight
	return !e.Avoided && !probed && e.inFlight < e.Capacity()
}

// canRun reports whether an engine has room for an item, and weights for it.
func (p *planner) canRun(engine int, it *Item) bool {
	return p.engines[engine].hasRoom() && p.engines[engine].HasWeightsFor(it)
}

// reserve counts an item that an engine gets.
func (p *planner) reserve(engine int, it *Item) {
	e := &p.engines[engine]
	e.inFlight++
	e.idleConns = max(e.idleConns-1, 0)
	e.slowdown += slowdownBy(it.TotalEvents())
}
