package demo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// promise is what is checked.
type promise string

// The promises.
const (
	namesVersions promise = "a sample names the versions that made it"
	withinBound   promise = "no sample is over its bound"
	exactlyOnce   promise = "each sample is delivered once"
	ownAnswer     promise = "a caller gets the whole answer to its own request"
	notExecuted   promise = "not executed is true"
	atMostOnce    promise = "a non-repeatable request runs at most once"
	leavingIdle   promise = "a leaving back end gets no new work"
	plannedStop   promise = "a planned stop cuts nothing off"
)

var promises = []promise{namesVersions, withinBound, exactlyOnce, ownAnswer, notExecuted, atMostOnce, leavingIdle, plannedStop}

// maxShown bounds the violations that are kept of each promise.
const maxShown = 5

// checks counts what was checked. It is safe for concurrent use.
type checks struct {
	mu     sync.Mutex
	made   map[promise]int
	failed map[promise]int
	shown  map[promise][]string
}

func newChecks() *checks {
	return &checks{made: map[promise]int{}, failed: map[promise]int{}, shown: map[promise][]string{}}
}

// that counts a check, and a violation if it does not hold.
func (c *checks) that(p promise, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made[p]++
	if holds {
		return
	}
	c.failed[p]++
	if len(c.shown[p]) < maxShown {
		c.shown[p] = append(c.shown[p], fmt.Sprintf(format, args...))
	}
}

// print writes a line for each promise and reports whether the run fails: a
// promise did not hold, or, unless safetyOnly, was never put to the test.
func (c *checks) print(w io.Writer, safetyOnly bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fails := false
	for _, p := range promises {
		verdict := "held"
		switch {
		case c.failed[p] > 0:
			verdict, fails = "BROKEN", true
		case c.made[p] == 0:
			verdict = "not tested"
			fails = fails || !safetyOnly
		}
		_, _ = fmt.Fprintf(table, "%s\t%d checks\t%d violations\t%s\n", p, c.made[p], c.failed[p], verdict)
		for _, line := range c.shown[p] {
			_, _ = fmt.Fprintf(table, "  %s\t\t\t\n", line)
		}
	}
	_ = table.Flush()
	return fails
}
