package replica

import (
	"math"
	"time"
)

const (
	// slowdownHalfLife is in which time a reported slowdown counts half as much: what else
	// runs on the replica's machine changes many times a second, so that an answer
	// older than some of these says nothing of now.
	slowdownHalfLife = 100 * time.Millisecond
	// slowdownMaxAge is after how long it counts no more.
	slowdownMaxAge = 5 * slowdownHalfLife
	// minSlowdown and maxSlowdown bound what counts: one answer must neither draw
	// all requests to a replica nor keep all from it.
	minSlowdown, maxSlowdown = 0.5, 4.0
)

// slowdown is how much longer than usual work takes at a replica, as a ratio, as it reported
// a moment ago.
type slowdown struct {
	reported float64
	at       time.Time
}

// value returns the slowdown to reckon with, between what was reported and 1; 1 if there is
// none that counts.
func (w slowdown) value(now time.Time) float64 {
	age := now.Sub(w.at)
	if w.reported <= 0 || age > slowdownMaxAge {
		return 1
	}
	weight := math.Exp2(-float64(age) / float64(slowdownHalfLife))
	return 1 + (w.reported-1)*weight
}

// ReportSlowdown notes how long work takes at a replica at present, as its answer reports:
// 1 is as usual there, 2 twice as long.
func (t *Table) ReportSlowdown(i Incarnation, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(i).slowdown = slowdown{reported: min(max(ratio, minSlowdown), maxSlowdown), at: time.Now()}
}
