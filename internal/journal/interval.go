package journal

import "time"

// maxIntervalFraction bounds the time between two reads of a follower, as a part of the
// contact bound: what it follows must be known well within that bound.
const maxIntervalFraction = 0.1

// Interval is the least time between the beginnings of two reads of one follower.
//
// A change ends the waiting reads of all daemons, and each reads again. Their reads thus
// grow as daemons times changes, which the journal does not grant. Followers that wait
// between two reads take several changes at once, and their reads grow as the daemons.
type Interval func() time.Duration

// SharedInterval returns the interval at which daemons make so many calls a second together, as
// followers of one partition do with a share of the reads that a journal grants; 0 names no
// bound. Daemons tells how many there are.
func SharedInterval(granted float64, daemons func() int) Interval {
	if granted <= 0 {
		return noInterval
	}
	return func() time.Duration {
		return time.Duration(float64(daemons()) / granted * float64(time.Second))
	}
}

func noInterval() time.Duration { return 0 }
