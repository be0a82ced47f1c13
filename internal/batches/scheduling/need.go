package scheduling

import (
	"slices"
	"time"
)

// clearlyFast is how long an engine may take for an event, by those of the slower half
// of the engines, to be one that long texts need: less than that is what load and
// noise make of equal engines.
const fastRatio = 0.75

// tiers are the engines that may run the items of one class, by how fast they are.
type tiers struct {
	class
	// fast engines are kept for texts that need them; fastest are their indices.
	fast    []bool
	fastest []int
	// best is the time between two events at the best engine, ordinary at the others, in
	// nanoseconds; 0 if too few paces are known.
	bestTime, ordinaryTime float64
	// least is what a text must have before it at least to need a fast engine: as many
	// have that much as the fast engines have slots.
	minRemaining float64
	// needed is how many texts need a fast engine and are not at one.
	wanted int
}

// tier returns the engines of an item's class by how fast they are.
func (p *planner) tier(item *Item) *tiers {
	key := classOf(item)
	if p.lastTier != nil && p.lastTier.class == key {
		return p.lastTier
	}
	known := p.tiers[key]
	if known == nil {
		known = p.newTiers(key, item)
		p.tiers[key] = known
	}
	p.lastTier = known
	return known
}

func (p *planner) newTiers(key class, item *Item) *tiers {
	t := &tiers{class: key, fast: make([]bool, len(p.Engines))}
	var paces []float64
	usable := 0
	for i := range p.Engines {
		if !p.holds(i, item) || p.Engines[i].Avoided {
			continue
		}
		usable++
		if p.Engines[i].EventTime > 0 {
			paces = append(paces, p.eventTime(i))
		}
	}
	if len(paces) == 0 || 2*len(paces) < usable {
		return t
	}
	slices.Sort(paces)
	t.bestTime = paces[0]
	upper := paces[len(paces)*3/4]
	for i := range p.Engines {
		t.fast[i] = p.holds(i, item) && p.Engines[i].EventTime > 0 && p.eventTime(i) < fastRatio*upper
		if t.fast[i] {
			t.fastest = append(t.fastest, i)
		}
	}
	t.ordinaryTime = upper
	return t
}

// kept reports whether the fast engines have room only for texts that need it.
func (t *tiers) kept(p *planner) bool {
	room := 0
	for _, i := range t.fastest {
		if p.hasRoom(i) {
			room += slotsOf(&p.Engines[i]) - p.inFlight[i]
		}
	}
	return room <= t.wanted
}

// stepKey names the items of one batch and class.
type stepKey struct {
	class
	since time.Time
}

// step is what the items of one batch come to.
type step struct {
	stepKey
	// end is in how long its longest text could be whole at the best engine, in
	// nanoseconds.
	end float64
	// running is how many of its short texts are under way, work the time that these and
	// those that wait take at an ordinary engine, in nanoseconds.
	shortRunning int
	shortWork    float64
}

func (p *planner) step(item *Item) *step {
	key := stepKey{class: classOf(item), since: item.BatchSince}
	if p.lastStep != nil && p.lastStep.stepKey == key {
		return p.lastStep
	}
	known := p.steps[key]
	if known == nil {
		known = &step{stepKey: key}
		p.steps[key] = known
	}
	p.lastStep = known
	return known
}

// foresee works out when each step could end, which of its texts decide that, and what
// the others come to.
func (p *planner) foresee() {
	remaining := map[*tiers][]float64{}
	for i := range p.Items {
		item := &p.Items[i]
		step, tier := p.step(item), p.tier(item)
		step.end = max(step.end, item.Remaining*tier.bestTime)
		remaining[tier] = append(remaining[tier], item.Remaining)
	}
	for tier, each := range remaining {
		tier.minRemaining = leastOf(each, tier.slots(p))
	}
	for i := range p.Items {
		item := &p.Items[i]
		step, tier := p.step(item), p.tier(item)
		engine, runs := p.byID[item.Engine]
		if p.short(item) {
			step.shortWork += item.Remaining * tier.ordinaryTime
			if runs {
				step.shortRunning++
			}
		}
		if p.needs(item) && (!runs || !tier.fast[engine]) {
			tier.wanted++
		}
	}
}

// needs reports whether a text is one of the longest, for which the fast engines are, and
// would go to one that has room.
func (p *planner) needs(item *Item) bool {
	tier := p.tier(item)
	if p.short(item) || item.Remaining < tier.minRemaining {
		return false
	}
	engine, runs := p.byID[item.Engine]
	if !runs || tier.fast[engine] {
		return true
	}
	time := item.Remaining * float64(p.Engines[engine].EventTime)
	return !item.Pinned && p.decides(item, time) && worthMoving(time, item.Remaining*tier.bestTime)
}

// slots is how many requests of this owner the fast engines take.
func (t *tiers) slots(p *planner) int {
	slots := 0
	for _, i := range t.fastest {
		slots += max(slotsOf(&p.Engines[i])-p.Engines[i].OthersInFlight, 0)
	}
	return slots
}

// leastOf returns the smallest of the largest values, as many as are named.
func leastOf(values []float64, count int) float64 {
	if count >= len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-1-max(count-1, 0)]
}

// short reports whether a text surely ends before its step, at any engine.
func (p *planner) short(item *Item) bool {
	tier := p.tier(item)
	return item.MaxRemaining > 0 && !item.Required && tier.ordinaryTime > 0 && item.MaxRemaining*tier.ordinaryTime <= p.step(item).end
}

// begun counts a text that was started, left one that goes on at another engine.
func (p *planner) begun(item *Item) {
	if p.short(item) {
		p.step(item).shortRunning++
	}
	if p.needs(item) {
		p.tier(item).wanted--
	}
}

func (p *planner) left(item *Item, from int) {
	if tier := p.tier(item); !tier.fast[from] && p.needs(item) {
		tier.wanted = max(tier.wanted-1, 0)
	}
}
