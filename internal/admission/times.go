package admission

import (
	"slices"
	"time"
)

const (
	// timesKept is over how many answers the times of a service are taken: enough for the
	// nineteenth of twenty, few enough that a slower replica shows within seconds.
	timesKept = 32
	// knownFrom is from how many answers on times are believed.
	knownFrom = 4
	// unknownTime is reckoned with before that: most plain requests take less.
	unknownTime = 50 * time.Millisecond
	// latelyKept is over how many answers a service counts as slower than usual.
	latelyKept = 5
)

// times are those that the answers of a service took.
type times struct {
	kept  [timesKept]time.Duration
	count int
	// seen is what count was as a conclusion was drawn from the last answers.
	seen int
}

func (t *times) note(took time.Duration) {
	t.kept[t.count%timesKept] = took
	t.count++
}

// quantile returns the time within which a part of the answers came. One answer that took
// for ever does not move it.
func (t *times) quantile(part float64) time.Duration {
	if t.count < knownFrom {
		return unknownTime
	}
	sorted := t.kept
	known := sorted[:min(t.count, timesKept)]
	slices.Sort(known)
	return known[int(part*float64(len(known)-1))]
}

// lately is the median of the last answers, 0 if there are too few of which no conclusion
// was drawn yet.
func (t *times) lately() time.Duration {
	if t.count-t.seen < latelyKept {
		return 0
	}
	var last [latelyKept]time.Duration
	for i := range last {
		last[i] = t.kept[(t.count-1-i)%timesKept]
	}
	slices.Sort(last[:])
	return last[latelyKept/2]
}
