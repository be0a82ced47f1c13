package quarantine

import (
	"maps"
	"slices"
	"time"

	"woodworks/internal/replicas/replica"
)

// Entry is the shared state of a content under which replicas have ended. Merging entries of
// the same content gives the same result at every daemon, in any order.
type Entry struct {
	Digest Digest `cbor:"1,keyasint" json:"-"`
	// Epoch increases whenever the content is answered or an operator lifts its refusal.
	// Evidence from an earlier epoch is ignored.
	Epoch int64 `cbor:"2,keyasint" json:"epoch"`
	// Ended maps each replica to the number of times that it ended under the content in this
	// epoch. Keys are incarnations (replica.Incarnation), so that a restarted replica is
	// distinct from the one that ended. If the start time of a replica is unknown, its key is
	// the plain id, and ends at least endDedupWindow apart count separately.
	Ended map[string]int `cbor:"3,keyasint" json:"replicas_ended"`
	// Keeper is the machine whose daemon may run a refused content once more, to check whether
	// the content still ends replicas. Retried reports whether that run has started.
	Keeper  string `cbor:"4,keyasint" json:"keeper,omitempty"`
	Retried bool   `cbor:"5,keyasint" json:"retried,omitempty"`
	// Label describes the content to operators.
	Label Label `cbor:"6,keyasint" json:"request"`
}

// Label describes a content to operators. Each text is cut to maxLabelBytes.
type Label struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Caller  string `cbor:"2,keyasint" json:"caller,omitempty"`
	Method  string `cbor:"3,keyasint" json:"method"`
	Host    string `cbor:"4,keyasint" json:"host"`
	Target  string `cbor:"5,keyasint" json:"target"`
	Bytes   int    `cbor:"6,keyasint" json:"body_bytes"`
}

// maxLabelBytes is the maximum length of each text of a Label. Callers control some of the
// texts, and an entry must fit into one journal record.
const maxLabelBytes = 256

// labelOf returns the label of a content, with each text cut to maxLabelBytes.
func labelOf(content *Content, service string) Label {
	head := func(text string) string { return text[:min(len(text), maxLabelBytes)] }
	return Label{Service: head(service), Caller: head(content.Caller), Method: head(content.Method), Host: head(content.Host),
		Target: head(content.Target), Bytes: len(content.Body)}
}

// ends returns the total number of times that a replica ended under the content.
func (e *Entry) ends() int {
	total := 0
	for _, times := range e.Ended {
		total += times
	}
	return total
}

// replicas returns the incarnations that ended under the content, sorted.
func (e *Entry) replicas() []string { return slices.Sorted(maps.Keys(e.Ended)) }

// refused reports whether enough replicas have ended under the content to refuse it.
func (e *Entry) refused() bool { return e.ends() >= minEndsToRefuse }

// suspect is an Entry with state that is local to this daemon. Table.mu guards it.
type suspect struct {
	Entry
	// brokenAt maps each replica whose connection broke while it ran the content to the time of
	// the break. A replica is listed only as long as it is unknown whether its process has
	// ended.
	brokenAt map[string]time.Time
	// endSeenAt maps each ended replica to the time at which this daemon learned of the
	// replica's last end, and lastEndAt is the latest of these times. usedAt is when the entry
	// was last updated or looked up by Decide.
	endSeenAt         map[string]time.Time
	lastEndAt, usedAt time.Time
	// turnedAway counts the attempts that this daemon refused.
	turnedAway uint64
	// isolatedRun is not nil while an isolated run of the content, started by this daemon, is in
	// progress. The channel is closed when the run ends. If several are in progress, it belongs to the one that
	// started last.
	isolatedRun chan struct{}
	// ownEnds are the recent ends under the content, also some that the entry has no room for.
	ownEnds recentEnds
	// heldSince is since when owed runs of the content are held back here, zero if none has been since
	// the last isolated run. lastHeldAt is when one was held back last.
	heldSince, lastHeldAt time.Time
	// isolatedRunEndedAt is when the last isolated run here ended.
	isolatedRunEndedAt time.Time
	// journaled is the entry as stored in the journal, or nil if the journal has none. If
	// journaled differs from Entry because of a change made by this daemon (changedHere), this
	// daemon writes the entry as soon as it is due. After a change made by another daemon, this
	// daemon writes the entry only from recordAfter on, in case the other daemon has stopped.
	journaled   *Entry
	changedHere bool
	recordAfter time.Time
}

// active reports whether the entry has ended replicas or broken connections. While no entry is
// active, requests are not checked.
func (s *suspect) active() bool { return len(s.Ended) > 0 || len(s.brokenAt) > 0 }

// setLabel sets the label of the entry unless it already has one.
func (s *suspect) setLabel(content *Content, service string) {
	if s.Label == (Label{}) {
		s.Label = labelOf(content, service)
	}
}

// merge applies the entry of another daemon and reports whether s has changed. A higher epoch
// replaces the entry. Within an epoch, counts of ends only grow, the smallest keeper name wins
// and Retried stays set.
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

// addEnd counts one end of a replica. It returns false if the end is already counted because
// another run of the content, here or at another daemon, has reported it.
func (s *suspect) addEnd(name string, now time.Time) bool {
	seen, before := s.endSeenAt[name]
	if before && (replica.Incarnation(name).HasStartTime() || now.Sub(seen) < endDedupWindow) {
		return false
	}
	return s.raiseEnds(name, s.Ended[name]+1, now)
}

// raiseEnds sets the number of ends of a replica to times if that is more than the current
// number, and reports whether it did. Once the entry lists maxEndedReplicas replicas, further
// replicas are ignored.
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

// endedRecently reports whether the replica ended under the content within recentEndMaxAge. Such
// a replica has probably not been replaced yet.
func (s *suspect) endedRecently(replica string, now time.Time) bool {
	seen, ended := s.endSeenAt[replica]
	return ended && now.Sub(seen) < recentEndMaxAge
}

// cloneEntry returns a copy of the entry that shares no map with the original.
func (s *suspect) cloneEntry() Entry {
	copied := s.Entry
	copied.Ended = maps.Clone(s.Ended)
	return copied
}
