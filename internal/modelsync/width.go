package modelsync

import "time"

const (
	// leastWidth is how many engines change at a time where few wait.
	leastWidth = 2
	// longBacklog is how many engines must wait for each place for the width to
	// grow: where few wait, a wider load gains nothing.
	longBacklog = 4
	// slowedBy is how much longer than the shortest a change must take to count
	// as slowed by the others.
	slowedBy = 1.5
	// narrowing is the factor by which the width shrinks when changes are slowed.
	narrowing = 0.7
)

// width is how many engines change their weights at a time. What the weights
// come from bears a number that nobody tells: the width grows by one with each
// change that was not slowed, and shrinks by a part with each that was.
type width struct {
	current  float64
	shortest time.Duration
	// waiting is how many engines are due.
	waiting int
}

// places returns the width in whole engines.
func (w *width) places() int { return max(int(w.current), leastWidth) }

// done takes a finished change into account.
func (w *width) done(took time.Duration) {
	if w.shortest == 0 || took < w.shortest {
		w.shortest = took
	}
	w.current = max(w.current, leastWidth)
	switch {
	case float64(took) > slowedBy*float64(w.shortest):
		w.current = max(narrowing*w.current, leastWidth)
	case float64(w.waiting) > longBacklog*w.current:
		w.current++
	}
}
