// Package replica holds what a daemon knows of the replicas: the platform's list of them,
// and what this daemon's own exchanges with each have shown.
//
// Replicas end and start again under their ids, hundreds at a time where their service is
// replaced, and their entries may be written late. What was learned belongs to one
// Incarnation: whoever has picked a replica reports to the table by the one that was picked,
// which changes nothing once another one has followed.
//
// The package owns the Table, in memory only; the list in it is fed by package catalog. Pick
// is the rule for plain requests; items of batches are placed by package scheduling over the
// same table.
//
// Invariants: the newest birth of an id counts; an incarnation's versions only rise; no
// count of requests under way is below zero or has another incarnation's requests.
//
// # Usage
//
// Many requests from many daemons share replicas of uneven load and speed: each daemon knows
// its own requests, and for a moment what answers report of all.
//
//	rep, ok := replica.Pick(table.Replicas(service), tried, now)
//	table.Started(rep.Incarnation())
//	defer table.Ended(rep.Incarnation())
//	// after a sound answer:
//	table.Succeeded(rep.Incarnation(), took)
package replica

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
)

// DefaultSlots is assumed where an engine names no slots.
const DefaultSlots = 8

// Entry is one replica as the platform lists it.
type Entry struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Draining replicas get no new work.
	Draining bool
	// Unusable replicas get none either: their newest entry can't be understood, which says
	// nothing of their process. Only ID counts of such an entry.
	Unusable bool
	// StartedAt is when the process started, by its own clock in milliseconds; zero if it does
	// not say.
	StartedAt time.Time
	// Spot replicas may be taken away at any moment.
	Spot bool
	// Versions are the versions of the weights it holds, by model.
	Versions map[string]int64
}

// Replica is an entry with this daemon's own view of it, as it was when read.
type Replica struct {
	Entry
	// InFlight is how many of this daemon's requests are under way there.
	InFlight int
	// ReportedLoad is how many requests of all callers it had, running or waiting, by an
	// answer of a moment ago; 0 if there was none.
	ReportedLoad int
	// AvoidUntil is until when other replicas are to be preferred.
	AvoidUntil time.Time
	// Declining says that the replica declined the last request, Probing that one
	// is finding out whether it still does.
	Declining, Probing bool
	// Connected says that an idle connection to it is open here. Its user sets it.
	Connected bool
	// Latency is the mean time of recent answers, 0 if there were none.
	Latency time.Duration
	// EventTime is the median time between the events of recent streams, 0 if unknown.
	EventTime time.Duration
	// LastEventAt is when the last of these events came, zero if there were none.
	LastEventAt time.Time
	// Slowdown is how much longer than usual work takes there at present, as a ratio, as the
	// replica reported. The older that is, the nearer it is to 1; it is 1 if nothing is known.
	Slowdown float64
}

// listedReplica is an entry with what was learned of its replica.
type listedReplica struct {
	Entry
	stats *replicaStats
}

// Table is the daemon's view of all replicas. It is safe for concurrent use.
type Table struct {
	logger *zap.Logger
	// removedGrace is how long a replica that left the list may still get work
	// if its service has no other.
	removedGrace time.Duration
	// now is the clock by which that grace ends.
	now bootclock.Clock

	mu      sync.Mutex
	entries map[string]*listedReplica
	// services has the entries of each service, by id.
	services map[string]map[string]*listedReplica
	// stats is by incarnation. That of an earlier one stays while requests are under way there.
	stats map[Incarnation]*replicaStats
	// newest has the newest incarnation of each id that was listed of late.
	newest map[string]Entry
	// onRestart is called with addresses of replicas that have started again.
	onRestart func(address netip.AddrPort)
	changed   chan struct{}
}

// NewTable returns an empty table. DrainBound is how long after a replica has
// left the list new work may still reach it.
func NewTable(drainBound time.Duration, logger *zap.Logger) *Table {
	return &Table{
		logger: logger, removedGrace: drainBound / 2, now: bootclock.Now,
		entries: map[string]*listedReplica{}, services: map[string]map[string]*listedReplica{},
		stats: map[Incarnation]*replicaStats{}, newest: map[string]Entry{},
		onRestart: func(netip.AddrPort) {}, changed: make(chan struct{}),
	}
}

// Replace sets the whole list.
func (t *Table) Replace(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]bool, len(entries))
	var changes []entryChange
	for _, entry := range entries {
		kept[entry.ID] = true
		changes = t.set(entry, changes)
	}
	for id := range t.entries {
		if !kept[id] {
			changes = t.remove(id, changes)
		}
	}
	t.logChanges(changes)
	t.notify()
}

// Set changes or adds one entry.
func (t *Table) Set(entry Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logChanges(t.set(entry, nil))
	t.notify()
}

// Remove drops one entry.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logChanges(t.remove(id, nil))
	t.notify()
}

// set changes or adds an entry. It returns the changes with this one, if it is one to
// be logged. The mutex is held.
func (t *Table) set(entry Entry, changes []entryChange) []entryChange {
	before := t.entries[entry.ID]
	switch {
	case entry.Unusable && before == nil:
		return changes
	case entry.Unusable:
		entry = before.Entry
		entry.Unusable = true
	case !t.acceptEntry(&entry):
		return changes
	}
	if before != nil && before.Service != entry.Service {
		delete(t.services[before.Service], entry.ID)
	}
	e := t.statsOf(entry.Incarnation())
	now := &listedReplica{Entry: entry, stats: e}
	t.entries[entry.ID] = now
	if t.services[entry.Service] == nil {
		t.services[entry.Service] = map[string]*listedReplica{}
	}
	t.services[entry.Service][entry.ID] = now
	e.removedAt = time.Time{}
	for model, version := range entry.Versions {
		e.raiseVersion(model, version)
	}
	switch {
	case before == nil:
		return append(changes, entryChange{now: &entry})
	case before.Draining != entry.Draining, before.Unusable != entry.Unusable:
		return append(changes, entryChange{before: &before.Entry, now: &entry})
	default:
		return changes
	}
}

// remove drops an entry. It returns the changes with this one. The mutex is held.
func (t *Table) remove(id string, changes []entryChange) []entryChange {
	before := t.entries[id]
	if before == nil {
		return changes
	}
	delete(t.entries, id)
	delete(t.services[before.Service], id)
	before.stats.removedAt, before.stats.lastEntry = t.now(), before.Entry
	return append(changes, entryChange{before: &before.Entry})
}

// notify wakes those who wait for a change. The mutex is held.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the list, of
// a version, or of the room at a replica.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Replicas returns the replicas of a service that may get new work.
func (t *Table) Replicas(service string) []Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	found := make([]Replica, 0, len(t.services[service]))
	for _, l := range t.services[service] {
		if !l.Draining && !l.Unusable {
			found = append(found, l.view(now))
		}
	}
	if len(found) == 0 {
		return t.recentlyRemoved(service)
	}
	return found
}

// recentlyRemoved returns the replicas of a service that left the list a moment
// ago without having said that they leave. After an outage of the platform all
// entries may be missing until the replicas have written them again. The mutex
// is held.
func (t *Table) recentlyRemoved(service string) []Replica {
	var found []Replica
	now, awake := t.now(), time.Now()
	for _, e := range t.stats {
		if e.removedAt.IsZero() || now.Sub(e.removedAt) > t.removedGrace {
			continue
		}
		if e.lastEntry.Service == service && !e.lastEntry.Draining && !e.lastEntry.Unusable {
			found = append(found, (&listedReplica{Entry: e.lastEntry, stats: e}).view(awake))
		}
	}
	return found
}

// All returns all replicas listed, also those that drain.
func (t *Table) All() []Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make([]Replica, 0, len(t.entries))
	now := time.Now()
	for _, l := range t.entries {
		found = append(found, l.view(now))
	}
	return found
}

// Get returns one replica if it is listed.
func (t *Table) Get(id string) (Replica, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.entries[id]
	if l == nil {
		return Replica{}, false
	}
	return l.view(time.Now()), true
}

// view is a replica as it is now.
func (l *listedReplica) view(now time.Time) Replica {
	e := l.stats
	r := Replica{
		Entry: l.Entry, InFlight: e.inFlight, AvoidUntil: e.avoidUntil, Declining: e.declines > 0, Probing: e.probing,
		Latency: e.latency, EventTime: e.eventTimes.value(now), LastEventAt: e.eventTimes.lastAt,
	}
	if now.Sub(e.reportedLoadAt) <= reportedLoadMaxAge {
		r.ReportedLoad = e.reportedLoad
	}
	r.Slowdown = e.slowdown.value(now)
	r.Versions = e.versions
	return r
}
