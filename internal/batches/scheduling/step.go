package scheduling

import "time"

const (
	// MaxDeferralAge is the batch age from which items are no longer deferred. It bounds the
	// delay caused by a wrong estimate of the step's end.
	MaxDeferralAge = 2 * time.Second
	// shortItemsFraction is the fraction of the time to a step's end in which the step's short
	// items should finish. The rest is a margin for items that exceed their estimates.
	shortItemsFraction = 0.5
	// latestStartFraction bounds the run time of a deferred item at a slow engine, as a fraction
	// of the time to its step's end.
	latestStartFraction = 0.6
)

// stepKey identifies a step: the items of one class in the batch that was adopted at adoptedAt.
type stepKey struct {
	class
	adoptedAt time.Time
}

// step aggregates the items of one batch and class.
type step struct {
	// timeToEnd is the time, in nanoseconds, that the step's longest item would still take at the
	// best engine.
	timeToEnd float64
	// shortRunning is the number of running short items. shortWork is the total time that all
	// unfinished short items take at a slow engine, in nanoseconds.
	shortRunning int
	shortWork    float64
}

// step returns the step of an item, and creates it if needed.
func (p *planner) step(it *Item) *step {
	return p.steps.get(stepKey{class: classOf(it), adoptedAt: it.BatchAdoptedAt}, func() *step { return &step{} })
}

// forecastSteps estimates when each step could end, how many remaining events make an item need a
// fast engine, and how much work the short items are.
func (p *planner) forecastSteps() {
	remaining := map[*engineTiers][]float64{}
	for i := range p.Items {
		it := &p.Items[i]
		step, tier := p.step(it), p.tier(it)
		step.timeToEnd = max(step.timeToEnd, it.RemainingEvents*tier.bestEventTime)
		remaining[tier] = append(remaining[tier], it.RemainingEvents)
	}
	for tier, values := range remaining {
		tier.minFastEvents = nthLargest(values, tier.fastSlots(p))
	}
	for i := range p.Items {
		p.countItem(&p.Items[i])
	}
}

// countItem adds an item to the counts of its step and of its class's engine tiers.
func (p *planner) countItem(it *Item) {
	step, tier := p.step(it), p.tier(it)
	engine, runs := p.byID[it.Engine]
	if p.isShort(it) {
		step.shortWork += it.RemainingEvents * tier.slowEventTime
		if runs {
			step.shortRunning++
		}
	}
	if p.needsFastEngine(it) && (!runs || !tier.isFast[engine]) {
		tier.fastDemand++
	}
}

// isShort reports whether an item almost certainly finishes before the end of its step, even at a
// slow engine. Required items, and those without MaxRemainingEvents, are never short.
func (p *planner) isShort(it *Item) bool {
	eventTime := p.tier(it).slowEventTime
	return it.MaxRemainingEvents > 0 && !it.Required && eventTime > 0 &&
		it.MaxRemainingEvents*eventTime <= p.step(it).timeToEnd
}

// canDefer reports whether the start of an item may be deferred: its batch is younger than
// MaxDeferralAge, the item is short enough to finish in time after a later start
// (latestStartFraction), and enough short items of its step are running to finish all short ones
// well before the step's end. A deferred item later reuses the connection and the slot of a
// finished one.
func (p *planner) canDefer(it *Item) bool {
	if it.BatchAge >= MaxDeferralAge || !p.isShort(it) {
		return false
	}
	step := p.step(it)
	if it.MaxRemainingEvents*p.tier(it).slowEventTime > latestStartFraction*step.timeToEnd {
		return false
	}
	return float64(step.shortRunning)*shortItemsFraction*step.timeToEnd >= step.shortWork
}

// countStart updates the counts for a waiting item that was started.
func (p *planner) countStart(it *Item) {
	if p.isShort(it) {
		p.step(it).shortRunning++
	}
	if p.needsFastEngine(it) {
		p.tier(it).fastDemand--
	}
}

// countMove updates the counts for an item that was moved away from an engine.
func (p *planner) countMove(it *Item, from int) {
	if tier := p.tier(it); !tier.isFast[from] && p.needsFastEngine(it) {
		tier.fastDemand = max(tier.fastDemand-1, 0)
	}
}
