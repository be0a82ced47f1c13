package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRunTime is how long an item runs at an engine before it may be moved, so that the
	// engine's event time is known.
	minRunTime = 500 * time.Millisecond
	// moveCost is the time that a move takes: connecting, and prefill of the prompt and of the
	// output so far at the other engine.
	moveCost = 60 * time.Millisecond
	// minMoveGain is the least time that a move must save.
	minMoveGain = 150 * time.Millisecond
	// maxMoveRatio is the maximum ratio of an item's remaining time at the target engine to its
	// remaining time at the present engine. It excludes gains that are within the error of
	// measured event times.
	maxMoveRatio = 0.92
	// maxOverdueMoves limits, per planning round and engine, the moves of items whose first
	// event is overdue. Rounds are frequent enough to empty an unresponsive engine, while an
	// engine that is only loading weights loses few items.
	maxOverdueMoves = 2
	// stepDelayFraction is the fraction of the time to a step's end above which the remaining time
	// of an item counts as delaying the step. The margin allows for estimation errors.
	stepDelayFraction = 0.6
)

// candidate is a running item that may be moved. item and engine are the indices of the item and
// of its present engine in the snapshot.
type candidate struct {
	item, engine int
	// timeLeft is the expected remaining time at the present engine, in nanoseconds.
	timeLeft float64
}

// planMoves returns the moves of running items that delay their step and would finish sooner at an
// engine with room, and of items whose first event is overdue. The cost of a move is subtracted
// from its gain, so that items are not moved back and forth.
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
		targetTime := it.RemainingEvents * p.eventTime(target)
		gain := toDuration(c.timeLeft-targetTime) - moveCost
		switch {
		case it.Overdue > 0:
			// The present engine may produce nothing until the attempt times out.
			gain = max(MaxFirstEventTimeout-it.RunTime, minMoveGain)
		case !worthMoving(c.timeLeft, targetTime):
			continue
		}
		p.reserve(target, it)
		p.countMove(it, c.engine)
		decisions = append(decisions, Move{Item: c.item, Engine: target, Gain: gain})
	}
	return decisions
}

// candidates returns the items that may be moved: required ones first, then by descending
// remaining time. At most maxOverdueMoves overdue items leave an engine in one round, as the
// engine may only be loading new weights.
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
		candidates = append(candidates, candidate{
			item: i, engine: engine, timeLeft: it.RemainingEvents * float64(eventTime)})
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

// compareCandidates orders required items first, then items by descending remaining time.
func (p *planner) compareCandidates(a, b candidate) int {
	return cmp.Or(compareRequired(&p.Items[a.item], &p.Items[b.item]), cmp.Compare(b.timeLeft, a.timeLeft))
}

// worthMoving reports whether an item should move, given its remaining times in nanoseconds at
// its present engine and at the target.
func worthMoving(present, target float64) bool {
	return toDuration(present-target)-moveCost >= minMoveGain && target <= maxMoveRatio*present
}

// delaysStep reports whether an item delays its step: its remaining time, in nanoseconds, exceeds
// stepDelayFraction of the time to the step's end, or its first event is overdue.
func (p *planner) delaysStep(it *Item, timeLeft float64) bool {
	return it.Overdue > 0 || timeLeft > stepDelayFraction*p.step(it).timeToEnd
}

// moveTarget returns the index of the best engine for an item that runs at engine from, or -1 if
// from is the best or no engine has room. For an overdue item, from is left out of the choice.
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

// toDuration rounds nanoseconds to a duration.
func toDuration(nanoseconds float64) time.Duration {
	return time.Duration(math.Round(nanoseconds))
}
