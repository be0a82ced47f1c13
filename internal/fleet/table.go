// Package fleet knows the back ends: which there are, which daemon owns each,
// and how each is.
//
// The owner of a replica is the daemon of the replica's zone that ranks first
// for it. It polls the replica, claims the engine's fence before it gives
// orders, and answers other daemons' requests for reports. A wrong view of who
// owns what costs efficiency only: the engine's fence settles who commands it.
package fleet

import (
	"sort"
	"sync"
	"time"

	"woodworks/internal/backend/engine"
	"woodworks/internal/membership"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/scheduler"
)

const (
	// staleAfter is how old a report may be before its replica counts as
	// unreachable.
	staleAfter = 3 * time.Second
	// failureHold is how long a replica that failed a request is avoided
	// unless a later report shows it well.
	failureHold = 500 * time.Millisecond
	// reportLag is about how far an engine's own report lags behind.
	reportLag = 250 * time.Millisecond
	// unheardAfter is how old a report may be before its replica is no longer
	// looked at until it is heard of again.
	unheardAfter = time.Minute
	// maxTombstones bounds the gone machines remembered for other daemons.
	maxTombstones = 4096
)

// entry is all that this daemon knows of one replica.
type entry struct {
	machine    machinelist.Machine
	state      engine.State
	reachable  bool
	observedAt time.Time
	failedAt   time.Time
	// stateEdition and loadEdition are the table's edition at the last change
	// of the state without its load, and of the load.
	stateEdition uint64
	loadEdition  uint64
	// sentAt holds when each of this daemon's requests in flight was sent.
	sentAt map[uint64]time.Time
	client *engine.Client
}

// Leaving tells whether machines and instances were announced as leaving.
type Leaving interface {
	MachineDraining(machine string) bool
	IsInstanceLeaving(machine, instance string) bool
}

// Table is one daemon's view of all replicas. It is safe for concurrent use.
type Table struct {
	mutex   sync.Mutex
	entries map[string]*entry
	// tombstones are machines that are gone, for daemons that ask later.
	tombstones map[string]machinelist.Machine
	revision   uint64
	// heard holds each service's replicas that reports are known of, by name.
	// A daemon hears of a bounded subset, however many are listed.
	heard map[string][]*entry
	// edition counts changes of reports, stateEdition those of more than load.
	edition      uint64
	stateEdition uint64
	leaving      Leaving
	nextSend     uint64
	changed      func()
}

// NewTable returns an empty table. The function changed is called, without
// locks held, whenever a replica may have become able to take work.
func NewTable(leaving Leaving, changed func()) *Table {
	return &Table{
		entries:    map[string]*entry{},
		tombstones: map[string]machinelist.Machine{},
		heard:      map[string][]*entry{},
		leaving:    leaving,
		changed:    changed,
	}
}

// Revision returns the machine list's revision that the table has seen.
func (table *Table) Revision() uint64 {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.revision
}

// ApplyMachines takes in changes of the machine list. An older list than the
// one already seen changes nothing.
func (table *Table) ApplyMachines(changes machinelist.Changes) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if changes.Revision <= table.revision {
		return
	}
	table.revision = changes.Revision
	for _, machine := range changes.Machines {
		if machine.State == machinelist.Gone {
			table.bury(machine)
		} else {
			table.list(machine)
		}
	}
}

// bury drops a machine that is gone and remembers that it is.
func (table *Table) bury(machine machinelist.Machine) {
	if held, known := table.entries[machine.Name]; known {
		table.unhear(held)
		held.client.Close()
		delete(table.entries, machine.Name)
	}
	table.tombstones[machine.Name] = machine
	if len(table.tombstones) <= maxTombstones {
		return
	}
	oldest := machine
	for _, tombstone := range table.tombstones {
		if tombstone.Revision < oldest.Revision {
			oldest = tombstone
		}
	}
	delete(table.tombstones, oldest.Name)
}

// list adds or updates a machine that is there.
func (table *Table) list(machine machinelist.Machine) {
	delete(table.tombstones, machine.Name)
	held, known := table.entries[machine.Name]
	if known && held.machine.Address == machine.Address {
		held.machine = machine
		return
	}
	if known {
		table.unhear(held)
		held.client.Close()
	}
	table.entries[machine.Name] = &entry{
		machine: machine,
		sentAt:  map[uint64]time.Time{},
		client:  engine.NewClient(machine.Address),
	}
}

// ChangedSince returns the machines, gone ones too, above a revision, and the
// revision up to which that is complete.
func (table *Table) ChangedSince(revision uint64) machinelist.Changes {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	changes := machinelist.Changes{Revision: table.revision}
	for _, held := range table.entries {
		if held.machine.Revision > revision {
			changes.Machines = append(changes.Machines, held.machine)
		}
	}
	for _, tombstone := range table.tombstones {
		if tombstone.Revision > revision {
			changes.Machines = append(changes.Machines, tombstone)
		}
	}
	return changes
}

// Machines returns the listed back ends, ordered by name.
func (table *Table) Machines() []machinelist.Machine {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	machines := make([]machinelist.Machine, 0, len(table.entries))
	for _, held := range table.entries {
		if held.machine.Service != machinelist.DaemonService {
			machines = append(machines, held.machine)
		}
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}

// ListedGone reports whether the machine list says that the machine of the
// daemon at a peer address is gone.
func (table *Table) ListedGone(address string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	gone := false
	for _, tombstone := range table.tombstones {
		gone = gone || (tombstone.Service == machinelist.DaemonService && tombstone.Address == address)
	}
	for _, held := range table.entries {
		if held.machine.Address == address {
			return false
		}
	}
	return gone
}

// Client returns the client for a machine, nil if it is not listed.
func (table *Table) Client(machine string) *engine.Client {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	held, known := table.entries[machine]
	if !known {
		return nil
	}
	return held.client
}

// MarkFailed notes that a request to the machine failed.
func (table *Table) MarkFailed(machine string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if held, known := table.entries[machine]; known {
		held.failedAt = time.Now()
	}
}

// Sent notes a request under way to a machine; the returned function must be
// called once when it has ended.
func (table *Table) Sent(machine string) (done func()) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.nextSend++
	send := table.nextSend
	held, known := table.entries[machine]
	if !known {
		return func() {}
	}
	held.sentAt[send] = time.Now()
	return func() {
		table.mutex.Lock()
		delete(held.sentAt, send)
		table.mutex.Unlock()
		table.changed()
	}
}

// Replica is one replica as a snapshot.
type Replica struct {
	Machine   machinelist.Machine
	State     engine.State
	Usable    bool
	Leaving   bool
	Load      int
	InFlight  int
	LastHeard time.Duration
}

// Replicas returns a snapshot of those of a service's replicas that this
// daemon hears of, ordered by name.
func (table *Table) Replicas(now time.Time, service string) []Replica {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	replicas := make([]Replica, len(table.heard[service]))
	for i, held := range table.heard[service] {
		replicas[i] = table.snapshot(now, held)
	}
	return replicas
}

func (table *Table) snapshot(now time.Time, held *entry) Replica {
	leaving := held.machine.State == machinelist.Leaving || held.state.Leaving ||
		table.leaving.MachineDraining(held.machine.Name) ||
		table.leaving.IsInstanceLeaving(held.machine.Name, held.state.Instance)
	failed := now.Sub(held.failedAt) < failureHold ||
		(!held.failedAt.IsZero() && !held.observedAt.After(held.failedAt))
	return Replica{
		Machine:   held.machine,
		State:     held.state,
		Usable:    held.reachable && now.Sub(held.observedAt) < staleAfter && !failed,
		Leaving:   leaving,
		Load:      correctedLoad(held),
		InFlight:  len(held.sentAt),
		LastHeard: now.Sub(held.observedAt),
	}
}

// correctedLoad replaces this daemon's own share in the reported load by what
// it knows exactly: what it had in flight when the report was made is taken
// out, what it has in flight now is added.
func correctedLoad(held *entry) int {
	reported := held.state.Running + held.state.Waiting
	madeAt := held.observedAt.Add(-reportLag)
	ownThen := 0
	for _, sentAt := range held.sentAt {
		if sentAt.Before(madeAt) {
			ownThen++
		}
	}
	return max(reported-ownThen, 0) + len(held.sentAt)
}

// Candidates turns replicas into the scheduler's view, seen from a zone.
func Candidates(replicas []Replica, self membership.Member) []scheduler.Candidate {
	candidates := make([]scheduler.Candidate, len(replicas))
	for i, replica := range replicas {
		candidates[i] = scheduler.Candidate{
			Name:     replica.Machine.Name,
			Address:  replica.Machine.Address,
			Healthy:  replica.Usable,
			Leaving:  replica.Leaving,
			Model:    replica.State.Model,
			Version:  replica.State.Version,
			Slots:    replica.State.Slots,
			Distance: distance(replica.Machine, self),
			Load:     replica.Load,
		}
	}
	return candidates
}

func distance(machine machinelist.Machine, self membership.Member) scheduler.Distance {
	switch {
	case machine.Zone == self.Zone:
		return scheduler.SameZone
	case machine.Region == self.Region:
		return scheduler.SameRegion
	default:
		return scheduler.OtherRegion
	}
}
