package journal

import (
	"math/rand/v2"
	"time"
)

const (
	// mostPaceShare bounds the time between two reads of a follower, as a part of the
	// contact bound: what it follows must be known well within that bound.
	mostPaceShare = 0.1
	// throttledPause is the first pause after a read that was throttled. It doubles
	// with each one in a row, up to mostPaceShare of the contact bound.
	throttledPause = 100 * time.Millisecond
	// maxDoublings bounds the doublings of a pause.
	maxDoublings = 6
)

// Pace is the least time between the beginnings of two reads of one follower.
//
// A change ends the held reads of all daemons, and each reads again. Their reads thus
// grow as daemons times changes, which the journal does not grant. Followers that wait
// between two reads take several changes at once, and their reads grow as the daemons.
type Pace func() time.Duration

// SharedPace returns the pace at which the followers of one partition, one a daemon,
// use a share of the reads that a journal grants. Daemons tells how many there are.
func SharedPace(log Journal, share float64, daemons func() int) Pace {
	return paceOf(log.Grants().ReadsPerSecond*share, daemons)
}

// SharedWritePace returns the pace at which writers, one a daemon, use a share of the
// writes that a journal grants.
func SharedWritePace(log Journal, share float64, daemons func() int) Pace {
	return paceOf(log.Grants().WritesPerSecond*share, daemons)
}

// paceOf returns the pace at which daemons make so many calls a second together; 0
// names no bound.
func paceOf(granted float64, daemons func() int) Pace {
	if granted <= 0 {
		return unpaced
	}
	return func() time.Duration {
		return time.Duration(float64(daemons()) / granted * float64(time.Second))
	}
}

func unpaced() time.Duration { return 0 }

// jittered returns a time between a half and one and a half of the given one, so that
// daemons that were refused at the same moment do not come back together.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause+1)
}
