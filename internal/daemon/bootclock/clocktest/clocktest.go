// Package clocktest suspends machines in tests.
//
// # Usage
//
//	clock := clocktest.New()
//	held.SetClock(clock.Now)
//	clock.Suspend(5 * time.Second) // timers and time.Now have not seen it
package clocktest

import (
	"sync/atomic"
	"time"
)

// Clock is a bootclock.Clock that follows time.Now, the virtual one within a bubble of
// testing/synctest, and is ahead of it by the time for which the machine was suspended.
// It is safe for concurrent use.
type Clock struct{ suspended atomic.Int64 }

// New returns the clock of a machine that was never suspended.
func New() *Clock { return &Clock{} }

// Now returns the present moment.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// Suspend has a time pass that neither timers nor time.Now count.
func (c *Clock) Suspend(length time.Duration) { c.suspended.Add(int64(length)) }
