package replica

import (
	"slices"
	"time"
)

const (
	// eventWindow is the number of gaps between events whose median is the event time. It is large
	// enough for a stable median, and small enough that a slowdown of an engine with several
	// streams is detected within half a second.
	eventWindow = 32
	// minEvents is the smallest number of gaps from which an event time is computed.
	minEvents = 3
	// eventTimeMaxAge is how long an event time counts without new events. After that, a replica
	// that was slow gets work again, and the work shows its current event time.
	eventTimeMaxAge = 3 * time.Second
	// minEventTimeWindow is the shortest time for which the lowest median is remembered.
	minEventTimeWindow = 15 * time.Second
)

// eventTimeEstimate estimates the event time of a replica, the time between two events of a
// stream, as the median of recent gaps. A mean would be distorted by an engine that changes its
// weights, which delays all its streams once by a multiple of the event time.
type eventTimeEstimate struct {
	// gaps is a ring buffer. count is how many gaps were added since the buffer was last reset.
	gaps  [eventWindow]time.Duration
	count int
	// lastAt is when the last gap was added.
	lastAt time.Time
	median time.Duration
	// minMedian is the lowest recent median. It is the estimate for a replica that has had no
	// events for eventTimeMaxAge.
	minMedian RollingMin
}

// add records gap, the time between two events, as measured at now.
func (e *eventTimeEstimate) add(gap time.Duration, now time.Time) {
	if now.Sub(e.lastAt) > eventTimeMaxAge {
		e.count = 0
	}
	e.gaps[e.count%eventWindow] = gap
	e.count++
	e.lastAt = now
	n := min(e.count, eventWindow)
	sorted := e.gaps
	slices.Sort(sorted[:n])
	e.median = sorted[n/2]
	if n == eventWindow {
		e.minMedian.Observe(e.median, minEventTimeWindow, now)
	}
}

// value returns the median of recent gaps, or the lowest recent median if there were too few
// gaps or none for eventTimeMaxAge. It returns 0 if the event time is unknown.
func (e *eventTimeEstimate) value(now time.Time) time.Duration {
	if e.count >= minEvents && now.Sub(e.lastAt) <= eventTimeMaxAge {
		return e.median
	}
	return e.minMedian.Value()
}

// RollingMin tracks the minimum of the values observed in the current time window and in the one
// before it. The zero value is empty and ready to use.
type RollingMin struct {
	// minima are the minima of the current window and of the previous one, 0 for a window without
	// a value.
	minima      [2]time.Duration
	windowStart time.Time
}

// Observe records a value, which must be positive. A new window starts with the first value that
// is observed more than window after the start of the current one, so that a minimum counts for at
// least window after it was observed.
func (m *RollingMin) Observe(value, window time.Duration, now time.Time) {
	if m.minima[0] == 0 || now.Sub(m.windowStart) > window {
		m.minima, m.windowStart = [2]time.Duration{value, m.minima[0]}, now
	}
	m.minima[0] = min(m.minima[0], value)
}

// Value returns the minimum over both windows, 0 if no value was observed.
func (m *RollingMin) Value() time.Duration {
	if m.minima[1] > 0 {
		return min(m.minima[0], m.minima[1])
	}
	return m.minima[0]
}
