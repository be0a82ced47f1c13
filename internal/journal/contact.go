package journal

import (
	"math"
	"sync/atomic"
	"time"

	"woodworks/internal/daemon/bootclock"
)

// neverAnswered is the silence of what has never answered.
const neverAnswered = time.Duration(math.MaxInt64)

// LastContact is when something last answered. It is safe for concurrent use.
//
// It goes by a clock that the time of day doesn't move and that a suspended machine's
// sleep does: after one, nothing is known to be as it was.
type LastContact struct {
	now  bootclock.Clock
	last atomic.Pointer[time.Time]
}

// NewLastContact returns a contact before the first answer.
func NewLastContact(now bootclock.Clock) *LastContact { return &LastContact{now: now} }

// Record notes an answer.
func (c *LastContact) Record() {
	now := c.now()
	c.last.Store(&now)
}

// Silence returns how long ago the last answer was, longer than any bound if there was
// none.
func (c *LastContact) Silence() time.Duration {
	last := c.last.Load()
	if last == nil {
		return neverAnswered
	}
	return c.now().Sub(*last)
}
