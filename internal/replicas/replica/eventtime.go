package replica

import (
	"slices"
	"time"
)

const (
	// eventWindow is over how many events the event time of an engine is taken: so many
	// that the median is known to within a few hundredths, so few that an engine with some
	// texts that turns slow shows within half a second.
	eventWindow = 32
	// minEvents is from how many events on the event time is known.
	minEvents = 3
	// eventTimeLifetime is how long an event time counts without new events: a replica
	// that was slow gets work again and shows how it is now.
	eventTimeLifetime = 3 * time.Second
	// bestSpan is over how long at least the best median is remembered.
	bestSpan = 15 * time.Second
)

// eventTimes is the time between two events of the texts that a replica makes: the median
// of the last ones. A mean would not do: an engine that changes its weights holds all
// its texts up once, for many times as long, and is as fast as before right after.
type eventTimes struct {
	gaps   [eventWindow]time.Duration
	events int
	at     time.Time
	median time.Duration
	// best is the best median of the present span and of the one before, which
	// tells replicas apart that get nothing to do for a while.
	best  [2]time.Duration
	since time.Time
}

// note takes the time between two events into account.
func (p *eventTimes) note(gap time.Duration, now time.Time) {
	if now.Sub(p.at) > eventTimeLifetime {
		p.events = 0
	}
	p.gaps[p.events%eventWindow] = gap
	p.events++
	p.at = now
	n := min(p.events, eventWindow)
	sorted := p.gaps
	slices.Sort(sorted[:n])
	p.median = sorted[n/2]
	if n < eventWindow {
		return
	}
	if p.best[0] == 0 || now.Sub(p.since) > bestSpan {
		p.best, p.since = [2]time.Duration{p.median, p.best[0]}, now
	}
	p.best[0] = min(p.best[0], p.median)
}

// value returns the event time to reckon with, 0 if it is unknown.
func (p *eventTimes) value(now time.Time) time.Duration {
	if p.events >= minEvents && now.Sub(p.at) <= eventTimeLifetime {
		return p.median
	}
	if p.best[1] > 0 {
		return min(p.best[0], p.best[1])
	}
	return p.best[0]
}
