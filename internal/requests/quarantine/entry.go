package quarantine

import (
	"maps"
	"slices"
	"time"

	"woodworks/internal/replicas/replica"
)

// Entry is what is known of a content under which replicas have ended. Two entries of a
// content merge to the same one at every daemon, in whatever order they come.
type Entry struct {
	Digest Digest `cbor:"1,keyasint" json:"-"`
	// Epoch rises with each answer that the content gets and each time that an operator
	// lifts its refusal. What is known of an earlier epoch counts no more.
	Epoch int64 `cbor:"2,keyasint" json:"epoch"`
	// Ended counts, by replica, how often each ended under the content in this epoch. A
	// replica is named by its incarnation (replica.Incarnation), so that one that starts again under
	// its id can be told from the one that ended; where it doesn't tell when it started,
	// that is its id, and each end that is sameEnd after the last counts.
	Ended map[string]int `cbor:"3,keyasint" json:"replicas_ended"`
	// Keeper is the machine that may find out whether the refused content still ends
	// replicas, and Retried says that it has begun to.
	Keeper  string `cbor:"4,keyasint" json:"keeper,omitempty"`
	Retried bool   `cbor:"5,keyasint" json:"retried,omitempty"`
	// Label tells an operator what the content is.
	Label Label `cbor:"6,keyasint" json:"request"`
}

// Label is what an operator is told of a content: the beginning of each text, of labelBytes
// at most.
type Label struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Caller  string `cbor:"2,keyasint" json:"caller,omitempty"`
	Method  string `cbor:"3,keyasint" json:"method"`
	Host    string `cbor:"4,keyasint" json:"host"`
	Target  string `cbor:"5,keyasint" json:"target"`
	Bytes   int    `cbor:"6,keyasint" json:"body_bytes"`
}

// maxLabelBytes bounds each text of a label: callers choose some of them, and an entry must
// fit a record.
const maxLabelBytes = 256

func labelOf(content *Content, service string) Label {
	head := func(text string) string { return text[:min(len(text), maxLabelBytes)] }
	return Label{Service: head(service), Caller: head(content.Caller), Method: head(content.Method), Host: head(content.Host),
		Target: head(content.Target), Bytes: len(content.Body)}
}

// ends is how often a replica ended under the content.
func (e *Entry) ends() int {
	total := 0
	for _, times := range e.Ended {
		total += times
	}
	return total
}

// replicas returns the replicas that ended under the content, in order.
func (e *Entry) replicas() []string { return slices.Sorted(maps.Keys(e.Ended)) }

// refused reports whether the content must not run any more.
func (e *Entry) refused() bool { return e.ends() >= minEndsToRefuse }

// suspect is an entry with what concerns only this daemon.
type suspect struct {
	Entry
	// brokenAt are replicas on which a connection ended under the content while it is not
	// known yet whether the process did, with when that was.
	brokenAt map[string]time.Time
	// endSeenAt is when the last end of each replica was learned of here, endedAt the newest
	// of these; usedAt is when the entry was last changed or asked for.
	endSeenAt         map[string]time.Time
	lastEndAt, usedAt time.Time
	// turnedAway counts tries that were refused here.
	turnedAway uint64
	// isolatedRun is not nil while a run alone is under way from here; it is closed with it.
	isolatedRun chan struct{}
	// journaled is the entry as the journal has it, nil if it has none. A difference that
	// comes from here (ownChange) is written at once, any other only after recordAfter, in
	// case the daemon that made it has gone.
	journaled   *Entry
	changedHere bool
	recordAfter time.Time
}

// active reports whether requests must be looked up for the entry's sake.
func (s *suspect) active() bool { return len(s.Ended) > 0 || len(s.brokenAt) > 0 }

// setLabel names the content to operators, if that was not done.
func (s *suspect) setLabel(content *Content, service string) {
	if s.Label == (Label{}) {
		s.Label = labelOf(content, service)
	}
}

// merge takes in what another daemon knows. It reports whether that changed the entry.
func (s *suspect) merge(other Entry, now time.Time) bool {
	if other.Epoch < s.Epoch {
		return false
	}
	changed := other.Epoch > s.Epoch
	if changed {
		s.Entry = Entry{Digest: s.Digest, Epoch: other.Epoch, Label: s.Label}
		s.brokenAt, s.endSeenAt = nil, nil
	}
	for replica, times := range other.Ended {
		changed = s.raiseEnds(replica, times, now) || changed
	}
	if other.Keeper != "" && (s.Keeper == "" || other.Keeper < s.Keeper) {
		s.Keeper, changed = other.Keeper, true
	}
	if other.Retried && !s.Retried {
		s.Retried, changed = true, true
	}
	if s.Label == (Label{}) {
		s.Label = other.Label
	}
	return changed
}

// addEnd notes an end of a replica. It reports whether it is a new one, and not that
// which another run of the content, here or at another daemon, has shown.
func (s *suspect) addEnd(name string, now time.Time) bool {
	seen, before := s.endSeenAt[name]
	if before && (replica.Incarnation(name).EndsOnce() || now.Sub(seen) < endDedupWindow) {
		return false
	}
	return s.raiseEnds(name, s.Ended[name]+1, now)
}

// raiseEnds sets how often a replica ended, if that is more than is known. Replicas beyond
// endedKept count no more.
func (s *suspect) raiseEnds(replica string, times int, now time.Time) bool {
	before, named := s.Ended[replica]
	if times <= before || !named && len(s.Ended) >= maxEndedReplicas {
		return false
	}
	if s.Ended == nil {
		s.Ended = map[string]int{}
	}
	if s.endSeenAt == nil {
		s.endSeenAt = map[string]time.Time{}
	}
	s.Ended[replica], s.endSeenAt[replica], s.lastEndAt = times, now, now
	return true
}

// endedRecently reports whether a replica ended under the content so short a time ago that
// it is hardly back.
func (s *suspect) endedRecently(replica string, now time.Time) bool {
	seen, ended := s.endSeenAt[replica]
	return ended && now.Sub(seen) < replicaRestartTimeout
}

func (s *suspect) cloneEntry() Entry {
	copied := s.Entry
	copied.Ended = maps.Clone(s.Ended)
	return copied
}
