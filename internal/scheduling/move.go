package scheduling

import (
	"sort"
	"time"
)

const (
	// leastRun is how long an item runs at an engine before it may be moved: its
	// pace there must have shown.
	leastRun = 500 * time.Millisecond
	// moveCost is what a move takes: a connection, and the reading of the prompt
	// and of the text so far at the other engine (10,000 tokens take 30 ms).
	moveCost = 60 * time.Millisecond
	// leastGain is by how much sooner an item must end for a move.
	leastGain = 150 * time.Millisecond
	// clearlyFaster is how much of the time at its engine an item may take at
	// another one for a move: paces are known to within a few hundredths.
	clearlyFaster = 0.92
)

// candidate is a running item with the engine that it runs at.
type candidate struct {
	item, engine int
	// time is how long it should still take there.
	time float64
}

// moves returns the running items that end sooner at another engine with room. The
// cost counts as lost, so that an item is not moved to and fro.
func (p *planner) moves() []Decision {
	if p.Settled {
		return nil
	}
	var decisions []Decision
	for _, each := range p.movable() {
		item := &p.Items[each.item]
		target := p.pool(item).top()
		if target < 0 || target == each.engine {
			continue
		}
		there := item.Remaining * p.pace(target)
		gain := rounded(each.time-there) - moveCost
		if gain < leastGain || there > clearlyFaster*each.time {
			continue
		}
		p.take(target, item)
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
		if !known || item.Fixed || item.RunFor < leastRun || p.Engines[engine].Pace == 0 {
			continue
		}
		found = append(found, candidate{item: i, engine: engine, time: item.Remaining * float64(p.Engines[engine].Pace)})
	}
	sort.SliceStable(found, func(a, b int) bool {
		first, second := &p.Items[found[a].item], &p.Items[found[b].item]
		if first.Required != second.Required {
			return first.Required
		}
		return found[a].time > found[b].time
	})
	return found
}
