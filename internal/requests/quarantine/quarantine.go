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
// by incarnation of a replica, so that it does not matter which daemons saw them or how often
// they tell. Replicas are named by their incarnations everywhere here.
//
// Nothing is looked up for a request while no content is suspected: that costs one load
// of a counter.
//
// The package owns the table of suspected contents of this daemon and the rules on them
// (verdict.go). It relies on forward to tell what became of replicas, on peers (Spreader) and
// the journal (Recorder) to learn what other daemons know.
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

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
)

// Table is what a daemon knows of contents under which replicas have ended. It is safe
// for concurrent use.
type Table struct {
	machine string
	now     bootclock.Clock
	logger  *zap.Logger
	// activeCount counts the entries that are: while there is none, no request is looked up.
	activeCount atomic.Int64
	// turnedAway counts tries that were refused.
	turnedAway atomic.Uint64

	mu      sync.Mutex
	entries map[Digest]*suspect
	// isolatedRuns counts the runs isolatedRuns from here at each replica.
	isolatedRuns map[string]int
	// changed are the contents to tell other daemons of; wake says that there are some.
	// unrecorded says that the journal may lack something.
	changed          map[Digest]bool
	wake, unrecorded chan struct{}
}

// New returns an empty table of a machine.
func New(machine string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{machine: machine, now: now, logger: logger, entries: map[Digest]*suspect{}, isolatedRuns: map[string]int{},
		changed: map[Digest]bool{}, wake: make(chan struct{}, 1), unrecorded: make(chan struct{}, 1)}
}

// NoneSuspected reports whether no content is suspected.
func (t *Table) NoneSuspected() bool { return t.activeCount.Load() == 0 }

// ensureEntry returns the ensureEntry of a content, made if there is none. The mutex is held.
func (t *Table) ensureEntry(digest Digest) *suspect {
	s := t.entries[digest]
	if s == nil {
		if len(t.entries) >= maxEntries {
			t.evictOne()
		}
		s = &suspect{Entry: Entry{Digest: digest}, usedAt: t.now()}
		t.entries[digest] = s
	}
	return s
}

// update makes a update of an entry and brings what hangs on it up to date. The mutex is
// held.
func (t *Table) update(s *suspect, apply func()) {
	was := s.active()
	apply()
	is := s.active()
	switch {
	case is && !was:
		t.activeCount.Add(1)
	case was && !is:
		t.activeCount.Add(-1)
	}
	s.usedAt = t.now()
	s.recordAfter = s.usedAt.Add(otherWriterDelay)
	signal(t.unrecorded)
}

// announce has the other daemons told of an entry. The mutex is held.
func (t *Table) announce(s *suspect) {
	t.changed[s.Digest] = true
	signal(t.wake)
}

// signal wakes who waits, or has them look again once they have looked.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
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
			entries = append(entries, s.cloneEntry())
		}
	}
	return entries
}
