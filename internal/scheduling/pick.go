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
	// reads all that it has so far for each token: texts take 37 ms an event at an
	// engine with one and 42 ms at one with twelve, some of them long.
	crowding      = 0.005
	eventCrowding = 0.0001
	// groupBonus is taken off the score of the engine that read the group's
	// shared prompt: reading it again takes about as long as a tenth of an event.
	groupBonus = 0.02
	// otherZone is added for an engine in another zone: bytes between zones cost.
	// It is as much as a short text under way, as a long one is sooner done where
	// there is less beside it.
	otherZone = 0.008
)

// paces are the engines' paces relative to each other.
type paces struct {
	// usual is the median of the known paces, 0 if none is known.
	usual time.Duration
	// ratio is an engine's pace with nothing else under way, by the usual one.
	ratio []float64
}

func pacesOf(engines []Engine, loads []float64) paces {
	var known []time.Duration
	for _, engine := range engines {
		if engine.Pace > 0 {
			known = append(known, engine.Pace)
		}
	}
	made := paces{ratio: make([]float64, len(engines))}
	if len(known) > 0 {
		sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
		made.usual = known[(len(known)-1)/2]
	}
	for i, engine := range engines {
		made.ratio[i] = 1
		if engine.Pace > 0 {
			made.ratio[i] = float64(engine.Pace) / float64(made.usual)
		}
		made.ratio[i] /= 1 + loads[i]
	}
	return made
}

// loadOf is by how much a request slows the others, with the events of its text.
func loadOf(events float64) float64 { return crowding + eventCrowding*events }

// class is what an engine must fulfil for an item.
type class struct {
	model      string
	minVersion int64
}

// pool has the engines that may run the items of one class, the best on top. Its
// order may be out of date as room is taken: top puts it right.
type pool struct {
	class
	planner *planner
	engines []int
	scores  []float64
}

// pick returns the engine that should run an item, or -1 if none may and has room.
func (p *planner) pick(item *Item) int {
	best := p.pool(item).top()
	if best < 0 {
		return -1
	}
	// The engine that has the group's prompt is preferred unless it is clearly worse.
	if item.GroupEngine == "" || item.GroupEngine == p.Engines[best].ID {
		return best
	}
	if near, ok := p.byID[item.GroupEngine]; ok && near != best && p.mayRun(near, item) && p.score(near)-groupBonus < p.score(best) {
		return near
	}
	return best
}

func (p *planner) pool(item *Item) *pool {
	key := class{model: item.Model, minVersion: item.MinVersion}
	if p.last != nil && p.last.class == key {
		return p.last
	}
	if known := p.pools[key]; known != nil {
		p.last = known
		return known
	}
	made := &pool{planner: p, class: key}
	for i := range p.Engines {
		if p.mayRun(i, item) {
			made.engines = append(made.engines, i)
			made.scores = append(made.scores, p.score(i))
		}
	}
	heap.Init(made)
	p.pools[key] = made
	p.last = made
	return made
}

// top returns the best engine with room, or -1.
func (pool *pool) top() int {
	for len(pool.engines) > 0 {
		engine := pool.engines[0]
		if !pool.planner.hasRoom(engine) {
			heap.Pop(pool)
			continue
		}
		score := pool.planner.score(engine)
		if score == pool.scores[0] {
			return engine
		}
		pool.scores[0] = score
		heap.Fix(pool, 0)
	}
	return -1
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (pool *pool) Len() int { return len(pool.engines) }

func (pool *pool) Less(i, j int) bool {
	if pool.scores[i] != pool.scores[j] {
		return pool.scores[i] < pool.scores[j]
	}
	first, second := &pool.planner.Engines[pool.engines[i]], &pool.planner.Engines[pool.engines[j]]
	if first.Preference != second.Preference {
		return first.Preference > second.Preference
	}
	return first.ID < second.ID
}

func (pool *pool) Swap(i, j int) {
	pool.engines[i], pool.engines[j] = pool.engines[j], pool.engines[i]
	pool.scores[i], pool.scores[j] = pool.scores[j], pool.scores[i]
}

func (pool *pool) Push(any) {}

func (pool *pool) Pop() any {
	last := len(pool.engines) - 1
	pool.engines, pool.scores = pool.engines[:last], pool.scores[:last]
	return nil
}

// take counts an item that an engine gets.
func (p *planner) take(engine int, item *Item) {
	p.inFlight[engine]++
	p.loads[engine] += loadOf(item.Length())
}

// mayRun reports whether an engine may run an item now.
func (p *planner) mayRun(engine int, item *Item) bool {
	if !p.hasRoom(engine) {
		return false
	}
	version, known := p.Engines[engine].Versions[item.Model]
	return !known || version >= item.MinVersion
}

func (p *planner) hasRoom(engine int) bool {
	known := &p.Engines[engine]
	if known.Resting {
		return false
	}
	if known.Declining && p.inFlight[engine] > known.InFlight+known.Others {
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
	score := p.paces.ratio[engine] * (1 + p.loads[engine])
	if p.Engines[engine].Zone != p.Zone {
		score += otherZone
	}
	return score
}

// pace is the expected time between the events of one more request at an engine.
func (p *planner) pace(engine int) float64 {
	return p.paces.ratio[engine] * (1 + p.loads[engine]) * float64(p.paces.usual)
}

// rounded turns nanoseconds that need not be whole into a duration.
func rounded(nanoseconds float64) time.Duration {
	return time.Duration(math.Round(nanoseconds))
}

// Places is how many requests an engine runs at a time.
func (engine *Engine) Places() int { return slotsOf(engine) }

// Room reports whether an engine may get another request now, besides some that it is
// about to get.
func (engine *Engine) Room(more int) bool {
	return !engine.Resting && !engine.Declining && engine.InFlight+engine.Others+more < slotsOf(engine)
}

// Holds reports whether an engine's weights are new enough for an item, as far as is known.
func (engine *Engine) Holds(item *Item) bool {
	version, known := engine.Versions[item.Model]
	return !known || version >= item.MinVersion
}
