package replica

import (
	"math"
	"time"
)

const (
	// slowdownHalfLife is the time in which the difference between a reported slowdown and 1
	// halves. The load on a replica's machine changes many times a second, so an older report says
	// little about the present.
	slowdownHalfLife = 100 * time.Millisecond
	// slowdownMaxAge is the age above which a report is ignored.
	slowdownMaxAge = 5 * slowdownHalfLife
	// minSlowdown and maxSlowdown bound a reported slowdown, so that a single answer neither
	// attracts all requests to a replica nor keeps all requests away from the replica.
	minSlowdown, maxSlowdown = 0.5, 4.0
)

// slowdown is the ratio of the time that work currently takes at a replica to its usual time, as
// the replica reported it.
type slowdown struct {
	reported float64
	at       time.Time
}

// value returns the current slowdown, which decays from the reported value towards 1. It is 1 if
// there is no report or the report is older than slowdownMaxAge.
func (s slowdown) value(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.reported <= 0 || age > slowdownMaxAge {
		return 1
	}
	weight := math.Exp2(-float64(age) / float64(slowdownHalfLife))
	return 1 + (s.reported-1)*weight
}

// ReportSlowdown records the slowdown that an answer of a replica reports: 1 if work takes as long
// as usual at the replica, 2 if it takes twice as long.
func (t *Table) ReportSlowdown(i Incarnation, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(i).slowdown = slowdown{reported: min(max(ratio, minSlowdown), maxSlowdown), at: time.Now()}
}
