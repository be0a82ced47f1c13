package scheduling

import "container/heap"

// poolKey identifies the pool for the items of one class under one filter, isolated or not.
type poolKey struct {
	class
	filter   engineFilter
	isolated bool
}

// pool is a heap of the engines that match a filter for the items of one class, the best on
// top. Scores become stale as room is taken; best updates those at the top, which suffices as
// scores only increase.
type pool struct {
	planner  *planner
	filter   engineFilter
	isolated bool
	engines  []int
	scores   []float64
}

// pool returns the pool for an item's class under a filter.
func (p *planner) pool(it *Item, filter engineFilter) *pool {
	key := poolKey{class: classOf(it), filter: filter, isolated: it.Isolated}
	return p.pools.get(key, func() *pool { return p.newPool(it, filter) })
}

func (p *planner) newPool(it *Item, filter engineFilter) *pool {
	pl := &pool{planner: p, filter: filter, isolated: it.Isolated}
	for i := range p.engines {
		if p.matches(i, it, filter) {
			pl.engines = append(pl.engines, i)
			pl.scores = append(pl.scores, p.score(i, filter))
		}
	}
	heap.Init(pl)
	return pl
}

// best returns the index of the engine with the lowest score that has room, or -1 if none has. It
// removes full engines from the heap.
func (pl *pool) best() int {
	for len(pl.engines) > 0 {
		engine := pl.engines[0]
		if !pl.planner.engines[engine].hasRoomFor(pl.isolated) {
			heap.Pop(pl)
			continue
		}
		score := pl.planner.score(engine, pl.filter)
		if score == pl.scores[0] {
			return engine
		}
		pl.scores[0] = score
		heap.Fix(pl, 0)
	}
	return -1
}

// Len implements heap.Interface, as do Less, Swap, Push and Pop. Push is never used.
func (pl *pool) Len() int { return len(pl.engines) }

func (pl *pool) Less(i, j int) bool {
	if pl.scores[i] != pl.scores[j] {
		return pl.scores[i] < pl.scores[j]
	}
	a, b := &pl.planner.Engines[pl.engines[i]], &pl.planner.Engines[pl.engines[j]]
	if a.Preference != b.Preference {
		return a.Preference > b.Preference
	}
	return a.ID < b.ID
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
