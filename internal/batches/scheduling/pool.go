package scheduling

import "container/heap"

// poolKey names the engines for the items of one class.
type poolKey struct {
	class
	choice engineFilter
}

// pool has the engines that passed the filter for the items of one class, the best on top.
// Its order goes out of date as room is taken; best corrects it.
type pool struct {
	planner *planner
	choice  engineFilter
	engines []int
	scores  []float64
}

func (p *planner) pool(it *Item, choice engineFilter) *pool {
	key := poolKey{class: classOf(it), choice: choice}
	return p.pools.get(key, func() *pool { return p.newPool(it, choice) })
}

func (p *planner) newPool(it *Item, choice engineFilter) *pool {
	pl := &pool{planner: p, choice: choice}
	for i := range p.engines {
		if p.matches(i, it, choice) {
			pl.engines = append(pl.engines, i)
			pl.scores = append(pl.scores, p.score(i, choice))
		}
	}
	heap.Init(pl)
	return pl
}

// best returns the best engine with room, or -1.
func (pl *pool) best() int {
	for len(pl.engines) > 0 {
		engine := pl.engines[0]
		if !pl.planner.engines[engine].hasRoom() {
			heap.Pop(pl)
			continue
		}
		score := pl.planner.score(engine, pl.choice)
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
