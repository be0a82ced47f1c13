package scheduling

import (
	"slices"
	"sort"
	"time"
)

const (
	// leastRun is how long an item runs at an engine before it may be moved: its
	// pace there must have shown.
	minRunTime = 500 * time.Millisecond
	// moveCost is what a move takes: a connection, and the reading of the prompt
	// and of the text so far at the other engine (10,000 tokens take 30 ms).
	moveCost = 60 * time.Millisecond
	// leastGain is by how much sooner an item must end for a move.
	minGain = 150 * time.Millisecond
	// clearlyFaster is how much of the time at its engine an item may take at
	// another one for a move: paces are known to within a few hundredths.
	maxMoveRatio = 0.92
	// silentMoves is how many items leave an engine at a time because their first event is
	// overdue. There are some looks a second, so that a dark engine is left by all within
	// the time in which one that changes its weights loses a few.
	maxOverdueMoves = 2
	// decisive is the part of the time in which its step could end that an item may still
	// take and stay where it is: forecasts are off by that much, and a move costs a connection.
	decisivePart = 0.6
)

// candidate is a running item with the engine that it runs at.
type candidate struct {
	item, engine int
	// time is how long it should still take there.
	time float64
}

// moves returns the running items whose step ends sooner if they go on at another engine
// with room: those that would end after its longest text could. The cost counts as lost,
// so that an item is not moved to and fro. Of the items of which the first event is
// overdue a few at a time leave an engine, as it may only be changing its weights.
func (p *planner) moves() []Decision {
	if p.NoMoves {
		return nil
	}
	var decisions []Decision
	for _, each := range p.movable() {
		item := &p.Items[each.item]
		if !p.decides(item, each.time) {
			continue
		}
		target := p.target(item, each.engine)
		if target < 0 {
			continue
		}
		there := item.Remaining * p.eventTime(target)
		gain := rounded(each.time-there) - moveCost
		switch {
		case item.Overdue > 0:
			// Where it is it may get nothing until it is given up.
			gain = max(MaxFirstEvent-item.RunFor, minGain)
		case !worthMoving(each.time, there):
			continue
		}
		p.take(target, item)
		p.left(item, each.engine)
		decisions = append(decisions, Move{Item: each.item, Engine: target, Gain: gain})
	}
	return decisions
}

// movable returns the items that may be moved, in the order in which they are
// worth it: those that must be whole, then those that take longest.
func (p *planner) movable() []candidate {
	var found []candidate
	for i := range p.Items {
		item := &p.Items[i]
		engine, known := p.byID[item.Engine]
		if !known || item.Pinned {
			continue
		}
		time := item.Remaining * float64(p.Engines[engine].EventTime)
		if item.Overdue == 0 && (item.RunFor < minRunTime || p.Engines[engine].EventTime == 0) {
			continue
		}
		found = append(found, candidate{item: i, engine: engine, time: time})
	}
	sort.SliceStable(found, func(a, b int) bool {
		first, second := &p.Items[found[a].item], &p.Items[found[b].item]
		if first.Required != second.Required {
			return first.Required
		}
		return found[a].time > found[b].time
	})
	leaving := make([]int, len(p.Engines))
	return slices.DeleteFunc(found, func(each candidate) bool {
		if p.Items[each.item].Overdue == 0 {
			return false
		}
		leaving[each.engine]++
		return leaving[each.engine] > maxOverdueMoves
	})
}

// worthMoving reports whether an item that takes so long at its engine, and there at
// another, in nanoseconds, should go on there.
func worthMoving(here, there float64) bool {
	return rounded(here-there)-moveCost >= minGain && there <= maxMoveRatio*here
}

// decides reports whether an item that takes some time more at its engine ends after its
// step could.
func (p *planner) decides(item *Item, time float64) bool {
	return item.Overdue > 0 || time > decisivePart*p.step(item).end
}

// target returns the engine that an item should go on at, or -1.
func (p *planner) target(item *Item, at int) int {
	top := p.pool(item, anyEngine).top()
	if top != at {
		return top
	}
	if item.Overdue == 0 {
		return -1
	}
	best := -1
	for i := range p.Engines {
		if i != at && p.canRun(i, item) && (best < 0 || p.score(i) < p.score(best)) {
			best = i
		}
	}
	return best
}
