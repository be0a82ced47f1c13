package scheduling

import "time"

const (
	// longestHeld is how long a batch may be here while a text of it is held back: what a
	// wrong forecast of the step's end may cost, in steps that take seconds.
	longestHeld = 2 * time.Second
	// shortShare is the part of the time to a step's end in which its short texts are to
	// be made: the rest is the margin for texts that outgrow their forecasts.
	shortShare = 0.5
	// latestShare is the part of the time to a step's end that a text may take at most for
	// its start to wait on.
	latestShare = 0.6
)

// held reports whether a text need not start yet: so many others of its step are under
// way that all are whole long before the step can end. Those that wait then take the
// connections, and the places, of those that end.
func (p *planner) held(item *Item) bool {
	if item.Waited >= longestHeld || !p.short(item) {
		return false
	}
	step := p.step(item)
	if item.Most*p.tier(item).ordinary > latestShare*step.end {
		return false
	}
	return float64(step.running)*shortShare*step.end >= step.work
}
