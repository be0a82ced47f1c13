// Package quarantine detects requests that crash the replicas running them, and refuses such
// requests before they crash more replicas.
//
// A request may crash the process that runs it. If its caller repeats it, possibly at another
// daemon, each attempt costs another replica and every request running there. Daemons therefore
// record each content (tenant, destination and body of a request) under which a replica has
// ended, and share these records. Requests that merely ran on the same replica are suspected as
// well, so the restrictions increase with the number of ends:
//
//   - One end: the content is suspected. It may run as before, but without a hedge.
//   - Two ends: it runs only in isolation, that is, one run at a time from a daemon, at a
//     replica without another isolated run. Shortly after an end, the service must also have a
//     second replica available. A harmless content is answered in such a run.
//   - Three ends: it is refused. The daemon that saw the third end (the keeper) runs it once
//     more after a delay, which clears contents that were suspected three times by coincidence.
//
// A request that was handed in to run later (Content.Owed) is not refused: from the third end on it
// runs in isolation too, seconds after the last end.
//
// Any complete answer clears a content at once. Ends are counted per incarnation of a replica,
// so the count does not depend on which daemons observe an end or how often they report it.
// Throughout this package, replicas are identified by their incarnations.
//
// While no content is suspected, checking a request costs one atomic load.
//
// The package owns the table of suspected contents of this daemon and the rules for them
// (verdict.go; owed.go and burst.go for owed contents). Package forward reports the outcome of attempts; peers (Gossiper) and the
// journal (Recorder) supply the entries of other daemons.
//
// Invariants: an entry with a higher epoch replaces one with a lower epoch; within an epoch,
// end counts never decrease; the keeper runs a refused content at most once per epoch.
//
// # Usage
//
//	switch decision := table.Decide(content, replica, others).(type) {
//	case quarantine.Allowed:
//		// run it, then:
//		table.Answered(content) // or table.ReplicaEnded(content, replica, service)
//	case quarantine.Isolated:
//		defer decision.End()
//		// run it and report its outcome as above, before End
//	case quarantine.Refused:
//		// answer the caller that the request was not run
//	}
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
)

// Table holds the contents under which replicas have ended, as known to this daemon. It is safe
// for concurrent use.
type Table struct {
	machine string
	now     bootclock.Clock
	logger  *zap.Logger
	// activeCount is the number of active entries. While it is 0, requests are not looked up.
	activeCount atomic.Int64
	// turnedAway counts refused attempts.
	turnedAway atomic.Uint64

	mu      sync.Mutex
	entries map[Digest]*suspect
	// isolatedRuns maps each replica to the number of isolated runs that this daemon has in
	// progress there. Replicas without one are not listed.
	isolatedRuns map[string]int
	// recentEnds are the ends of replicas under any content.
	recentEnds recentEnds
	// changed holds the contents to announce to other daemons. wake is signalled when a content
	// is added to changed, unrecorded when the journal may be out of date.
	changed          map[Digest]bool
	wake, unrecorded chan struct{}
}

// New returns the empty table of a daemon. machine is the name by which other daemons know this
// daemon's machine.
func New(machine string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{machine: machine, now: now, logger: logger, entries: map[Digest]*suspect{}, isolatedRuns: map[string]int{},
		changed: map[Digest]bool{}, wake: make(chan struct{}, 1), unrecorded: make(chan struct{}, 1)}
}

// NoneSuspected reports whether no content is suspected or refused, without taking a lock.
func (t *Table) NoneSuspected() bool { return t.activeCount.Load() == 0 }

// ensureEntry returns the entry of a content, creating it if it is missing. If the table is
// full, another entry is evicted. t.mu must be held.
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

// update calls apply to modify the entry, then updates activeCount and the entry's timestamps
// and signals the recorder. t.mu must be held.
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

// announce queues an entry to be sent to other daemons. t.mu must be held.
func (t *Table) announce(s *suspect) {
	t.changed[s.Digest] = true
	signal(t.wake)
}

// signal wakes the receiver of a channel without blocking. A signal sent while the receiver is
// busy is kept until its next receive; further signals until then have no effect. The channel
// must have a buffer of one.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// takeChanged returns the contents that are queued to be announced, and empties the queue.
func (t *Table) takeChanged() []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return changed
}

// deterministic encodes equal entries to equal bytes, whatever the order of their maps.
var deterministic = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// EncodedEntry returns the encoded entry of a content, or nil if no replica has ended under it. Equal
// entries have equal encodings.
func (t *Table) EncodedEntry(content *Content) ([]byte, error) {
	if t.NoneSuspected() {
		return nil, nil
	}
	entries := t.entriesOf([]Digest{content.Digest()})
	if len(entries) == 0 || len(entries[0].Ended) == 0 {
		return nil, nil
	}
	return deterministic.Marshal(entries[0])
}

// MergeEncoded merges an entry that EncodedEntry returned at another daemon. from names its source
// in the log. heldFor is how long owed runs of the content have been held back elsewhere already.
func (t *Table) MergeEncoded(encoded []byte, from string, heldFor time.Duration) error {
	var entry Entry
	if err := cbor.Unmarshal(encoded, &entry); err != nil {
		return errors.Wrap(err, "quarantine: decode entry")
	}
	t.Merge([]Entry{entry}, from)
	if heldFor > 0 {
		t.inheritHold(entry.Digest, heldFor)
	}
	return nil
}

// suspected returns the contents that are suspected or refused.
func (t *Table) suspected() []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var digests []Digest
	for digest, s := range t.entries {
		if len(s.Ended) > 0 {
			digests = append(digests, digest)
		}
	}
	return digests
}

// entriesOf returns copies of the current entries of the contents. Contents without an entry are
// omitted.
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
