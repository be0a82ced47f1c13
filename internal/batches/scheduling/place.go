package scheduling

import (
	"cmp"
	"slices"
)

// What is added to an engine's score, which is the expected time between events as a ratio of
// the usual one: 1 is a usual engine with nothing else to do.
const (
	// sharedPromptBonus is taken off for the engine that read the group's shared prompt:
	// reading it again takes about as long as a part of an event.
	sharedPromptBonus = 0.02
	// otherZonePenalty is for an engine in another zone, as bytes between zones cost: as
	// much as for a short text under way.
	otherZonePenalty = 0.008
	// noConnPenalty is for an engine without an idle connection, where a text can wait:
	// making one takes the engine's time.
	noConnPenalty = 0.3
	// overduePenalty is for an engine where a first event is overdue: as if it took twice
	// as long, so that it gets more only where all the others are no better.
	overduePenalty = 1
)

// engineFilter is which engines a text may go to.
type engineFilter int

const (
	// anyEngine: all that can run it.
	anyEngine engineFilter = iota
	// slowEngine: all but the fast ones.
	slowEngine
	// slowEngineConnected: likewise, and rather one with an idle connection.
	slowEngineConnected
)

// waitingItems returns the waiting items in the waitingItems in which they are placed.
func (p *planner) waitingItems() []int {
	var waiting []int
	for i := range p.Items {
		if p.Items[i].Engine == "" {
			waiting = append(waiting, i)
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int { return compareWaiting(&p.Items[a], &p.Items[b]) })
	return waiting
}

// compareWaiting orders waiting items: by rank, age of the batch, those that are required, and
// then the longest first, as they decide when the last group is whole.
func compareWaiting(a, b *Item) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.BatchAdoptedAt.Compare(b.BatchAdoptedAt),
		compareRequired(a, b),
		cmp.Compare(b.RemainingEvents, a.RemainingEvents),
	)
}

// compareRequired puts an item that is required before one that is not.
func compareRequired(a, b *Item) int {
	switch {
	case a.Required == b.Required:
		return 0
	case a.Required:
		return -1
	default:
		return 1
	}
}

// selectEngine returns the engine that should run an item, or -1 if it waits for room. Texts that
// need no fast engine go to one only if no other has room, and short ones only while the
// fast ones have room besides for the texts that need them.
func (p *planner) selectEngine(it *Item) int {
	choice := p.filterFor(it)
	engine := p.bestEngine(it, choice)
	if engine >= 0 || choice == anyEngine {
		return engine
	}
	if it.MaxRemainingEvents > 0 && p.tier(it).isReserved(p) {
		return -1
	}
	return p.bestEngine(it, anyEngine)
}

// filterFor returns to which engines an item should go.
func (p *planner) filterFor(it *Item) engineFilter {
	switch {
	case p.isShort(it):
		return slowEngineConnected
	case len(p.tier(it).fastEngines) == 0 || p.needsFastEngine(it):
		return anyEngine
	default:
		return slowEngine
	}
}

// bestEngine returns the best of the engines that pass the filter, or -1: the one with the least
// score, of equal ones the preferred, but the engine that has the prompt of the item's
// group unless it is clearly worse.
func (p *planner) bestEngine(it *Item, choice engineFilter) int {
	best := p.pool(it, choice).best()
	if best < 0 || it.GroupEngine == "" || it.GroupEngine == p.Engines[best].ID {
		return best
	}
	near, ok := p.byID[it.GroupEngine]
	if !ok || near == best || !p.matches(near, it, choice) {
		return best
	}
	if p.score(near, choice)-sharedPromptBonus < p.score(best, choice) {
		return near
	}
	return best
}

// matches is the filter: it reports whether an engine has room for an item, weights that
// are new enough, and is one of those chosen for it.
func (p *planner) matches(engine int, it *Item, choice engineFilter) bool {
	return p.canRun(engine, it) && (choice == anyEngine || !p.tier(it).isFast[engine])
}

// score is lower for a better engine.
func (p *planner) score(engine int, choice engineFilter) float64 {
	e := &p.engines[engine]
	score := e.relativeEventTime()
	if e.Zone != p.Zone {
		score += otherZonePenalty
	}
	if e.overdue {
		score += overduePenalty
	}
	if choice == slowEngineConnected && e.idleConns == 0 {
		score += noConnPenalty
	}
	return score
}
