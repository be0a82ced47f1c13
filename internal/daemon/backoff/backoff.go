// Package backoff leaves alone for a while what has failed: the pause after a failed call
// doubles with each further failure in a row, up to a bound. There is no jitter: a duty is
// carried out by the one holder of the lease, so that nobody fails in step with it.
//
// # Usage
//
//	var calls = backoff.Bounds{First: firstPause, Longest: longestPause}
//
//	var rest backoff.Rest // a field beside what it bounds
//	if !rest.Over(time.Now()) {
//		return
//	}
//	if err := call(); err != nil {
//		rest.Failed(calls, time.Now())
//		return
//	}
//	rest.Succeeded()
package backoff

import "time"

// Bounds are the shortest and the longest pause.
type Bounds struct{ First, Longest time.Duration }

// After returns the pause after failures in a row, of which there is one at least.
func (b Bounds) After(failures int) time.Duration {
	pause := b.First
	for doublings := failures - 1; doublings > 0 && pause < b.Longest; doublings-- {
		pause *= 2
	}
	return min(pause, b.Longest)
}

// Rest is the pause of one thing that is called again and again. The zero value has no
// failure behind it. It is not safe for concurrent use.
type Rest struct {
	failures int
	until    time.Time
}

// Failures returns how many calls in a row have failed.
func (r *Rest) Failures() int { return r.failures }

// Over reports whether the next call may be made.
func (r *Rest) Over(now time.Time) bool { return !now.Before(r.until) }

// Failed begins the pause after a call that failed.
func (r *Rest) Failed(bounds Bounds, now time.Time) {
	r.failures++
	r.until = now.Add(bounds.After(r.failures))
}

// Succeeded forgets the failures.
func (r *Rest) Succeeded() { r.failures = 0 }
