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
	// eventTimeMaxAge is how long an event time counts without new events: a replica
	// that was slow gets work again and shows how it is now.
	eventTimeMaxAge = 3 * time.Second
	// minEventTimeWindow is over how long at least the best median is remembered.
	minEventTimeWindow = 15 * time.Second
)

// eventTimeEstimate is the time between two events of the texts that a replica makes: the median
// of the last ones. A mean would not do: an engine that changes its weights holds all
// its texts up once, for many times as long, and is as fast as before right after.
type eventTimeEstimate struct {
	gaps   [eventWindow]time.Duration
	count  int
	lastAt time.Time
	median time.Duration
	// minMedian tells replicas apart that get nothing to do for a while.
	minMedian RollingMin
}

// add takes the time between two events into account.
func (p *eventTimeEstimate) add(gap time.Duration, now time.Time) {
	if now.Sub(p.lastAt) > eventTimeMaxAge {
		p.count = 0
	}
	p.gaps[p.count%eventWindow] = gap
	p.count++
	p.lastAt = now
	n := min(p.count, eventWindow)
	sorted := p.gaps
	slices.Sort(sorted[:n])
	p.median = sorted[n/2]
	if n == eventWindow {
		p.minMedian.Observe(p.median, minEventTimeWindow, now)
	}
}

// value returns the event time to reckon with, 0 if it is unknown.
func (p *eventTimeEstimate) value(now time.Time) time.Duration {
	if p.count >= minEvents && now.Sub(p.lastAt) <= eventTimeMaxAge {
		return p.median
	}
	return p.minMedian.Value()
}

// RollingMin is the best event time of the present span and of the one before. The zero value
// knows none.
type RollingMin struct {
	minima      [2]time.Duration
	windowStart time.Time
}

// Observe takes an event time into account. Span is over how long at least the best one counts.
func (b *RollingMin) Observe(eventTime, span time.Duration, now time.Time) {
	if b.minima[0] == 0 || now.Sub(b.windowStart) > span {
		b.minima, b.windowStart = [2]time.Duration{eventTime, b.minima[0]}, now
	}
	b.minima[0] = min(b.minima[0], eventTime)
}

// Value returns the best event time, 0 if none is known.
func (b *RollingMin) Value() time.Duration {
	if b.minima[1] > 0 {
		return min(b.minima[0], b.minima[1])
	}
	return b.minima[0]
}
