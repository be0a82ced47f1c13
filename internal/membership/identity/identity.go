// Package identity names the incarnations of daemons. The name consists of the machine's name and
// the start time of the process, so that no two incarnations have the same name.
//
// # Usage
//
//	self := identity.New(machine, time.Now())
//	machine := identity.Machine(self)
package identity

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const separator = "/"

// New returns the name of the incarnation that was started on a machine at a time.
func New(machine string, start time.Time) string {
	return machine + separator + strconv.FormatInt(start.UnixNano(), 36)
}

// Machine returns the machine's name in the name of an incarnation.
func Machine(incarnation string) string {
	machine, _, _ := strings.Cut(incarnation, separator)
	return machine
}

// Replaced reports whether an incarnation has certainly ended: it isn't in alive, but another of
// its machine is. A machine runs one incarnation at a time.
func Replaced(incarnation string, alive []string) bool {
	return !slices.Contains(alive, incarnation) &&
		slices.ContainsFunc(alive, func(other string) bool { return Machine(other) == Machine(incarnation) })
}

// StartNanos returns the start time of an incarnation by its machine's wall clock, in nanoseconds
// since the Unix epoch, or 0 if its name contains none. It orders the incarnations of one machine,
// unless that clock was set back between their starts.
func StartNanos(incarnation string) int64 {
	_, start, _ := strings.Cut(incarnation, separator)
	parsed, err := strconv.ParseInt(start, 36, 64)
	if err != nil {
		return 0
	}
	return parsed
}
