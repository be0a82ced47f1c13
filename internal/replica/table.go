// Package replica holds what a daemon believes of the replicas: the platform's
// list of them, and what this daemon's own exchanges with each have shown.
package replica

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/bootclock"
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
}

const (
	// averageWeight is the weight of a new value in a running average.
	averageWeight = 0.25
	// firstDecline is how long a replica that declined a request is left alone; the
	// time doubles with each decline in a row, up to longestDecline. An engine
	// declines for as long as it changes its weights.
	firstDecline   = 120 * time.Millisecond
	longestDecline = 300 * time.Millisecond
	firstAvoid     = 200 * time.Millisecond
	longestAvoid   = 3 * time.Second
	// loadHolds is how long a load is believed that an answer told: requests to
	// plain replicas take some tens of milliseconds.
	loadHolds = 100 * time.Millisecond
	// forgetAfter is how long what was learned of a replica outlives its entry.
	forgetAfter = 30 * time.Second
)

// experience is what this daemon has learned of a replica by itself.
type experience struct {
	inFlight   int
	failures   int
	avoidUntil time.Time
	// declines counts the declined requests in a row, those within one pause as
	// one. While there are any, one request at a time finds out (probing).
	declines int
	probing  bool
	latency  time.Duration
	pace     pace
	// reported is the load that an answer told at reportedAt.
	reported   int
	reportedAt time.Time
	// versions is never changed, only replaced: readers hold it.
	versions map[string]int64
	goneAt   time.Time
	// last is the entry that was removed at goneAt.
	last Entry
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
	learned  map[string]*experience
	changed  chan struct{}
}

// NewTable returns an empty table. DrainBound is how long after a replica has
// left the list new work may still reach it.
func NewTable(drainBound time.Duration, logger *zap.Logger) *Table {
	return &Table{logger: logger, removedGrace: drainBound / 2, now: bootclock.Now, entries: map[string]*listed{}, services: map[string]map[string]*listed{}, learned: map[string]*experience{}, changed: make(chan struct{})}
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
	if before != nil && before.Service != entry.Service {
		delete(table.services[before.Service], entry.ID)
	}
	learned := table.experience(entry.ID)
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
	case before.Draining != entry.Draining:
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

func (table *Table) experience(id string) *experience {
	learned := table.learned[id]
	if learned == nil {
		learned = &experience{versions: map[string]int64{}}
		table.learned[id] = learned
	}
	return learned
}

func (learned *experience) raise(model string, version int64) bool {
	if version <= learned.versions[model] {
		return false
	}
	versions := maps.Clone(learned.versions)
	versions[model] = version
	learned.versions = versions
	return true
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
		if !each.Draining {
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
		if learned.last.Service == service && !learned.last.Draining {
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
	viewed.Versions = learned.versions
	return viewed
}

// Started counts a request on its way to a replica.
func (table *Table) Started(id string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	learned.inFlight++
	learned.probing = learned.declines > 0
}

// Ended takes a request off the count.
func (table *Table) Ended(id string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	learned.inFlight--
	learned.probing = false
	table.notify()
}

// Succeeded notes an answer and how long it took.
func (table *Table) Succeeded(id string, took time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	learned.failures = 0
	learned.avoidUntil = time.Time{}
	learned.latency = average(learned.latency, took)
}

// Reported notes how many requests of all callers a replica has, as its answer tells.
func (table *Table) Reported(id string, requests int) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	learned.reported, learned.reportedAt = requests, time.Now()
}

// Paced notes the time between two events of a stream.
func (table *Table) Paced(id string, gap time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.experience(id).pace.note(gap, time.Now())
}

func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(averageWeight*float64(value-mean))
}

// Failed notes an exchange that got no sound answer: others are preferred for
// a while that grows with each failure in a row.
func (table *Table) Failed(id string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	learned.failures++
	avoid := firstAvoid << min(learned.failures-1, 6)
	learned.avoidUntil = time.Now().Add(min(avoid, longestAvoid))
}

// Busy notes that a replica declined a short request: others are preferred for
// the given time.
func (table *Table) Busy(id string, pause time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	if until := time.Now().Add(pause); until.After(learned.avoidUntil) {
		learned.avoidUntil = until
	}
}

// Declined notes that a replica declined a request: others are preferred for a
// while that grows with each further one.
func (table *Table) Declined(id string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	now := time.Now()
	if now.Before(learned.avoidUntil) {
		return
	}
	learned.avoidUntil = now.Add(min(firstDecline<<min(learned.declines, 4), longestDecline))
	learned.declines++
}

// Accepted notes that a replica has begun to answer a request.
func (table *Table) Accepted(id string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(id)
	learned.declines, learned.probing = 0, false
}

// HoldsVersion notes a version of a model that a replica was seen to hold.
// Versions only rise.
func (table *Table) HoldsVersion(id, model string, version int64) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.experience(id).raise(model, version) {
		table.notify()
	}
}

// Sweep forgets replicas that have long left the list.
func (table *Table) Sweep() {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.now()
	for id, learned := range table.learned {
		if !learned.goneAt.IsZero() && learned.inFlight == 0 && now.Sub(learned.goneAt) > forgetAfter {
			delete(table.learned, id)
		}
	}
}
