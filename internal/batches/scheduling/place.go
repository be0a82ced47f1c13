package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// Adjustments of an engine's score. The score is the expected event time of one more request at
// the engine relative to the median event time, so a median engine without load scores 1.
const (
	// sharedPromptBonus lowers the score of the engine that last processed the shared prompt
	// of the item's group, as processing it elsewhere takes time.
	sharedPromptBonus = 0.02
	// otherZonePenalty reflects the cost of traffic between zones, about as much as the load
	// of one short item.
	otherZonePenalty = 0.008
	// noConnPenalty applies to an engine without an idle connection if the item can wait for one,
	// since opening a connection takes time of the engine.
	noConnPenalty = 0.3
	// overduePenalty applies to an engine with an overdue first event, so that it gets new
	// items only if no other engine has a better score.
	overduePenalty = 1
)

// maxReservedWait is the wait from which an item is no longer kept from fast engines: the items that need
// these may never come to them.
const maxReservedWait = 2 * time.Second

// engineFilter restricts the engines that an item may go to.
type engineFilter int

const (
	// anyEngine admits every engine that can run the item.
	anyEngine engineFilter = iota
	// slowEngine admits all but the fast engines.
	slowEngine
	// slowEngineConnected admits the same engines as slowEngine and prefers those with an idle
	// connection.
	slowEngineConnected
)

// waitingItems returns the indices of the waiting items in the order in which they are placed.
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

// compareWaiting orders waiting items by priority, then by age of the batch, oldest first. Within
// a batch, required items come first, and then items with more remaining events, as the longest
// items determine when the last group is complete.
func compareWaiting(a, b *Item) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.BatchAdoptedAt.Compare(b.BatchAdoptedAt),
		compareRequired(a, b),
		cmp.Compare(b.RemainingEvents, a.RemainingEvents),
	)
}

// compareRequired orders required items first.
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

// selectEngine returns the index of the engine that should run an item, or -1 if the item has to
// wait. An item that does not need a fast engine gets one only if no other engine has room. If the
// items that need a fast engine would take all room of the fast engines, an item that does not
// need one waits instead, provided that it may be deferred, and for maxReservedWait at most.
func (p *planner) selectEngine(it *Item) int {
	filter := p.filterFor(it)
	engine := p.bestEngine(it, filter)
	if engine >= 0 || filter == anyEngine {
		return engine
	}
	if it.MaxRemainingEvents > 0 && it.Waited < maxReservedWait && p.tier(it).isReserved(p) {
		return -1
	}
	return p.bestEngine(it, anyEngine)
}

// filterFor returns the filter of the engines that an item tries first.
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

// bestEngine returns the index of the engine with the lowest score among those that match, or -1
// if none does. Of engines with equal scores, the one with the higher Preference is returned. The
// engine that last processed the prompt of the item's group is preferred unless its score is worse
// by at least sharedPromptBonus.
func (p *planner) bestEngine(it *Item, filter engineFilter) int {
	best := p.pool(it, filter).best()
	if best < 0 || it.GroupEngine == "" || it.GroupEngine == p.Engines[best].ID {
		return best
	}
	groupEngine, ok := p.byID[it.GroupEngine]
	if !ok || groupEngine == best || !p.matches(groupEngine, it, filter) {
		return best
	}
	if p.score(groupEngine, filter)-sharedPromptBonus < p.score(best, filter) {
		return groupEngine
	}
	return best
}

// matches reports whether an engine has room and recent enough weights for an item, and is
// admitted by the filter.
func (p *planner) matches(engine int, it *Item, filter engineFilter) bool {
	return p.canRun(engine, it) && (filter == anyEngine || !p.tier(it).isFast[engine])
}

// score returns the score of an engine under the filter; lower is better.
func (p *planner) score(engine int, filter engineFilter) float64 {
	e := &p.engines[engine]
	score := e.relativeEventTime()
	if e.Zone != p.Zone {
		score += otherZonePenalty
	}
	if e.overdue {
		score += overduePenalty
	}
	if filter == slowEngineConnected && e.idleConns == 0 {
		score += noConnPenalty
	}
	return score
}
