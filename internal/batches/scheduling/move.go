package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRunTime is how long an item runs at an engine before it may be moved: its event
	// time there must have shown.
	minRunTime = 500 * time.Millisecond
	// moveCost is the time a move takes: a connection, and the reading of the prompt and of the
	// text so far at the other engine.
	moveCost = 60 * time.Millisecond
	// minMoveGain is by how much sooner an item must end for a move.
	minMoveGain = 150 * time.Millisecond
	// maxMoveRatio is how much of the time at its engine an item may take at another one
	// for a move: event times are known to within a few hundredths.
	maxMoveRatio = 0.92
	// maxOverdueMoves is how many items leave an engine in one round because their first
	// event is overdue. There are some rounds a second, so that a dark engine is left by all
	// within the time in which one that changes its weights loses a few.
	maxOverdueMoves = 2
	// stepDelayFraction is the part of the time in which its step could end that an item may
	// still take and stay where it is: forecasts are off by that much, and a move costs a
	// connection.
	stepDelayFraction = 0.6
)

// candidate is a running item that may be moved, with the engine that it runs at.
type candidate struct {
	item, engine int
	// timeLeft is how long it should still take there, in nanoseconds.
	timeLeft float64
}

// planMoves returns the running items whose step ends sooner if they go on at another engine
// with room: those that would end after its longest text could. The cost counts as lost,
// so that an item is not moved back and forth.
func (p *planner) planMoves() []Decision {
	if p.NoMoves {
		return nil
	}
	var decisions []Decision
	for _, c := range p.candidates() {
		it := &p.Items[c.item]
		if !p.delaysStep(it, c.timeLeft) {
			continue
		}
		target := p.moveTarget(it, c.engine)
		if target < 0 {
			continue
		}
		there := it.RemainingEvents * p.eventTime(target)
		gain := toDuration(c.timeLeft-there) - moveCost
		switch {
		case it.Overdue > 0:
			// Where it is it may get nothing until it is given up.
			gain = max(MaxFirstEventTimeout-it.RunTime, minMoveGain)
		case !worthMoving(c.timeLeft, there):
			continue
		}
		p.reserve(target, it)
		p.countMove(it, c.engine)
		decisions = append(decisions, Move{Item: c.item, Engine: target, Gain: gain})
	}
	return decisions
}

// candidates returns the items that may be moved, in the order in which they are worth it:
// those that are required, then those that take longest. Of those whose first event is
// overdue a few leave an engine, as it may only be changing its weights.
func (p *planner) candidates() []candidate {
	var candidates []candidate
	for i := range p.Items {
		it := &p.Items[i]
		engine, ok := p.byID[it.Engine]
		if !ok || it.Pinned {
			continue
		}
		eventTime := p.Engines[engine].EventTime
		if it.Overdue == 0 && (it.RunTime < minRunTime || eventTime == 0) {
			continue
		}
		candidates = append(candidates, candidate{item: i, engine: engine, timeLeft: it.RemainingEvents * float64(eventTime)})
	}
	slices.SortStableFunc(candidates, p.compareCandidates)
	leaving := make([]int, len(p.Engines))
	return slices.DeleteFunc(candidates, func(c candidate) bool {
		if p.Items[c.item].Overdue == 0 {
			return false
		}
		leaving[c.engine]++
		return leaving[c.engine] > maxOverdueMoves
	})
}

func (p *planner) compareCandidates(a, b candidate) int {
	return cmp.Or(compareRequired(&p.Items[a.item], &p.Items[b.item]), cmp.Compare(b.timeLeft, a.timeLeft))
}

// worthMoving reports whether an item that takes so long at its engine, and there at
// another, in nanoseconds, should go on there.
func worthMoving(here, there float64) bool {
	return toDuration(here-there)-moveCost >= minMoveGain && there <= maxMoveRatio*here
}

// delaysStep reports whether an item that takes some time more at its engine, in
// nanoseconds, ends after its step could.
func (p *planner) delaysStep(it *Item, here float64) bool {
	return it.Overdue > 0 || here > stepDelayFraction*p.step(it).timeToEnd
}

// moveTarget returns the engine that an item should go on at, or -1.
func (p *planner) moveTarget(it *Item, from int) int {
	best := p.pool(it, anyEngine).best()
	if best != from {
		return best
	}
	if it.Overdue == 0 {
		return -1
	}
	best = -1
	for i := range p.engines {
		if i != from && p.canRun(i, it) && (best < 0 || p.score(i, anyEngine) < p.score(best, anyEngine)) {
			best = i
		}
	}
	return best
}

// toDuration turns nanoseconds that need not be whole into a duration.
func toDuration(nanoseconds float64) time.Duration {
	return time.Duration(math.Round(nanoseconds))
}
