// Package replica keeps what a daemon knows of the replicas: the list of them that the platform
// publishes, and what the daemon has measured in its own requests.
//
// Replicas restart under the same id, hundreds at a time when a service is replaced, and their
// entries may arrive late. Statistics therefore belong to an Incarnation: a caller reports to
// the table under the incarnation that it picked, and a report that arrives after a restart does
// not affect the next incarnation.
//
// The package owns the Table, which is in memory only. Package catalog feeds the list into it.
// Pick chooses the replica of a plain request; package scheduling places items of batches by the
// same table.
//
// Invariants: of the entries of one id, the one with the latest start counts; the versions held
// by an incarnation never decrease; the number of requests in flight is never negative and never
// includes requests of another incarnation.
//
// # Usage
//
// Many daemons send requests to the same replicas, which differ in load and speed. A daemon
// counts its own requests; the load of other daemons is known for a short time after an answer
// that reports it.
//
//	rep, ok := replica.Pick(table.Replicas(service), tried, now)
//	table.RequestStarted(rep.Incarnation())
//	defer table.RequestEnded(rep.Incarnation())
//	// after a sound answer:
//	table.RequestSucceeded(rep.Incarnation(), latency)
package replica

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
)

// DefaultSlots is the number of slots assumed for an engine that reports none.
const DefaultSlots = 8

// Entry describes one replica as the platform lists it.
type Entry struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Draining replicas get no new work.
	Draining bool
	// Unusable replicas get no new work either: the newest entry of such a replica could not be
	// decoded, which does not mean that its process has ended. Only the ID of that entry is used.
	Unusable bool
	// StartedAt is when the process started, by its own clock and in whole milliseconds; zero if
	// unknown.
	StartedAt time.Time
	// Spot replicas may be taken away by the platform at any moment.
	Spot bool
	// Versions are the versions of the weights that the replica holds, by model. The map must
	// not be modified.
	Versions map[string]int64
}

// Replica is a snapshot of an entry and of this daemon's statistics of the replica.
type Replica struct {
	Entry
	// InFlight is the number of this daemon's requests in flight to the replica.
	InFlight int
	// ReportedLoad is the number of requests of all callers, running or waiting, that a recent
	// answer of the replica reported; 0 if there was none.
	ReportedLoad int
	// AvoidUntil is the time until which other replicas are preferred.
	AvoidUntil time.Time
	// Declining reports whether the replica declined the last request. Probing reports whether a
	// request is in flight that tests whether the replica still declines.
	Declining, Probing bool
	// Connected reports whether this daemon has an idle connection to the replica. The table
	// leaves it false; the caller sets it before Pick.
	Connected bool
	// Latency is the moving average of the latency of sound answers, 0 if there were none.
	Latency time.Duration
	// EventTime is the median time between the events of recent streams, 0 if unknown.
	EventTime time.Duration
	// LastEventAt is when the last event counted in EventTime arrived, zero if there was none.
	LastEventAt time.Time
	// Slowdown is the ratio of the time that work currently takes at the replica to its usual
	// time, as the replica reported it. It decays towards 1 as the report ages, and is 1 if
	// nothing is known.
	Slowdown float64
}

// listedReplica is an entry of the list with the stats of its incarnation.
type listedReplica struct {
	Entry
	stats *replicaStats
}

// Table is a daemon's view of all replicas. It is safe for concurrent use.
type Table struct {
	logger *zap.Logger
	// removedGrace is how long a replica that was removed from the list may still get work if
	// its service has no other.
	removedGrace time.Duration
	// now is the clock that measures removedGrace and statsTTL; it continues while the machine
	// is suspended.
	now bootclock.Clock

	mu      sync.Mutex
	entries map[string]*listedReplica
	// services holds the entries of each service, by id.
	services map[string]map[string]*listedReplica
	// stats holds the stats of listed incarnations. Stats of incarnations that are no longer
	// listed are kept while they have requests in flight, and for statsTTL.
	stats map[Incarnation]*replicaStats
	// newest is the entry of the newest known incarnation of each id. It is kept as long as the
	// stats of the same incarnation.
	newest map[string]Entry
	// onRestart is the function set by OnRestart.
	onRestart func(address netip.AddrPort)
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewTable returns an empty table. drainBound is how long a replica may still get new work after
// its removal from the list; the table uses half of that time.
func NewTable(drainBound time.Duration, logger *zap.Logger) *Table {
	return &Table{
		logger: logger, removedGrace: drainBound / 2, now: bootclock.Now,
		entries: map[string]*listedReplica{}, services: map[string]map[string]*listedReplica{},
		stats: map[Incarnation]*replicaStats{}, newest: map[string]Entry{},
		onRestart: func(netip.AddrPort) {}, changed: make(chan struct{}),
	}
}

// Replace replaces the whole list of entries. Each entry is treated as by Set.
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

// Set adds or updates one entry. An entry of an earlier incarnation than the newest known one is
// ignored. An unusable entry only marks a listed replica as unusable.
func (t *Table) Set(entry Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logChanges(t.set(entry, nil))
	t.notify()
}

// Remove removes one entry.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logChanges(t.remove(id, nil))
	t.notify()
}

// set adds or updates an entry. It returns changes, with the change appended if it is to be
// logged. The mutex must be held.
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
	s := t.statsOf(entry.Incarnation())
	now := &listedReplica{Entry: entry, stats: s}
	t.entries[entry.ID] = now
	if t.services[entry.Service] == nil {
		t.services[entry.Service] = map[string]*listedReplica{}
	}
	t.services[entry.Service][entry.ID] = now
	s.removedAt = time.Time{}
	for model, version := range entry.Versions {
		s.raiseVersion(model, version)
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

// remove removes an entry if it is listed. It returns changes, with the removal appended. The
// mutex must be held.
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

// notify closes the channel that Changed returned, and replaces it. The mutex must be held.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the list or of a version that a
// replica holds, and at the next end of a request.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Replicas returns the replicas of a service that may get new work. If no such replica is listed,
// it returns those that were removed within half of the table's drainBound.
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

// MayGetWork reports whether a replica, as it was picked, may still get new work. After its removal from
// the list it may for half of the table's drainBound, also if its service has other replicas meanwhile. A
// replica of which nothing is known may get work.
func (t *Table) MayGetWork(picked Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.entries[picked.ID]; l != nil {
		return !l.Draining && !l.Unusable
	}
	s := t.stats[picked.Incarnation()]
	if s == nil || s.removedAt.IsZero() {
		return true
	}
	return !s.lastEntry.Draining && t.now().Sub(s.removedAt) <= t.removedGrace
}

// recentlyRemoved returns the replicas of a service that were removed within removedGrace and
// were neither draining nor unusable. After an outage of the platform all entries may be missing
// until the replicas have written them again. The mutex must be held.
func (t *Table) recentlyRemoved(service string) []Replica {
	var found []Replica
	now, monotonic := t.now(), time.Now()
	for _, s := range t.stats {
		if s.removedAt.IsZero() || now.Sub(s.removedAt) > t.removedGrace {
			continue
		}
		if s.lastEntry.Service == service && !s.lastEntry.Draining && !s.lastEntry.Unusable {
			found = append(found, (&listedReplica{Entry: s.lastEntry, stats: s}).view(monotonic))
		}
	}
	return found
}

// LeftBefore reports whether an incarnation was taken off the list for longer than half of the table's
// drainBound and has no later incarnation. Its process has outlived its entry, as one does that is taken
// away as planned without stating that it is draining: a crashed one ends before its entry goes.
func (t *Table) LeftBefore(i Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats[i]
	if s == nil || s.removedAt.IsZero() || t.newest[i.ID()].Incarnation() != i {
		return false
	}
	return t.now().Sub(s.removedAt) > t.removedGrace
}

// All returns all listed replicas, including those that are draining or unusable.
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

// Get returns a replica, and whether it is listed.
func (t *Table) Get(id string) (Replica, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.entries[id]
	if l == nil {
		return Replica{}, false
	}
	return l.view(time.Now()), true
}

// view returns a snapshot of the replica. The mutex of the table must be held.
func (l *listedReplica) view(now time.Time) Replica {
	s := l.stats
	r := Replica{
		Entry: l.Entry, InFlight: s.inFlight, AvoidUntil: s.avoidUntil, Declining: s.declines > 0, Probing: s.probing,
		Latency: s.latency, EventTime: s.eventTimes.value(now), LastEventAt: s.eventTimes.lastAt,
	}
	if now.Sub(s.reportedLoadAt) <= reportedLoadMaxAge {
		r.ReportedLoad = s.reportedLoad
	}
	r.Slowdown = s.slowdown.value(now)
	r.Versions = s.versions
	return r
}
