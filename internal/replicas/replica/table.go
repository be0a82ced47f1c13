// Package replica holds what a daemon believes of the replicas: the platform's
// list of them, and what this daemon's own exchanges with each have shown.
//
// Replicas end and start again under their ids, hundreds at a time where their service is
// replaced, and their entries may be written late. What was learned belongs to one start
// (Start): whoever has picked a replica tells the table of it by the start that was picked,
// which changes nothing once another one has followed.
//
// Invariants: the newest birth of an id counts; a start's versions only rise; no count of
// requests under way is below zero or has another start's requests.
//
// # Usage
//
// Many requests from many daemons share replicas of uneven load and speed: each daemon knows
// its own requests, and for a moment what answers tell of all.
//
//	chosen, found := replica.Pick(table.Replicas(service), tried, now)
//	table.Started(chosen.Start())
//	defer table.Ended(chosen.Start())
//	// after a sound answer:
//	table.Succeeded(chosen.Start(), took)
package replica

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
)

// Entry is one replica as the platform lists it.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining replicas get no new work.
	Draining bool
	// Unusable replicas get none either: their newest entry can't be understood, which says
	// nothing of their process. Only ID counts of such an entry.
	Unusable bool
	// Born is when the process started, by its own clock in milliseconds; zero if it does
	// not tell.
	Born time.Time
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
	// Reported is how many requests of all callers it had, running or waiting, by an
	// answer of a moment ago; 0 if there was none.
	Reported int
	// AvoidUntil is until when other replicas are to be preferred.
	AvoidUntil time.Time
	// Declining says that the replica declined the last request, Probing that one
	// is finding out whether it still does.
	Declining, Probing bool
	// Connected says that a connection to it rests here, as its user has found out.
	Connected bool
	// Latency is the mean time of recent answers, 0 if there were none.
	Latency time.Duration
	// Pace is the mean time between the events of recent streams, 0 if unknown.
	Pace time.Duration
	// PaceAt is when the last of these events came, zero if there were none.
	PaceAt time.Time
	// WorkPace is how long work takes there at present, 1 being as usual, as the replica told
	// WorkPaceAge ago. The older that is, the nearer it is to 1; it is 1 if nothing is
	// believed.
	WorkPace    float64
	WorkPaceAge time.Duration
}

// listed is an entry with what was learned of its replica.
type listed struct {
	Entry
	learned *experience
}

// Table is the daemon's view of all replicas. It is safe for concurrent use.
type Table struct {
	logger *zap.Logger
	// removedGrace is how long a replica that left the list may still get work
	// if its service has no other.
	removedGrace time.Duration
	// now is the clock by which that grace ends.
	now bootclock.Clock

	mutex   sync.Mutex
	entries map[string]*listed
	// services has the entries of each service, by id.
	services map[string]map[string]*listed
	// learned is by start. That of an earlier start stays while requests are under way there.
	learned map[Start]*experience
	// newest has the newest start of each id that was listed of late.
	newest map[string]Entry
	// restarted is told of addresses of replicas that have started again; it may be nil.
	restarted func(address string)
	changed   chan struct{}
}

// NewTable returns an empty table. DrainBound is how long after a replica has
// left the list new work may still reach it.
func NewTable(drainBound time.Duration, logger *zap.Logger) *Table {
	return &Table{logger: logger, removedGrace: drainBound / 2, now: bootclock.Now, entries: map[string]*listed{}, services: map[string]map[string]*listed{}, learned: map[Start]*experience{}, newest: map[string]Entry{}, changed: make(chan struct{})}
}

// SetClock sets the clock by which replicas count as just removed. It is called before
// any other method.
func (table *Table) SetClock(now bootclock.Clock) { table.now = now }

// Replace sets the whole list.
func (table *Table) Replace(entries []Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	kept := make(map[string]bool, len(entries))
	var changes []change
	for _, entry := range entries {
		kept[entry.ID] = true
		changes = table.set(entry, changes)
	}
	for id := range table.entries {
		if !kept[id] {
			changes = table.remove(id, changes)
		}
	}
	table.tell(changes)
	table.notify()
}

// Set changes or adds one entry.
func (table *Table) Set(entry Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.tell(table.set(entry, nil))
	table.notify()
}

// Remove drops one entry.
func (table *Table) Remove(id string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.tell(table.remove(id, nil))
	table.notify()
}

// set changes or adds an entry. It returns the changes with this one, if it is one to
// be told. The mutex is held.
func (table *Table) set(entry Entry, changes []change) []change {
	before := table.entries[entry.ID]
	switch {
	case entry.Unusable && before == nil:
		return changes
	case entry.Unusable:
		entry = before.Entry
		entry.Unusable = true
	case !table.succeeds(&entry):
		return changes
	}
	if before != nil && before.Service != entry.Service {
		delete(table.services[before.Service], entry.ID)
	}
	learned := table.experience(entry.Start())
	now := &listed{Entry: entry, learned: learned}
	table.entries[entry.ID] = now
	if table.services[entry.Service] == nil {
		table.services[entry.Service] = map[string]*listed{}
	}
	table.services[entry.Service][entry.ID] = now
	learned.goneAt = time.Time{}
	for model, version := range entry.Versions {
		learned.raise(model, version)
	}
	switch {
	case before == nil:
		return append(changes, change{now: &entry})
	case before.Draining != entry.Draining, before.Unusable != entry.Unusable:
		return append(changes, change{before: &before.Entry, now: &entry})
	default:
		return changes
	}
}

// remove drops an entry. It returns the changes with this one. The mutex is held.
func (table *Table) remove(id string, changes []change) []change {
	before := table.entries[id]
	if before == nil {
		return changes
	}
	delete(table.entries, id)
	delete(table.services[before.Service], id)
	before.learned.goneAt, before.learned.last = table.now(), before.Entry
	return append(changes, change{before: &before.Entry})
}

// notify wakes those who wait for a change. The mutex is held.
func (table *Table) notify() {
	close(table.changed)
	table.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the list, of
// a version, or of the room at a replica.
func (table *Table) Changed() <-chan struct{} {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.changed
}

// Replicas returns the replicas of a service that may get new work.
func (table *Table) Replicas(service string) []Replica {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := time.Now()
	found := make([]Replica, 0, len(table.services[service]))
	for _, each := range table.services[service] {
		if !each.Draining && !each.Unusable {
			found = append(found, each.view(now))
		}
	}
	if len(found) == 0 {
		return table.justRemoved(service)
	}
	return found
}

// justRemoved returns the replicas of a service that left the list a moment
// ago without having said that they leave. After an outage of the platform all
// entries may be missing until the replicas have written them again. The mutex
// is held.
func (table *Table) justRemoved(service string) []Replica {
	var found []Replica
	now, awake := table.now(), time.Now()
	for _, learned := range table.learned {
		if learned.goneAt.IsZero() || now.Sub(learned.goneAt) > table.removedGrace {
			continue
		}
		if learned.last.Service == service && !learned.last.Draining && !learned.last.Unusable {
			found = append(found, (&listed{Entry: learned.last, learned: learned}).view(awake))
		}
	}
	return found
}

// All returns all replicas listed, also those that drain.
func (table *Table) All() []Replica {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	found := make([]Replica, 0, len(table.entries))
	now := time.Now()
	for _, each := range table.entries {
		found = append(found, each.view(now))
	}
	return found
}

// Get returns one replica if it is listed.
func (table *Table) Get(id string) (Replica, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	each := table.entries[id]
	if each == nil {
		return Replica{}, false
	}
	return each.view(time.Now()), true
}

// view is a replica as it is now.
func (each *listed) view(now time.Time) Replica {
	learned := each.learned
	viewed := Replica{Entry: each.Entry, InFlight: learned.inFlight, AvoidUntil: learned.avoidUntil, Declining: learned.declines > 0, Probing: learned.probing, Latency: learned.latency, Pace: learned.pace.value(now), PaceAt: learned.pace.at}
	if now.Sub(learned.reportedAt) <= loadHolds {
		viewed.Reported = learned.reported
	}
	viewed.WorkPace, viewed.WorkPaceAge = learned.work.value(now)
	viewed.Versions = learned.versions
	return viewed
}
