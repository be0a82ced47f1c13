package journal

import (
	"sync/atomic"
	"time"
)

// Contact is when something last answered, the zero time before it ever did. It is safe
// for concurrent use.
//
// It keeps a time.Time, not a number: only that has the steady clock's reading, by which
// the time since is right although the time of day was set meanwhile.
type Contact struct{ last atomic.Pointer[time.Time] }

// Note notes an answer.
func (c *Contact) Note() {
	now := time.Now()
	c.last.Store(&now)
}

// Last returns when it was.
func (c *Contact) Last() time.Time {
	if last := c.last.Load(); last != nil {
		return *last
	}
	return time.Time{}
}
