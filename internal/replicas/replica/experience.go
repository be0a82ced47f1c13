package replica

import (
	"maps"
	"time"
)

const (
	// averageWeight is the weight of a new value in a moving average.
	averageWeight = 0.25
	// minDeclineBackoff is how long other replicas are preferred to one that declined a request.
	// The time doubles with each consecutive decline, up to maxDeclineBackoff. An engine
	// declines requests for as long as it changes its weights.
	minDeclineBackoff = 120 * time.Millisecond
	maxDeclineBackoff = 300 * time.Millisecond
	// minFailureBackoff is how long other replicas are preferred after a failed request. The
	// time doubles with each consecutive failure, up to maxFailureBackoff.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// reportedLoadMaxAge is how long the load that a replica's answer reported counts. It is of
	// the order of the duration of a plain request.
	reportedLoadMaxAge = 100 * time.Millisecond
	// statsTTL is how long the stats of an incarnation are kept after its entry was removed.
	statsTTL = 30 * time.Second
)

// replicaStats holds what this daemon has measured of one incarnation of a replica, and what the
// incarnation's answers have reported.
type replicaStats struct {
	inFlight   int
	failures   int
	avoidUntil time.Time
	// declines counts consecutive declined requests; those within one backoff count as one.
	// probing is set while declines is above zero and a request is in flight that tests whether
	// the replica accepts requests again.
	declines   int
	probing    bool
	latency    time.Duration
	eventTimes eventTimeEstimate
	// reportedLoad is the number of requests that an answer reported at reportedLoadAt.
	reportedLoad   int
	reportedLoadAt time.Time
	slowdown       slowdown
	// versions is the highest version that the incarnation holds of each model. The map is never
	// modified, only replaced, because callers read it without the mutex.
	versions map[string]int64
	// removedAt is when the entry of the incarnation was removed, by the table's clock; zero while
	// the entry is listed.
	removedAt time.Time
	// lastEntry is the entry that was removed at removedAt.
	lastEntry Entry
}

// statsOf returns the stats of an incarnation and creates them if there are none. Stats of an
// incarnation that is not listed expire like those of a removed one. The mutex must be held.
func (t *Table) statsOf(i Incarnation) *replicaStats {
	s := t.stats[i]
	if s == nil {
		s = &replicaStats{versions: map[string]int64{}, removedAt: t.now()}
		t.stats[i] = s
	}
	return s
}

// raiseVersion sets the version of a model if it is higher than the known one, and reports whether
// it was set. The mutex of the table must be held.
func (s *replicaStats) raiseVersion(model string, version int64) bool {
	if version <= s.versions[model] {
		return false
	}
	versions := maps.Clone(s.versions)
	versions[model] = version
	s.versions = versions
	return true
}

// RequestStarted counts a request that is about to be sent to a replica. Each call must be
// followed by one of RequestEnded.
func (t *Table) RequestStarted(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	s.inFlight++
	s.probing = s.declines > 0
}

// RequestEnded removes a request from the count of those in flight.
func (t *Table) RequestEnded(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	s.inFlight--
	s.probing = false
	t.notify()
}

// RequestSucceeded records a sound answer and its latency. It resets the failure count, and the
// replica is no longer avoided.
func (t *Table) RequestSucceeded(i Incarnation, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	s.failures = 0
	s.avoidUntil = time.Time{}
	s.latency = movingAverage(s.latency, latency)
}

// StreamCompleted records a stream that was received to its end. It resets the failure count, so that
// failures which are not consecutive do not add up to maxFailureBackoff.
func (t *Table) StreamCompleted(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(i).failures = 0
}

// ReportLoad records the number of requests of all callers that a replica has, as reported by
// its answer.
func (t *Table) ReportLoad(i Incarnation, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	s.reportedLoad, s.reportedLoadAt = requests, time.Now()
}

// ObserveEvent records the time between two events of a stream.
func (t *Table) ObserveEvent(i Incarnation, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(i).eventTimes.add(gap, time.Now())
}

// movingAverage returns the exponential moving average of mean and a new value. A mean of 0 says
// that there was no earlier value.
func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(averageWeight*float64(value-mean))
}

// RequestFailed records a request that got no sound answer. Other replicas are preferred for a
// time that starts at minFailureBackoff and doubles with each consecutive failure, up to
// maxFailureBackoff.
func (t *Table) RequestFailed(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	s.failures++
	avoid := minFailureBackoff << min(s.failures-1, 6)
	s.avoidUntil = time.Now().Add(min(avoid, maxFailureBackoff))
}

// AvoidFor makes other replicas preferred to this one for the duration d from now. If they are
// already preferred for a longer time, that time does not change.
func (t *Table) AvoidFor(i Incarnation, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	if until := time.Now().Add(d); until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// RequestDeclined records a declined request. Other replicas are preferred for a time that
// doubles with each consecutive decline; a decline within that time has no effect.
func (t *Table) RequestDeclined(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	now := time.Now()
	if now.Before(s.avoidUntil) {
		return
	}
	s.avoidUntil = now.Add(min(minDeclineBackoff<<min(s.declines, 4), maxDeclineBackoff))
	s.declines++
}

// RequestAccepted records that a replica has begun to answer a request, which ends a series of
// declines.
func (t *Table) RequestAccepted(i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(i)
	s.declines, s.probing = 0, false
}

// ObserveVersion records that a replica holds a version of a model. A lower version than the
// known one is ignored.
func (t *Table) ObserveVersion(i Incarnation, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statsOf(i).raiseVersion(model, version) {
		t.notify()
	}
}

// Sweep deletes the stats of incarnations that were removed more than statsTTL ago and have no
// requests in flight. It must be called regularly.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	maps.DeleteFunc(t.stats, func(_ Incarnation, s *replicaStats) bool {
		return !s.removedAt.IsZero() && s.inFlight == 0 && now.Sub(s.removedAt) > statsTTL
	})
	maps.DeleteFunc(t.newest, func(_ string, newest Entry) bool { return t.stats[newest.Incarnation()] == nil })
}
