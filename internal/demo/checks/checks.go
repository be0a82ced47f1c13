// Package checks counts what a run of daemons has put to the test, and prints violations
// and notes as they come, each with the seconds since the start. It owns the counts and
// the output.
//
// # Usage
//
//	c := checks.New(os.Stdout)
//	c.Check(exactlyOnce, !doubled, "sample %d came again", number)
//	outcome := c.Outcome([]checks.Rule{exactlyOnce}, false)
package checks

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// Rule names a promise that is checked.
type Rule string

// shownPerRule bounds the violations that are printed of a rule.
const shownPerRule = 5

// Checks is safe for concurrent use.
type Checks struct {
	start time.Time

	mu     sync.Mutex
	output io.Writer
	counts map[Rule]int
	broken map[Rule]int
}

// New returns checks of a run that starts now.
func New(output io.Writer) *Checks {
	return &Checks{output: output, start: time.Now(), counts: map[Rule]int{}, broken: map[Rule]int{}}
}

// Elapsed returns how long after the start a moment is.
func (c *Checks) Elapsed(moment time.Time) time.Duration { return moment.Sub(c.start) }

// Check counts a check, and a violation if it does not hold.
func (c *Checks) Check(rule Rule, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[rule]++
	if holds {
		return
	}
	c.broken[rule]++
	if c.broken[rule] <= shownPerRule {
		c.print(fmt.Sprintf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...)))
	}
}

// Note prints a line.
func (c *Checks) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.print(fmt.Sprintf(format, args...))
}

// print prints a line. The mutex is held.
func (c *Checks) print(line string) {
	_, _ = fmt.Fprintf(c.output, "%8.3f %s\n", time.Since(c.start).Seconds(), line)
}

// Outcome is what a run found.
type Outcome struct {
	// Broken are the rules that did not hold, Untested those never put to the test.
	Broken, Untested []Rule
}

// Outcome prints a line for each rule and returns what was found. With safetyOnly a rule
// that was never put to the test has held.
func (c *Checks) Outcome(rules []Rule, safetyOnly bool) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var o Outcome
	width := 0
	for _, rule := range rules {
		width = max(width, len(rule)+1)
	}
	for _, rule := range rules {
		switch {
		case c.broken[rule] > 0:
			o.Broken = append(o.Broken, rule)
		case c.counts[rule] == 0 && !safetyOnly:
			o.Untested = append(o.Untested, rule)
		}
		_, _ = fmt.Fprintf(c.output, "%-*s checks %7d broken %d\n", width, rule, c.counts[rule], c.broken[rule])
	}
	slices.Sort(o.Broken)
	return o
}

// Held reports whether all rules were put to the test and held.
func (o Outcome) Held() bool { return len(o.Broken)+len(o.Untested) == 0 }

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch {
	case len(o.Broken) > 0:
		return "rules broken: " + join(o.Broken)
	case len(o.Untested) > 0:
		return "no rule broken, but these were not put to the test: " + join(o.Untested)
	}
	return "all rules held"
}

func join(rules []Rule) string {
	names := make([]string, len(rules))
	for i, rule := range rules {
		names[i] = string(rule)
	}
	return strings.Join(names, ", ")
}
