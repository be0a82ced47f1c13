// Package wallclock tells the time of day without the jumps of a machine's clock.
//
// A clock that is set by hand or by a faulty time source jumps and often jumps back.
// Who counts by windows of the time of day would then count in wrong windows. The clock
// here follows small corrections at once, and a jump only once it has lasted.
//
// # Usage
//
//	clock := wallclock.New(bootclock.Now)
//	window := clock.Now().UnixMilli() / length.Milliseconds()
package wallclock

import (
	"sync"
	"time"

	"woodworks/internal/daemon/bootclock"
)

const (
	// jump is the least correction that counts as a jump: time sources that work
	// correct by less at a time.
	jump = 100 * time.Millisecond
	// believedAfter is how long a jump must last to be followed.
	believedAfter = time.Minute
)

// Clock is safe for concurrent use.
type Clock struct {
	// read returns the reading of a clock that never jumps and the machine's time of
	// day at the same moment.
	read func() (steady time.Duration, wall time.Time)
	// steady is the clock that never jumps.
	steady bootclock.Clock

	mu sync.Mutex
	// offset is what is added to the steady reading, as a time of day.
	offset time.Time
	// jumpedAt is the steady reading at which a jump was first seen, -1 if the
	// machine's clock agrees.
	jumpedAt time.Duration
}

// New returns a clock that starts at the machine's time of day. The clock that it is
// given never jumps, and goes on while the machine is suspended: the time of day does so
// too, and what it gained meanwhile is no jump.
func New(steady bootclock.Clock) *Clock {
	began := steady()
	c := newClock(func() (time.Duration, time.Time) {
		return steady().Sub(began), time.Now().Round(0)
	})
	c.steady = steady
	return c
}

func newClock(read func() (time.Duration, time.Time)) *Clock {
	steady, wall := read()
	return &Clock{read: read, offset: wall.Add(-steady), jumpedAt: -1}
}

// Since returns how long ago a moment of the clock that never jumps was.
func (c *Clock) Since(moment time.Time) time.Duration { return c.steady().Sub(moment) }

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady, wall := c.read()
	now := c.offset.Add(steady)
	off := wall.Sub(now).Abs()
	switch {
	case off < jump:
		c.jumpedAt = -1
	case c.jumpedAt < 0:
		c.jumpedAt = steady
		return now
	case steady-c.jumpedAt < believedAfter:
		return now
	}
	c.offset, c.jumpedAt = wall.Add(-steady), -1
	return wall
}
