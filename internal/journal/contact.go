package journal

import (
	"math"
	"sync/atomic"
	"time"

	"woodworks/internal/daemon/bootclock"
)

// neverAnswered is the result of Silence before the first answer.
const neverAnswered = time.Duration(math.MaxInt64)

// LastContact records when the journal last answered. It is safe for concurrent use.
//
// Its clock must ignore changes of the wall clock and must include the time for which the
// machine was suspended, so that an answer from before a suspension counts as old.
type LastContact struct {
	now  bootclock.Clock
	last atomic.Pointer[time.Time]
}

// NewLastContact returns a LastContact that has recorded no answer yet.
func NewLastContact(now bootclock.Clock) *LastContact { return &LastContact{now: now} }

// Record records that the journal has answered now.
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
