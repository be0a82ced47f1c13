package replica

import (
	"maps"
	"time"
)

const (
	// averageWeight is the weight of a new value in a running average.
	averageWeight = 0.25
	// minDeclineBackoff is how long a replica that declined a request is left alone; the
	// time doubles with each decline in a row, up to maxDeclinePause. An engine
	// declines for as long as it changes its weights.
	minDeclineBackoff = 120 * time.Millisecond
	maxDeclineBackoff = 300 * time.Millisecond
	// minFailureBackoff is how long others are preferred after a failure; it doubles with each one in
	// a row, up to maxAvoid.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// reportedLoadMaxAge is how long a load counts that an answer reported: requests to plain
	// replicas take some tens of milliseconds.
	reportedLoadMaxAge = 100 * time.Millisecond
	// statsTTL is how long what was learned of a replica outlives its entry.
	statsTTL = 30 * time.Second
)

// replicaStats is what this daemon has learned of one incarnation of a replica by itself.
type replicaStats struct {
	inFlight   int
	failures   int
	avoidUntil time.Time
	// declines counts the declined requests in a row, those within one pause as
	// one. While there are any, one request at a time finds out (probing).
	declines   int
	probing    bool
	latency    time.Duration
	eventTimes eventTimeEstimate
	// reportedLoad is the load that an answer reportedLoad at reportedAt.
	reportedLoad   int
	reportedLoadAt time.Time
	slowdown       slowdown
	// versions is never changed, only replaced: readers hold it.
	versions  map[string]int64
	removedAt time.Time
	// lastEntry is the entry that was removed at goneAt.
	lastEntry Entry
}

// statsOf returns what was learned of an incarnation. One that is not listed is forgotten like
// one that is gone. The mutex is held.
func (t *Table) statsOf(i Incarnation) *replicaStats {
	e := t.stats[i]
	if e == nil {
		e = &replicaStats{versions: map[string]int64{}, removedAt: t.now()}
		t.stats[i] = e
	}
	return e
}

func (e *replicaStats) raiseVersion(model string, version int64) bool {
	if version <= e.versions[model] {
		return false
	}
	versions := maps.Clone(e.versions)
	versions[model] = version
	e.versions = versions
	return true
}

// RequestStarted counts a request on its way to a replica.
func (t *Table) RequestStarted(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	e.inFlight++
	e.probing = e.declines > 0
}

// RequestEnded takes a request off the count.
func (t *Table) RequestEnded(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	e.inFlight--
	e.probing = false
	t.notify()
}

// RequestSucceeded notes an answer and how long it took.
func (t *Table) RequestSucceeded(i Incarnation, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	e.failures = 0
	e.avoidUntil = time.Time{}
	e.latency = movingAverage(e.latency, took)
}

// ReportLoad notes how many requests of all callers a replica has, as its answer reports.
func (t *Table) ReportLoad(i Incarnation, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	e.reportedLoad, e.reportedLoadAt = requests, time.Now()
}

// ObserveEvent notes the time between two events of a stream.
func (t *Table) ObserveEvent(i Incarnation, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(i).eventTimes.add(gap, time.Now())
}

func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(averageWeight*float64(value-mean))
}

// RequestFailed notes an exchange that got no sound answer: others are preferred for
// a while that grows with each failure in a row.
func (t *Table) RequestFailed(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	e.failures++
	avoid := minFailureBackoff << min(e.failures-1, 6)
	e.avoidUntil = time.Now().Add(min(avoid, maxFailureBackoff))
}

// AvoidFor notes that a replica declined a short request: others are preferred for
// the given time.
func (t *Table) AvoidFor(i Incarnation, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	if until := time.Now().Add(pause); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// RequestDeclined notes that a replica declined a request: others are preferred for a
// while that grows with each further one.
func (t *Table) RequestDeclined(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	now := time.Now()
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidUntil = now.Add(min(minDeclineBackoff<<min(e.declines, 4), maxDeclineBackoff))
	e.declines++
}

// RequestAccepted notes that a replica has begun to answer a request.
func (t *Table) RequestAccepted(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.statsOf(i)
	e.declines, e.probing = 0, false
}

// ObserveVersion notes a version of a model that a replica was seen to hold.
// Versions only rise.
func (t *Table) ObserveVersion(i Incarnation, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statsOf(i).raiseVersion(model, version) {
		t.notify()
	}
}

// Sweep forgets replicas that have long left the list.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	maps.DeleteFunc(t.stats, func(_ Incarnation, e *replicaStats) bool {
		return !e.removedAt.IsZero() && e.inFlight == 0 && now.Sub(e.removedAt) > statsTTL
	})
	maps.DeleteFunc(t.newest, func(_ string, newest Entry) bool { return t.stats[newest.Incarnation()] == nil })
}
