package scheduling

import (
	"container/heap"
	"math"
	"sort"
	"time"
)

const (
	// defaultSlots is assumed where an engine names no slots.
	defaultSlots = 8
	// crowding is by how much each request under way slows the others at an engine,
	// and eventCrowding by how much more for each event of its text, as an engine
	// reads all that it has so far for each token. Together they are 0.7 % for a text of
	// 20 events and 1.5 % for one of 100, which is what engines were seen to do. They are
	// not learned: what one request adds is less than a pace is known to.
	loadPerRequest = 0.005
	loadPerEvent   = 0.0001
	// groupBonus is taken off the score of the engine that read the group's
	// shared prompt: reading it again takes about as long as a tenth of an event.
	sharedPromptBonus = 0.02
	// otherZone is added for an engine in another zone: bytes between zones cost.
	// It is as much as a short text under way, as a long one is sooner done where
	// there is less beside it.
	otherZonePenalty = 0.008
	// connecting is added, for texts that can wait, where no connection rests: making one
	// takes the engine's time, and theirs does not decide.
	noConnPenalty = 0.3
	// silence is added where a first event is overdue: as much as for an engine that takes
	// twice as long, so that it gets more only where all the others are no better.
	overduePenalty = 1
)

// paces are the engines' paces relative to each other.
type eventTimes struct {
	// usual is the median of the known paces, 0 if none is known.
	usual time.Duration
	// ratio is an engine's pace with nothing else under way, by the usual one.
	ratio []float64
}

func eventTimesOf(engines []Engine, loads []float64) eventTimes {
	var known []time.Duration
	for _, engine := range engines {
		if engine.EventTime > 0 {
			known = append(known, engine.EventTime)
		}
	}
	made := eventTimes{ratio: make([]float64, len(engines))}
	if len(known) > 0 {
		sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
		made.usual = known[(len(known)-1)/2]
	}
	for i, engine := range engines {
		made.ratio[i] = 1
		if engine.EventTime > 0 {
			made.ratio[i] = float64(engine.EventTime) / float64(made.usual)
		}
		made.ratio[i] /= 1 + loads[i]
	}
	return made
}

// loadOf is by how much a request slows the others, with the events of its text.
func loadOf(events float64) float64 { return loadPerRequest + loadPerEvent*events }

// class is what an engine must fulfil for an item.
type class struct {
	model      string
	minVersion int64
}

func classOf(item *Item) class { return class{model: item.Model, minVersion: item.MinVersion} }

// poolKey names the engines for the items of one class.
type poolKey struct {
	class
	choice choice
}

// choice is which engines a text may go to.
type choice int

const (
	// anyEngine: all that may run it.
	anyEngine choice = iota
	// ordinary: all but the fast ones.
	ordinary
	// connected: likewise, and rather one to which a connection rests.
	connected
)

// pool has the engines that may run the items of one class, the best on top. Its
// order may be out of date as room is taken: top puts it right.
type pool struct {
	poolKey
	planner *planner
	tiers   *tiers
	engines []int
	scores  []float64
}

// pick returns the engine that should run an item, or -1 if none may and has room.
// Texts that need no fast engine go to one only if no other has room, and it need not be
// kept.
func (p *planner) pick(item *Item) int {
	wanted := p.choiceOf(item)
	if engine := p.best(item, wanted); engine >= 0 || wanted == anyEngine {
		return engine
	}
	if p.pool(item, anyEngine).top() < 0 || item.MaxRemaining > 0 && p.tier(item).kept(p) {
		return -1
	}
	return p.best(item, anyEngine)
}

// choiceOf returns to which engines an item should go.
func (p *planner) choiceOf(item *Item) choice {
	switch {
	case p.short(item):
		return connected
	case len(p.tier(item).fastest) == 0 || p.needs(item):
		return anyEngine
	default:
		return ordinary
	}
}

// best returns the best engine for an item of those that it may go to.
func (p *planner) best(item *Item, choice choice) int {
	pool := p.pool(item, choice)
	best := pool.top()
	if best < 0 {
		return -1
	}
	// The engine that has the group's prompt is preferred unless it is clearly worse.
	if item.GroupEngine == "" || item.GroupEngine == p.Engines[best].ID {
		return best
	}
	near, ok := p.byID[item.GroupEngine]
	if ok && near != best && p.canRun(near, item) && pool.takes(near) && pool.score(near)-sharedPromptBonus < pool.score(best) {
		return near
	}
	return best
}

func (p *planner) pool(item *Item, choice choice) *pool {
	key := poolKey{class: classOf(item), choice: choice}
	if p.last != nil && p.last.poolKey == key {
		return p.last
	}
	if known := p.pools[key]; known != nil {
		p.last = known
		return known
	}
	made := &pool{planner: p, poolKey: key, tiers: p.tier(item)}
	for i := range p.Engines {
		if p.canRun(i, item) && made.takes(i) {
			made.engines = append(made.engines, i)
			made.scores = append(made.scores, made.score(i))
		}
	}
	heap.Init(made)
	p.pools[key] = made
	p.last = made
	return made
}

// takes reports whether an engine is one of those that the pool is for.
func (pl *pool) takes(engine int) bool {
	return pl.choice == anyEngine || !pl.tiers.fast[engine]
}

// score is lower for a better engine.
func (pl *pool) score(engine int) float64 {
	score := pl.planner.score(engine)
	if pl.choice == connected && pl.planner.idleConns[engine] == 0 {
		score += noConnPenalty
	}
	return score
}

// top returns the best engine with room, or -1.
func (pl *pool) top() int {
	for len(pl.engines) > 0 {
		engine := pl.engines[0]
		if !pl.planner.hasRoom(engine) {
			heap.Pop(pl)
			continue
		}
		score := pl.score(engine)
		if score == pl.scores[0] {
			return engine
		}
		pl.scores[0] = score
		heap.Fix(pl, 0)
	}
	return -1
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (pl *pool) Len() int { return len(pl.engines) }

func (pl *pool) Less(i, j int) bool {
	if pl.scores[i] != pl.scores[j] {
		return pl.scores[i] < pl.scores[j]
	}
	first, second := &pl.planner.Engines[pl.engines[i]], &pl.planner.Engines[pl.engines[j]]
	if first.Preference != second.Preference {
		return first.Preference > second.Preference
	}
	return first.ID < second.ID
}

func (pl *pool) Swap(i, j int) {
	pl.engines[i], pl.engines[j] = pl.engines[j], pl.engines[i]
	pl.scores[i], pl.scores[j] = pl.scores[j], pl.scores[i]
}

func (pl *pool) Push(any) {}

func (pl *pool) Pop() any {
	last := len(pl.engines) - 1
	pl.engines, pl.scores = pl.engines[:last], pl.scores[:last]
	return nil
}

// take counts an item that an engine gets.
func (p *planner) take(engine int, item *Item) {
	p.inFlight[engine]++
	p.idleConns[engine] = max(p.idleConns[engine]-1, 0)
	p.loads[engine] += loadOf(item.Length())
}

// mayRun reports whether an engine may run an item now.
func (p *planner) canRun(engine int, item *Item) bool {
	return p.hasRoom(engine) && p.holds(engine, item)
}

// holds reports whether an engine has weights that are new enough for an item.
func (p *planner) holds(engine int, item *Item) bool {
	version, known := p.Engines[engine].Versions[item.Model]
	return !known || version >= item.MinVersion
}

func (p *planner) hasRoom(engine int) bool {
	known := &p.Engines[engine]
	if known.Avoided {
		return false
	}
	if known.Declining && p.inFlight[engine] > known.InFlight+known.OthersInFlight {
		return false
	}
	return p.inFlight[engine] < slotsOf(known)
}

func slotsOf(engine *Engine) int {
	if engine.Slots <= 0 {
		return defaultSlots
	}
	return engine.Slots
}

// score is lower for a better engine: the pace that one more request would have
// there, by the usual pace.
func (p *planner) score(engine int) float64 {
	score := p.eventTimes.ratio[engine] * (1 + p.loads[engine])
	if p.Engines[engine].Zone != p.Zone {
		score += otherZonePenalty
	}
	if p.overdue[engine] {
		score += overduePenalty
	}
	return score
}

// pace is the expected time between the events of one more request at an engine.
func (p *planner) eventTime(engine int) float64 {
	return p.eventTimes.ratio[engine] * (1 + p.loads[engine]) * float64(p.eventTimes.usual)
}

// rounded turns nanoseconds that need not be whole into a duration.
func rounded(nanoseconds float64) time.Duration {
	return time.Duration(math.Round(nanoseconds))
}

// Places is how many requests an engine runs at a time.
func (e *Engine) Capacity() int { return slotsOf(e) }

// Room reports whether an engine may get another request now, besides some that it is
// about to get.
func (e *Engine) Room(more int) bool {
	return !e.Avoided && !e.Declining && e.InFlight+e.OthersInFlight+more < slotsOf(e)
}

// Holds reports whether an engine's weights are new enough for an item, as far as is known.
func (e *Engine) Holds(item *Item) bool {
	version, known := e.Versions[item.Model]
	return !known || version >= item.MinVersion
}
