package replica

import (
	"math"
	"time"
)

const (
	// workPaceHalfLife is in which time half of the belief in a told work pace is lost: what
	// else runs on the replica's machine changes many times a second, so that an answer
	// older than some of these says nothing of now.
	slowdownHalfLife = 100 * time.Millisecond
	// workPaceHolds is after how long nothing is believed any more.
	slowdownLifetime = 5 * slowdownHalfLife
	// leastWorkPace and mostWorkPace bound what is believed: one answer must neither draw
	// all requests to a replica nor keep all from it.
	minSlowdown, maxSlowdown = 0.5, 4.0
)

// workPace is how long work takes at a replica, against as usual there, as told a moment
// ago.
type slowdown struct {
	reported float64
	at       time.Time
}

// value returns the pace to reckon with, between what was told and as usual, and the age
// of what was told; 1 and 0 if nothing is believed.
func (w slowdown) value(now time.Time) (pace float64, age time.Duration) {
	age = now.Sub(w.at)
	if w.reported <= 0 || age > slowdownLifetime {
		return 1, 0
	}
	belief := math.Exp2(-float64(age) / float64(slowdownHalfLife))
	return 1 + (w.reported-1)*belief, age
}

// ReportedWorkPace notes how long work takes at a replica at present, as its answer tells:
// 1 is as usual there, 2 twice as long.
func (t *Table) ReportSlowdown(start Start, pace float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.experience(start).slowdown = slowdown{reported: min(max(pace, minSlowdown), maxSlowdown), at: time.Now()}
}
