// Package identity names the incarnations of daemons: a machine's name with the start of the
// process, so that no two incarnations share a name.
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

// New returns the name of the incarnation that starts at a time on a machine.
func New(machine string, start time.Time) string {
	return machine + separator + strconv.FormatInt(start.UnixNano(), 36)
}

// Machine returns the machine of an incarnation.
func Machine(incarnation string) string {
	machine, _, _ := strings.Cut(incarnation, separator)
	return machine
}

// Replaced reports whether an incarnation is over for certain: another one of its machine is
// among those alive, and it is not. A machine has one at a time.
func Replaced(incarnation string, alive []string) bool {
	return !slices.Contains(alive, incarnation) &&
		slices.ContainsFunc(alive, func(other string) bool { return Machine(other) == Machine(incarnation) })
}

// StartNanos returns when an incarnation began by its machine's time of day, in nanoseconds since 1970,
// or 0 if its name doesn't say. It orders the incarnations of one machine unless that time was put
// back between them.
func StartNanos(incarnation string) int64 {
	_, start, _ := strings.Cut(incarnation, separator)
	parsed, err := strconv.ParseInt(start, 36, 64)
	if err != nil {
		return 0
	}
	return parsed
}
