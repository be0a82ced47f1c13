// Package bootclock reads a clock that also counts the time in which the machine is
// suspended.
//
// The readings of time.Now differ by CLOCK_MONOTONIC, which stands still while a machine
// is suspended: to a holder that slept, a lease that ran out long ago looks valid, and
// beliefs look fresh. Whoever promises something for a length of time, or believes
// something for a length of time, reads this clock.
//
// # Usage
//
//	var now bootclock.Clock = bootclock.Now
//	since := now()
//	...
//	if now().Sub(since) > bound {
//		// at least bound has passed, awake or not
//	}
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present moment. Only the differences between moments of one clock
// mean anything: they are no times of day, and never go back.
type Clock func() time.Time

// Now reads CLOCK_BOOTTIME.
func Now() time.Time {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// Linux has had this clock since 2.6.39; without it no promise can be kept.
		panic("bootclock: " + err.Error())
	}
	return time.Unix(read.Sec, read.Nsec)
}
