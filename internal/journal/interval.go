package journal

import "time"

// maxIntervalFraction limits the time between two reads of a follower, as a fraction of the
// contact bound.
const maxIntervalFraction = 0.1

// Interval returns the minimum time between the starts of two reads of one follower, or of
// two other repeated calls of one daemon.
//
// Each change ends the long polls of all daemons, which then read again, so that without an
// interval the rate of reads is the number of daemons times the rate of changes. With one, a read
// returns several changes, and the rate depends on the number of daemons alone.
type Interval func() time.Duration

// SharedInterval returns the interval at which all daemons together make callsPerSecond calls per
// second. A callsPerSecond of 0 means no limit, and an interval of 0. daemons returns the current
// number of daemons.
func SharedInterval(callsPerSecond float64, daemons func() int) Interval {
	if callsPerSecond <= 0 {
		return noInterval
	}
	return func() time.Duration {
		return time.Duration(float64(daemons()) / callsPerSecond * float64(time.Second))
	}
}

func noInterval() time.Duration { return 0 }
