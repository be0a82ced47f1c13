// Package identity names the runs of daemons: a machine's name with the start
// of the run, so that no two runs share a name.
package identity

import (
	"strconv"
	"strings"
	"time"
)

const separator = "/"

// New returns the name of a run that starts now on a machine.
func New(machine string, start time.Time) string {
	return machine + separator + strconv.FormatInt(start.UnixNano(), 36)
}

// Machine returns the machine of a run.
func Machine(run string) string {
	machine, _, _ := strings.Cut(run, separator)
	return machine
}

// Replaced reports whether a run is over for certain: another run of its
// machine is among those alive, and it is not. A machine has one run at a time.
func Replaced(run string, alive []string) bool {
	replaced := false
	for _, other := range alive {
		if other == run {
			return false
		}
		if Machine(other) == Machine(run) {
			replaced = true
		}
	}
	return replaced
}

// Started returns when a run began by its machine's time of day, in nanoseconds since 1970,
// or 0 if its name doesn't say. It orders the runs of one machine unless that time was put
// back between them.
func Started(run string) int64 {
	_, start, _ := strings.Cut(run, separator)
	parsed, err := strconv.ParseInt(start, 36, 64)
	if err != nil {
		return 0
	}
	return parsed
}
