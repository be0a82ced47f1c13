// Package quarantine keeps a request that ends the replicas which run it from being sent
// to further ones.
//
// A request may crash the process that runs it. Its caller sends it again, at any daemon,
// and each try would cost another replica with all that runs there. Daemons therefore
// remember contents (who asks for what) under which a replica has ended, and tell each
// other. What shared a replica with the guilty content looks as guilty as it, so that
// suspicion comes in steps:
//
//   - One end: the content is suspected. It may run as before, but no second replica is
//     asked while the first is silent.
//   - Two ends: it may run once more, alone: one run at a time from a daemon, at a replica
//     without another suspect, while the service has a second replica to serve the others.
//     What is innocent gets its answer there.
//   - Three ends: it is refused. The daemon that saw the third end lets it run once more
//     after a while, which sets free what three coincidences had condemned.
//
// Any whole answer clears a content at once. Ends that no answer came between are counted
// by start of a replica, so that it does not matter which daemons saw them or how often
// they tell. Replicas are named by their starts everywhere here.
//
// Nothing is looked up for a request while no content is suspected: that costs one load
// of a counter.
//
// Invariants: an entry of a higher epoch replaces one of a lower; within an epoch ended
// replicas are only added; a refused content runs at most once more in an epoch, from its
// keeper.
//
// # Usage
//
//	switch got := table.Judge(content, replica, others).(type) {
//	case quarantine.Free:
//		// run it, then:
//		table.Answered(content) // or table.Ended(content, replica, service)
//	case quarantine.Alone:
//		defer got.End()
//		// likewise
//	case quarantine.Refused:
//		// tell the caller that it has not run
//	}
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/refusal"
)

const (
	// aloneFrom is from how many ended replicas on a content runs alone, and endedLimit
	// from how many on it is refused. One end is a coincidence with any other crash; two
	// in a row without an answer are rare for an innocent content, three need as many
	// coincidences, the last of them while it ran by itself.
	aloneFrom  = 2
	endedLimit = 3
	// endedKept bounds the replicas that an entry names.
	endedKept = 8
	// sameEnd is within which time two ends of a replica are one that doesn't tell its
	// starts apart: several runs of a content show it within milliseconds, and no process is
	// back and ends again so soon.
	sameEnd = time.Second
	// aloneWait is how long a run alone waits for a second replica of its service: a
	// process that ended is replaced within some seconds.
	aloneWait = 5 * time.Second
	// retryAfterEnd is how long after its last end a refused content may run once more.
	retryAfterEnd = 15 * time.Second
)

// Table is what a daemon knows of contents under which replicas have ended. It is safe
// for concurrent use.
type Table struct {
	machine string
	now     bootclock.Clock
	logger  *zap.Logger
	// active counts the entries that are: while there is none, no request is looked up.
	active atomic.Int64
	// turnedAway counts tries that were refused.
	turnedAway atomic.Uint64

	mu      sync.Mutex
	entries map[Digest]*suspect
	// alone counts the runs alone from here at each replica.
	alone map[string]int
	// changed are the contents to tell other daemons of; wake says that there are some.
	// unrecorded says that the journal may lack something.
	changed          map[Digest]bool
	wake, unrecorded chan struct{}
}

// New returns an empty table of a machine.
func New(machine string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{machine: machine, now: now, logger: logger, entries: map[Digest]*suspect{}, alone: map[string]int{},
		changed: map[Digest]bool{}, wake: make(chan struct{}, 1), unrecorded: make(chan struct{}, 1)}
}

// Quiet reports whether no content is suspected.
func (t *Table) Quiet() bool { return t.active.Load() == 0 }

// Suspicion returns what is held against a content, without asking for it to run.
func (t *Table) Suspicion(content *Content) Suspicion {
	if t.Quiet() {
		return Unsuspected
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	switch {
	case s == nil || len(s.Ended) == 0:
		return Unsuspected
	case s.ends() < aloneFrom:
		return Suspected
	case !s.refused():
		return OnlyAlone
	default:
		return Quarantined
	}
}

// Blocked reports whether the content is refused now, whatever the replica.
func (t *Table) Blocked(content *Content) bool {
	if t.Quiet() {
		return false
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	return s != nil && s.refused() && !t.mayRetry(s, t.now())
}

// Judge says whether the content may run at a replica now. Others returns the ids of the
// other replicas of its service that are listed; it is asked of suspects only, with the
// table locked.
func (t *Table) Judge(content *Content, replica string, others func() []string) Verdict {
	if t.Quiet() {
		return Free{}
	}
	digest := content.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[digest]
	if s == nil || len(s.Ended) == 0 {
		return Free{}
	}
	now := t.now()
	s.usedAt = now
	if s.ends() < aloneFrom {
		return Free{}
	}
	if refused, is := t.refuse(s, now, others); is {
		s.turnedAway++
		t.turnedAway.Add(1)
		return refused
	}
	switch {
	case s.deciding != nil:
		return Wait{Over: s.deciding}
	case t.alone[replica] > 0, s.endedLately(replica, now):
		return Elsewhere{}
	}
	return t.runAlone(s, replica)
}

// refuse reports whether the content must not run now. The mutex is held.
func (t *Table) refuse(s *suspect, now time.Time, others func() []string) (Refused, bool) {
	since := now.Sub(s.endedAt)
	refused := Refused{Ended: s.ends()}
	switch {
	case s.refused() && (s.Keeper != t.machine || s.Retried):
		refused.RetryAfter, refused.Final = refusal.Quarantined.RetryAfter, true
	case s.refused() && since < retryAfterEnd:
		refused.RetryAfter = retryAfterEnd - since
	case s.deciding == nil && since < aloneWait && !s.anyUp(others(), now):
		refused.RetryAfter = min(refusal.SuspectAlone.RetryAfter, aloneWait-since)
	default:
		return Refused{}, false
	}
	return refused, true
}

// mayRetry reports whether a refused content may run once more from here. The mutex is
// held.
func (t *Table) mayRetry(s *suspect, now time.Time) bool {
	return s.Keeper == t.machine && !s.Retried && now.Sub(s.endedAt) >= retryAfterEnd
}

// anyUp reports whether one of the replicas did not end under the content lately.
func (s *suspect) anyUp(replicas []string, now time.Time) bool {
	return slices.ContainsFunc(replicas, func(id string) bool { return !s.endedLately(id, now) })
}

// runAlone begins the one run that the content may have now. The mutex is held.
func (t *Table) runAlone(s *suspect, name string) Alone {
	over := make(chan struct{})
	s.deciding = over
	t.alone[name]++
	if s.refused() {
		t.change(s, func() { s.Retried, s.ownChange = true, true })
		t.announce(s)
	}
	t.logger.Info("suspect runs alone", zap.String("content", s.Digest.Short()), zap.String("replica", replica.Incarnation(name).ID()), zap.String("start", name),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()), zap.Bool("refused", s.refused()), zap.Duration("since_end", t.now().Sub(s.endedAt)))
	var once sync.Once
	return Alone{End: func() { once.Do(func() { t.endAlone(s, name, over) }) }}
}

func (t *Table) endAlone(s *suspect, replica string, over chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.deciding = nil
	close(over)
	t.alone[replica]--
	if t.alone[replica] <= 0 {
		delete(t.alone, replica)
	}
}

// entry returns the entry of a content, made if there is none. The mutex is held.
func (t *Table) entry(digest Digest) *suspect {
	s := t.entries[digest]
	if s == nil {
		if len(t.entries) >= capacity {
			t.forgetOne()
		}
		s = &suspect{Entry: Entry{Digest: digest}, usedAt: t.now()}
		t.entries[digest] = s
	}
	return s
}

// change makes a change of an entry and brings what hangs on it up to date. The mutex is
// held.
func (t *Table) change(s *suspect, apply func()) {
	was := s.active()
	apply()
	is := s.active()
	switch {
	case is && !was:
		t.active.Add(1)
	case was && !is:
		t.active.Add(-1)
	}
	s.usedAt = t.now()
	s.recordAfter = s.usedAt.Add(leaveToOther)
	t.wakeRecorder()
}

// announce has the other daemons told of an entry. The mutex is held.
func (t *Table) announce(s *suspect) {
	t.changed[s.Digest] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// takeChanged returns the contents that others have not been told of.
func (t *Table) takeChanged() []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return changed
}

// entriesOf returns the entries of contents, as they are now.
func (t *Table) entriesOf(digests []Digest) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, digest := range digests {
		if s := t.entries[digest]; s != nil {
			entries = append(entries, s.copied())
		}
	}
	return entries
}
