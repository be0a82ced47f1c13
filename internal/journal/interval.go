package journal

import "time"

// maxIntervalFraction sets the longest time between the starts of two reads of a follower, as a
// fraction of the contact bound.
const maxIntervalFraction = 0.1

// Interval returns the minimum time between the starts of two reads of one follower, or of two
// calls that a daemon repeats for another purpose.
//
// Each change to a partition ends the long polls of all daemons, which then read again. Without
// an interval the rate of reads is therefore the number of daemons times the rate of changes.
// With an interval a read returns several changes, and the rate of reads depends only on the
// number of daemons.
type Interval func() time.Duration

// SharedInterval returns the interval at which all daemons together make callsPerSecond calls
// per second. If callsPerSecond is 0, there is no limit and the interval is 0. daemons returns
// the current number of daemons.
func SharedInterval(callsPerSecond float64, daemons func() int) Interval {
	if callsPerSecond <= 0 {
		return noInterval
	}
	return func() time.Duration {
		return time.Duration(float64(daemons()) / callsPerSecond * float64(time.Second))
	}
}

func noInterval() time.Duration { return 0 }
