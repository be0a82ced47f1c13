package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"woodworks/internal/backend/engine"
	"woodworks/internal/platform/machinelist"
)

// Report is what an owner says of one replica.
type Report struct {
	Machine string
	State   engine.State
	// Reachable is false if the owner's last poll failed.
	Reachable bool
	// Age is how old the observation was when the report was sent.
	Age time.Duration
}

// hear adds a replica to those looked at. The mutex must be held.
func (table *Table) hear(held *entry) {
	service := held.machine.Service
	list := table.heard[service]
	at, found := slices.BinarySearchFunc(list, held.machine.Name, func(one *entry, name string) int {
		return strings.Compare(one.machine.Name, name)
	})
	if !found {
		table.heard[service] = slices.Insert(list, at, held)
	}
}

// unhear takes a replica out of those looked at. The mutex must be held.
func (table *Table) unhear(held *entry) {
	service := held.machine.Service
	table.heard[service] = slices.DeleteFunc(table.heard[service], func(one *entry) bool { return one == held })
	held.observedAt = time.Time{}
	table.stateEdition++
}

// StateEdition counts the changes of replicas' states other than their load.
func (table *Table) StateEdition() uint64 {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.stateEdition
}

// ApplyReport takes in a report that arrived now; the newest observation wins.
func (table *Table) ApplyReport(now time.Time, report Report) {
	table.mutex.Lock()
	held, known := table.entries[report.Machine]
	observedAt := now.Add(-report.Age)
	if !known || !observedAt.After(held.observedAt) {
		table.mutex.Unlock()
		return
	}
	if held.observedAt.IsZero() {
		table.hear(held)
	}
	table.note(held, observedAt, report)
	table.mutex.Unlock()
	table.changed()
}

// note records an observation and what changed by it. The mutex must be held.
func (table *Table) note(held *entry, observedAt time.Time, report Report) {
	state := report.State
	if !report.Reachable {
		state = held.state
	}
	before := held.state
	before.Running, before.Waiting, before.TokensPerSecond = state.Running, state.Waiting, state.TokensPerSecond
	table.edition++
	if before != state || held.reachable != report.Reachable || held.observedAt.IsZero() {
		held.stateEdition = table.edition
		table.stateEdition++
	}
	if held.state.Running != state.Running || held.state.Waiting != state.Waiting {
		held.loadEdition = table.edition
	}
	held.observedAt = observedAt
	held.reachable = report.Reachable
	held.state = state
}

// LoadReport says only how loaded a replica is.
type LoadReport struct {
	Machine string
	Running int
	Waiting int
}

// Changes is what changed in a set of reports after an edition.
type Changes struct {
	Edition uint64
	// Full holds reports whose state changed, Loads those of which only the
	// load did.
	Full  []Report
	Loads []LoadReport
	// Lagging names the replicas that were not observed lately; all others
	// were observed at most Age ago.
	Lagging []string
	Age     time.Duration
	// Names is a hash over all the names reported on.
	Names uint64
}

// laggingAfter is how old an observation may be to be vouched for unchanged.
const laggingAfter = 1500 * time.Millisecond

// ChangesOf returns what changed on the given machines after an edition; 0 for
// everything.
func (table *Table) ChangesOf(now time.Time, machines []machinelist.Machine, since uint64) Changes {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	changes := Changes{Edition: table.edition}
	for _, machine := range machines {
		held, known := table.entries[machine.Name]
		if !known || held.observedAt.IsZero() {
			continue
		}
		changes.Names ^= xxhash.Sum64String(machine.Name)
		age := now.Sub(held.observedAt)
		if age > laggingAfter {
			changes.Lagging = append(changes.Lagging, machine.Name)
		} else {
			changes.Age = max(changes.Age, age)
		}
		switch {
		case held.stateEdition > since:
			changes.Full = append(changes.Full, Report{Machine: machine.Name, State: held.state, Reachable: held.reachable, Age: age})
		case held.loadEdition > since:
			changes.Loads = append(changes.Loads, LoadReport{Machine: machine.Name, Running: held.state.Running, Waiting: held.state.Waiting})
		}
	}
	return changes
}

// ApplyLoad takes in the load of a replica that was observed at a time.
func (table *Table) ApplyLoad(observedAt time.Time, load LoadReport) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	held, known := table.entries[load.Machine]
	if !known || held.observedAt.IsZero() || !observedAt.After(held.observedAt) {
		return
	}
	report := Report{State: held.state, Reachable: true}
	report.State.Running, report.State.Waiting = load.Running, load.Waiting
	table.note(held, observedAt, report)
}

// Vouch notes that a reachable replica was still as known at a time.
func (table *Table) Vouch(observedAt time.Time, machine string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	held, known := table.entries[machine]
	if known && !held.observedAt.IsZero() && observedAt.After(held.observedAt) {
		held.observedAt = observedAt
	}
}

// DropUnheard stops looking at replicas not reported on for long.
func (table *Table) DropUnheard(now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for _, held := range table.entries {
		if !held.observedAt.IsZero() && now.Sub(held.observedAt) > unheardAfter {
			table.unhear(held)
		}
	}
}
