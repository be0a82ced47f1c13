package scheduling

import "time"

const (
	// longestHeld is how long a batch may be here while a text of it is held back: what a
	// wrong forecast of the step's end may cost, in steps that take seconds.
	maxDeferral = 2 * time.Second
	// shortShare is the part of the time to a step's end in which its short texts are to
	// be made: the rest is the margin for texts that outgrow their forecasts.
	shortItemsPart = 0.5
	// latestShare is the part of the time to a step's end that a text may take at most for
	// its start to wait on.
	latestStartPart = 0.6
)

// held reports whether a text need not start yet: so many others of its step are under
// way that all are whole long before the step can end. Those that wait then take the
// connections, and the places, of those that end.
func (p *planner) deferred(item *Item) bool {
	if item.BatchAge >= maxDeferral || !p.short(item) {
		return false
	}
	step := p.step(item)
	if item.MaxRemaining*p.tier(item).ordinaryTime > latestStartPart*step.end {
		return false
	}
	return float64(step.shortRunning)*shortItemsPart*step.end >= step.shortWork
}
