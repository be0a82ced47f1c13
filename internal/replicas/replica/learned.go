package replica

import (
	"maps"
	"time"
)

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

// experience is what this daemon has learned of one start of a replica by itself.
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
	work       workPace
	// versions is never changed, only replaced: readers hold it.
	versions map[string]int64
	goneAt   time.Time
	// last is the entry that was removed at goneAt.
	last Entry
}

// experience returns what was learned of a start. One that is not listed is forgotten like
// one that is gone. The mutex is held.
func (table *Table) experience(start Start) *experience {
	learned := table.learned[start]
	if learned == nil {
		learned = &experience{versions: map[string]int64{}, goneAt: table.now()}
		table.learned[start] = learned
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

// Started counts a request on its way to a replica.
func (table *Table) Started(start Start) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	learned.inFlight++
	learned.probing = learned.declines > 0
}

// Ended takes a request off the count.
func (table *Table) Ended(start Start) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	learned.inFlight--
	learned.probing = false
	table.notify()
}

// Succeeded notes an answer and how long it took.
func (table *Table) Succeeded(start Start, took time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	learned.failures = 0
	learned.avoidUntil = time.Time{}
	learned.latency = average(learned.latency, took)
}

// Reported notes how many requests of all callers a replica has, as its answer tells.
func (table *Table) Reported(start Start, requests int) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	learned.reported, learned.reportedAt = requests, time.Now()
}

// Paced notes the time between two events of a stream.
func (table *Table) Paced(start Start, gap time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.experience(start).pace.note(gap, time.Now())
}

func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(averageWeight*float64(value-mean))
}

// Failed notes an exchange that got no sound answer: others are preferred for
// a while that grows with each failure in a row.
func (table *Table) Failed(start Start) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	learned.failures++
	avoid := firstAvoid << min(learned.failures-1, 6)
	learned.avoidUntil = time.Now().Add(min(avoid, longestAvoid))
}

// Busy notes that a replica declined a short request: others are preferred for
// the given time.
func (table *Table) Busy(start Start, pause time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	if until := time.Now().Add(pause); until.After(learned.avoidUntil) {
		learned.avoidUntil = until
	}
}

// Declined notes that a replica declined a request: others are preferred for a
// while that grows with each further one.
func (table *Table) Declined(start Start) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	now := time.Now()
	if now.Before(learned.avoidUntil) {
		return
	}
	learned.avoidUntil = now.Add(min(firstDecline<<min(learned.declines, 4), longestDecline))
	learned.declines++
}

// Accepted notes that a replica has begun to answer a request.
func (table *Table) Accepted(start Start) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	learned := table.experience(start)
	learned.declines, learned.probing = 0, false
}

// HoldsVersion notes a version of a model that a replica was seen to hold.
// Versions only rise.
func (table *Table) HoldsVersion(start Start, model string, version int64) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.experience(start).raise(model, version) {
		table.notify()
	}
}

// Sweep forgets replicas that have long left the list.
func (table *Table) Sweep() {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.now()
	for start, learned := range table.learned {
		if !learned.goneAt.IsZero() && learned.inFlight == 0 && now.Sub(learned.goneAt) > forgetAfter {
			delete(table.learned, start)
		}
	}
	for id, newest := range table.newest {
		if table.learned[newest.Start()] == nil {
			delete(table.newest, id)
		}
	}
}
