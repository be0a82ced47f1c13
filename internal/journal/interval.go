package journal

import "time"

// maxIntervalShare bounds the time between two reads of a follower, as a part of the
// contact bound: what it follows must be known well within that bound.
const maxIntervalShare = 0.1

// Interval is the least time between the beginnings of two reads of one follower.
//
// A change ends the waiting reads of all daemons, and each reads again. Their reads thus
// grow as daemons times changes, which the journal does not grant. Followers that wait
// between two reads take several changes at once, and their reads grow as the daemons.
type Interval func() time.Duration

// SharedReadInterval returns the interval at which the followers of one partition, one a daemon,
// use a share of the reads that a journal grants. Daemons tells how many there are.
func SharedReadInterval(log Journal, share float64, daemons func() int) Interval {
	return intervalOf(log.Grants().ReadsPerSecond*share, daemons)
}

// SharedWriteInterval returns the interval at which writers, one a daemon, use a share of the
// writes that a journal grants.
func SharedWriteInterval(log Journal, share float64, daemons func() int) Interval {
	return intervalOf(log.Grants().WritesPerSecond*share, daemons)
}

// intervalOf returns the interval at which daemons make so many calls a second together; 0
// names no bound.
func intervalOf(granted float64, daemons func() int) Interval {
	if granted <= 0 {
		return noInterval
	}
	return func() time.Duration {
		return time.Duration(float64(daemons()) / granted * float64(time.Second))
	}
}

func noInterval() time.Duration { return 0 }
