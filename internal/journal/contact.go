package journal

import (
	"math"
	"sync/atomic"
	"time"

	"woodworks/internal/daemon/bootclock"
)

// neverAnswered is returned by Silence before the first answer.
const neverAnswered = time.Duration(math.MaxInt64)

// LastContact records when the journal last answered. It is safe for concurrent use.
//
// Times are taken from a clock that ignores changes of the wall clock and includes the time for
// which the machine was suspended, so that contact from before a suspension counts as old.
type LastContact struct {
	now  bootclock.Clock
	last atomic.Pointer[time.Time]
}

// NewLastContact returns a LastContact without an answer so far.
func NewLastContact(now bootclock.Clock) *LastContact { return &LastContact{now: now} }

// Record stores the current time as that of the last answer.
func (c *LastContact) Record() {
	now := c.now()
	c.last.Store(&now)
}

// Silence returns the time since the last answer, or the largest duration if there was none.
func (c *LastContact) Silence() time.Duration {
	last := c.last.Load()
	if last == nil {
		return neverAnswered
	}
	return c.now().Sub(*last)
}
