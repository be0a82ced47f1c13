package scheduling

import (
	"slices"
	"time"
)

const (
	// loadFactorPerRequest is the fraction by which one running request lengthens the event times
	// of the others at an engine. Each event of the request's output adds loadFactorPerEvent to
	// that fraction, as decoding a token reads the whole context.
	loadFactorPerRequest = 0.005
	loadFactorPerEvent   = 0.0001
)

// loadFactorOf returns the fraction by which a request with the given number of events lengthens
// the event times of the others at its engine.
func loadFactorOf(events float64) float64 { return loadFactorPerRequest + loadFactorPerEvent*events }

// planner holds the state of one planning round, including the room taken by the decisions so
// far.
type planner struct {
	Snapshot
	engines []engineState
	// medianEventTime is the median of the known event times, 0 if none is known.
	medianEventTime time.Duration
	// byID maps engine ids to indices of engines.
	byID  map[string]int
	tiers cache[class, engineTiers]
	steps cache[stepKey, step]
	pools cache[poolKey, pool]
	waits cache[waitKey, WaitReason]
}

// cache holds values by key. Consecutive items mostly share a key, so the last value is kept
// outside the map.
type cache[K comparable, V any] struct {
	values  map[K]*V
	lastKey K
	last    *V
}

// get returns the value of a key, and calls newValue to create it if there is none.
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

// engineState is the state of an engine in a planning round. It includes the decisions that the
// round has made so far.
type engineState struct {
	*Engine
	// inFlight is the number of requests of all owners at the engine, including those that this
	// round has assigned. idleConns is the number of idle connections that this round has not
	// used.
	inFlight, idleConns int
	// runsIsolated is set if the engine has an isolated run, or gets one in this round.
	runsIsolated bool
	// loadFactor is the fraction by which the requests at the engine lengthen the event time of
	// one more request: the sum of loadFactorOf over these requests.
	loadFactor float64
	// unloadedRatio is the event time that the engine would have without load, divided by
	// medianEventTime of the planner. It stays the same during the round.
	unloadedRatio float64
	// overdue is set if the first event of an item that runs at the engine is overdue.
	overdue bool
}

// class is what an item requires of an engine's weights. Items of the same class can run at the
// same engines.
type class struct {
	model      string
	minVersion int64
}

func classOf(it *Item) class { return class{model: it.Model, minVersion: it.MinVersion} }

// newPlanner returns a planner with all derived state of the snapshot: load factors,
// normalized event times and forecasts of the steps.
func newPlanner(snapshot Snapshot) *planner {
	count := len(snapshot.Engines)
	p := &planner{Snapshot: snapshot, engines: make([]engineState, count), byID: make(map[string]int, count)}
	for i := range snapshot.Engines {
		e := &snapshot.Engines[i]
		inFlight := e.InFlight + e.OthersInFlight
		p.engines[i] = engineState{
			Engine:       e,
			inFlight:     inFlight,
			idleConns:    e.IdleConns,
			runsIsolated: e.RunsIsolated,
			loadFactor:   float64(inFlight) * loadFactorOf(0),
		}
		p.byID[e.ID] = i
	}
	for i := range snapshot.Items {
		it := &snapshot.Items[i]
		if engine, ok := p.byID[it.Engine]; ok {
			p.engines[engine].loadFactor += loadFactorOf(it.TotalEvents()) - loadFactorOf(0)
			p.engines[engine].overdue = p.engines[engine].overdue || it.Overdue > 0
		}
	}
	p.normalizeEventTimes()
	p.forecastSteps()
	return p
}

// normalizeEventTimes sets the median event time and the unloadedRatio of each engine. An engine
// whose event time is unknown is assumed to have the median event time.
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
		e.unloadedRatio /= 1 + e.loadFactor
	}
}

// relativeEventTime returns the expected event time of one more request at an engine, relative to
// the median event time.
func (e *engineState) relativeEventTime() float64 { return e.unloadedRatio * (1 + e.loadFactor) }

// eventTime returns the expected event time of one more request at an engine, in nanoseconds.
func (p *planner) eventTime(engine int) float64 {
	return p.engines[engine].relativeEventTime() * float64(p.medianEventTime)
}

// hasRoom reports whether an engine may get one more request. A declining engine gets at most
// one in a round, as a probe.
func (e *engineState) hasRoom() bool {
	probed := e.Declining && e.inFlight > e.InFlight+e.OthersInFlight
	return !e.Avoided && !probed && e.inFlight < e.Capacity()
}

// hasRoomFor reports whether an engine may get one more request. An isolated run needs an engine without
// another one.
func (e *engineState) hasRoomFor(isolated bool) bool {
	return e.hasRoom() && !(isolated && e.runsIsolated)
}

// canRun reports whether an engine has room and recent enough weights for an item.
func (p *planner) canRun(engine int, it *Item) bool {
	return p.engines[engine].hasRoomFor(it.Isolated) && p.engines[engine].HasWeightsFor(it)
}

// reserve adds an item that was assigned to an engine to the engine's requests and load, and takes
// one of its idle connections.
func (p *planner) reserve(engine int, it *Item) {
	e := &p.engines[engine]
	e.inFlight++
	e.runsIsolated = e.runsIsolated || it.Isolated
	e.idleConns = max(e.idleConns-1, 0)
	e.loadFactor += loadFactorOf(it.TotalEvents())
}
