package modelsync

import "time"

const (
	// minConcurrentLoads is how many engines change at a time where few wait.
	minConcurrentLoads = 2
	// minBacklogRatio is how many engines must wait for each place for the width to
	// grow: where few wait, a wider load gains nothing.
	minBacklogRatio = 4
	// slowLoadRatio is how much longer than the shortest a change must take to count
	// as slowed by the others.
	slowLoadRatio = 1.5
	// decreaseFactor is the factor by which the width shrinks when changes are slowed.
	decreaseFactor = 0.7
)

// loadLimiter is how many engines change their weights at a time. What the weights
// come from bears a number that nobody states: the loadLimiter grows by one with each
// change that was not slowed, and shrinks by a part with each that was.
type loadLimiter struct {
	limit       float64
	minLoadTime time.Duration
	// decreasedAt is when it last shrank.
	decreasedAt time.Time
	// waiting is how many engines are due.
	waiting int
}

// maxNormalLoadTime is the longest that a change may take without counting as slowed, 0 before one
// was measured.
func (w *loadLimiter) maxNormalLoadTime() time.Duration {
	return time.Duration(slowLoadRatio * float64(w.minLoadTime))
}

// maxLoads returns the width in whole engines.
func (w *loadLimiter) maxLoads() int { return max(int(w.limit), minConcurrentLoads) }

// record takes a finished change into account. Changes that are slowed at the same time are
// one sign: the width shrinks once for those that were under way when it did. Otherwise
// one cause, such as engines that crash, would narrow it many times over.
func (w *loadLimiter) record(began, now time.Time) {
	took := now.Sub(began)
	if w.minLoadTime == 0 || took < w.minLoadTime {
		w.minLoadTime = took
	}
	w.limit = max(w.limit, minConcurrentLoads)
	switch {
	case took > w.maxNormalLoadTime():
		if !began.Before(w.decreasedAt) {
			w.limit, w.decreasedAt = max(decreaseFactor*w.limit, minConcurrentLoads), now
		}
	case float64(w.waiting) > minBacklogRatio*w.limit:
		w.limit++
	}
}
