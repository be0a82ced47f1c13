package scheduling

import "slices"

// fastRatio bounds the event time of a fast engine relative to the upper quartile of all.
// Smaller differences arise from load and noise between equal engines.
const fastRatio = 0.75

// engineTiers divides the engines that can run the items of one class into fast and slow ones.
type engineTiers struct {
	// isFast reports by index which engines are fast; fastEngines lists their indices. Fast
	// engines are kept free for the items that need them.
	isFast      []bool
	fastEngines []int
	// bestEventTime is the event time of the best engine and slowEventTime the upper quartile
	// of all, in nanoseconds; 0 if too few event times are known.
	bestEventTime, slowEventTime float64
	// minFastEvents is the number of remaining events from which an item needs a fast engine. It
	// is chosen so that about as many items reach minFastEvents as the fast engines have slots.
	minFastEvents float64
	// fastDemand is the number of items that need a fast engine and are not at one.
	fastDemand int
}

// tier returns the tiers of engines for an item's class.
func (p *planner) tier(it *Item) *engineTiers {
	return p.tiers.get(classOf(it), func() *engineTiers { return p.newTiers(it) })
}

// newTiers divides the engines that can run the items of an item's class into fast and slow ones.
// No engine counts as fast unless the event times of at least half of the engines are known.
func (p *planner) newTiers(it *Item) *engineTiers {
	t := &engineTiers{isFast: make([]bool, len(p.Engines))}
	var times []float64
	usable := 0
	for i := range p.Engines {
		if !p.Engines[i].HasWeightsFor(it) || p.Engines[i].Avoided {
			continue
		}
		usable++
		if p.Engines[i].EventTime > 0 {
			times = append(times, p.eventTime(i))
		}
	}
	if len(times) == 0 || 2*len(times) < usable {
		return t
	}
	slices.Sort(times)
	t.bestEventTime, t.slowEventTime = times[0], times[len(times)*3/4]
	for i := range p.Engines {
		if p.Engines[i].HasWeightsFor(it) && p.Engines[i].EventTime > 0 && p.eventTime(i) < fastRatio*t.slowEventTime {
			t.isFast[i] = true
			t.fastEngines = append(t.fastEngines, i)
		}
	}
	return t
}

// isReserved reports whether the items that need a fast engine would take all the room that the
// fast engines have.
func (t *engineTiers) isReserved(p *planner) bool {
	room := 0
	for _, i := range t.fastEngines {
		if p.engines[i].hasRoom() {
			room += p.engines[i].Capacity() - p.engines[i].inFlight
		}
	}
	return room <= t.fastDemand
}

// fastSlots returns the number of slots of the fast engines that other owners leave.
func (t *engineTiers) fastSlots(p *planner) int {
	slots := 0
	for _, i := range t.fastEngines {
		slots += max(p.Engines[i].Capacity()-p.Engines[i].OthersInFlight, 0)
	}
	return slots
}

// needsFastEngine reports whether an item is one of the longest, for which fast engines are kept
// free, and would be started at a fast engine or moved to one if a fast engine had room.
func (p *planner) needsFastEngine(it *Item) bool {
	tier := p.tier(it)
	if p.isShort(it) || it.RemainingEvents < tier.minFastEvents {
		return false
	}
	engine, runs := p.byID[it.Engine]
	if !runs || tier.isFast[engine] {
		return true
	}
	here := it.RemainingEvents * float64(p.Engines[engine].EventTime)
	return !it.Pinned && p.delaysStep(it, here) && worthMoving(here, it.RemainingEvents*tier.bestEventTime)
}

// nthLargest returns the n-th largest value, the largest one if n is below 1, and 0 if there
// are no more than n values. It sorts the values.
func nthLargest(values []float64, n int) float64 {
	if n >= len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-1-max(n-1, 0)]
}
