package modelsync

import "time"

const (
	// minConcurrentLoads is the number of concurrent loads that loadLimiter always allows.
	minConcurrentLoads = 2
	// minBacklogRatio is the ratio of due engines to the limit above which the limit grows. With
	// fewer due engines, more concurrent loads gain nothing.
	minBacklogRatio = 4
	// slowLoadRatio is the ratio of a load time to the shortest load time above which the load
	// counts as slowed down by concurrent loads.
	slowLoadRatio = 1.5
	// decreaseFactor multiplies the limit when loads are slowed down.
	decreaseFactor = 0.7
)

// loadLimiter limits how many engines load weights at a time, as the capacity of the weights'
// source is unknown. While enough engines wait, the limit grows by one with each load at normal
// speed; the limit is multiplied by decreaseFactor when loads are slowed down. It isn't safe for
// concurrent use.
type loadLimiter struct {
	limit       float64
	minLoadTime time.Duration
	// decreasedAt is when the limit last shrank.
	decreasedAt time.Time
	// waiting is the number of engines with a due change; the caller sets it.
	waiting int
}

// maxNormalLoadTime returns the longest load time that does not count as slow, or 0 before the
// first measurement.
func (l *loadLimiter) maxNormalLoadTime() time.Duration {
	return time.Duration(slowLoadRatio * float64(l.minLoadTime))
}

// maxLoads returns the limit as a whole number.
func (l *loadLimiter) maxLoads() int { return max(int(l.limit), minConcurrentLoads) }

// record updates the limit with a load that ran from began to now. Loads that are slowed down at
// the same time have one cause, such as a crash of engines: the limit shrinks only for a load that
// began after it last shrank.
func (l *loadLimiter) record(began, now time.Time) {
	took := now.Sub(began)
	if l.minLoadTime == 0 || took < l.minLoadTime {
		l.minLoadTime = took
	}
	l.limit = max(l.limit, minConcurrentLoads)
	switch {
	case took > l.maxNormalLoadTime():
		if !began.Before(l.decreasedAt) {
			l.limit, l.decreasedAt = max(decreaseFactor*l.limit, minConcurrentLoads), now
		}
	case float64(l.waiting) > minBacklogRatio*l.limit:
		l.limit++
	}
}
