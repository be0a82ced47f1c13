package scheduling

import "slices"

// fastRatio is how long an engine may take for an event, by the upper quartile of the
// engines, to be one that long texts need: less than that is what load and noise make of
// equal engines.
const fastRatio = 0.75

// engineTiers are the engines that can run the items of one class, by how fast they are.
type engineTiers struct {
	// isFast engines are kept for texts that need them; fastest are their indices.
	isFast      []bool
	fastEngines []int
	// bestEventTime is the time between two events at the best engine, slowEventTime at the
	// others, in nanoseconds; 0 if too few event times are known.
	bestEventTime, slowEventTime float64
	// minFastEvents is what a text must have before it at least to need a fast engine: as
	// many have that much as the fast engines have slots.
	minFastEvents float64
	// fastDemand is how many texts need a fast engine and are not at one.
	fastDemand int
}

// tier returns the engines of an item's class by how fast they are.
func (p *planner) tier(it *Item) *engineTiers {
	return p.tiers.get(classOf(it), func() *engineTiers { return p.newTiers(it) })
}

// newTiers compares the engines of a class. Unless the event times of half of them are
// known, none counts as fast.
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

// isReserved reports whether the fast engines have room only for texts that need it.
func (t *engineTiers) isReserved(p *planner) bool {
	room := 0
	for _, i := range t.fastEngines {
		if p.engines[i].hasRoom() {
			room += p.engines[i].Capacity() - p.engines[i].inFlight
		}
	}
	return room <= t.fastDemand
}

// fastSlots is how many requests of this owner the fast engines take.
func (t *engineTiers) fastSlots(p *planner) int {
	slots := 0
	for _, i := range t.fastEngines {
		slots += max(p.Engines[i].Capacity()-p.Engines[i].OthersInFlight, 0)
	}
	return slots
}

// needsFastEngine reports whether a text is one of the longest, for which the fast engines are,
// and would go to one that has room.
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

// nthLargest returns the n-th largest value, the largest one for an n below 1, and 0 if there are
// no more values than n. It sorts the values.
func nthLargest(values []float64, n int) float64 {
	if n >= len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-1-max(n-1, 0)]
}
