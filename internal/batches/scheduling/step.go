package scheduling

import "time"

const (
	// maxDeferralAge is how old a batch may be while a text of it is deferred: what a wrong
	// forecast of the step's end may cost, in steps that take seconds.
	maxDeferralAge = 2 * time.Second
	// shortItemsFraction is the part of the time to a step's end in which its short texts are
	// to be made: the rest is the margin for texts that outgrow their forecasts.
	shortItemsFraction = 0.5
	// latestStartFraction is the part of the time to a step's end that a text may take at most
	// for its start to be deferred.
	latestStartFraction = 0.6
)

// stepKey names the items of one batch and class.
type stepKey struct {
	class
	adoptedAt time.Time
}

// step sums up the items of one batch and class.
type step struct {
	// timeToEnd is in how long its longest text could be whole at the best engine, in
	// nanoseconds.
	timeToEnd float64
	// shortRunning is how many of its short texts are under way, shortWork the time that
	// these and those that wait take at an ordinary engine, in nanoseconds.
	shortRunning int
	shortWork    float64
}

func (p *planner) step(it *Item) *step {
	return p.steps.get(stepKey{class: classOf(it), adoptedAt: it.BatchAdoptedAt}, func() *step { return &step{} })
}

// forecastSteps forecasts when each step could end, which texts are long enough to need a fast
// engine, and how much work the short ones are.
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

// countItem adds an item to what its step and its tier have.
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

// isShort reports whether a text surely ends before its step, at any engine.
func (p *planner) isShort(it *Item) bool {
	ordinary := p.tier(it).slowEventTime
	return it.MaxRemainingEvents > 0 && !it.Required && ordinary > 0 && it.MaxRemainingEvents*ordinary <= p.step(it).timeToEnd
}

// canDefer reports whether a text need not start yet: so many others of its step are under
// way that all are whole long before the step can end. Those that wait then take the
// connections, and the slots, of those that end.
func (p *planner) canDefer(it *Item) bool {
	if it.BatchAge >= maxDeferralAge || !p.isShort(it) {
		return false
	}
	step := p.step(it)
	if it.MaxRemainingEvents*p.tier(it).slowEventTime > latestStartFraction*step.timeToEnd {
		return false
	}
	return float64(step.shortRunning)*shortItemsFraction*step.timeToEnd >= step.shortWork
}

func (p *planner) countStart(it *Item) {
	if p.isShort(it) {
		p.step(it).shortRunning++
	}
	if p.needsFastEngine(it) {
		p.tier(it).fastDemand--
	}
}

// countMove counts a text that goes on at another engine than before.
func (p *planner) countMove(it *Item, from int) {
	if tier := p.tier(it); !tier.isFast[from] && p.needsFastEngine(it) {
		tier.fastDemand = max(tier.fastDemand-1, 0)
	}
}
