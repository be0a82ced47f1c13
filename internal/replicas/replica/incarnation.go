package replica

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Incarnation identifies one life of a replica's process: the id of the replica, followed by the
// start time of the process if the replica reports one. A replica that restarts under the same id
// has none of the state of its earlier incarnation.
type Incarnation string

// startSeparator separates the id from the start time, which is in Unix milliseconds.
const startSeparator = "@"

// Incarnation returns the incarnation that the entry describes.
func (e Entry) Incarnation() Incarnation {
	if e.StartedAt.IsZero() {
		return Incarnation(e.ID)
	}
	return Incarnation(e.ID + startSeparator + strconv.FormatInt(e.StartedAt.UnixMilli(), 10))
}

// HasStartTime reports whether the incarnation contains a start time. An Incarnation with a start
// time identifies one process, which can end only once; one without is shared by all processes of
// the replica.
func (i Incarnation) HasStartTime() bool {
	_, ok := i.split()
	return ok
}

// ID returns the id of the replica.
func (i Incarnation) ID() string {
	id, _ := i.split()
	return id
}

// split returns the id, and whether a start time follows it.
func (i Incarnation) split() (id string, ok bool) {
	at := strings.LastIndex(string(i), startSeparator)
	if at < 0 {
		return string(i), false
	}
	if _, err := strconv.ParseInt(string(i[at+1:]), 10, 64); err != nil {
		return string(i), false
	}
	return string(i[:at]), true
}

// OnRestart sets the function that is called when a replica has restarted, with its address
// before the restart and, if it differs, with the address after it. Idle connections to these
// addresses lead to a process that has ended. The function is called with the mutex held and
// must not call the table. OnRestart must be called before any other method.
func (t *Table) OnRestart(restarted func(address netip.AddrPort)) { t.onRestart = restarted }

// ObserveStart records the start time that a replica itself reported. It reports whether this is
// the start time of the incarnation that the caller addressed, and returns true if either start
// time is unknown. If the reported start is after that of the listed incarnation, the new
// incarnation replaces the listed one before the replica's new entry arrives.
func (t *Table) ObserveStart(addressed Replica, startedAt time.Time) bool {
	if startedAt.IsZero() || addressed.StartedAt.IsZero() || startedAt.Equal(addressed.StartedAt) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if listed := t.entries[addressed.ID]; listed != nil && startedAt.After(listed.StartedAt) {
		entry := listed.Entry
		entry.StartedAt, entry.Versions = startedAt, nil
		t.logChanges(t.set(entry, nil))
		t.notify()
	}
	return false
}

// SoundIncarnations returns the incarnations of which the list shows no crash: those in it, including replicas
// that are draining or unusable, and those that were draining when they left it.
func (t *Table) SoundIncarnations() map[Incarnation]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sound := make(map[Incarnation]bool, len(t.entries))
	for _, l := range t.entries {
		sound[l.Incarnation()] = true
	}
	for i, s := range t.stats {
		if s.lastEntry.Draining && !s.removedAt.IsZero() {
			sound[i] = true
		}
	}
	return sound
}

// acceptEntry reports whether the entry is of the newest known incarnation of its replica or of a
// newer one, and if so records the entry as the newest. An entry of an earlier incarnation was
// written late or has remained after a compaction. An entry without a start time is taken to be of
// the newest known incarnation and gets the start time of that incarnation. The mutex must be
// held.
func (t *Table) acceptEntry(entry *Entry) bool {
	newest, ok := t.newest[entry.ID]
	switch {
	case !ok:
	case entry.StartedAt.IsZero():
		entry.StartedAt = newest.StartedAt
	case entry.StartedAt.Before(newest.StartedAt):
		t.logger.Info("entry of an earlier incarnation ignored", zap.String("replica", entry.ID),
			zap.Time("born", entry.StartedAt), zap.Time("known", newest.StartedAt))
		return false
	case entry.StartedAt.After(newest.StartedAt):
		t.handleRestart(newest, *entry)
	}
	t.newest[entry.ID] = *entry
	return true
}

// handleRestart marks the stats of an incarnation that was replaced by a newer one as removed, so
// that they expire, and calls onRestart. Requests in flight to the earlier incarnation remain
// counted in the stats of that incarnation. The mutex must be held.
func (t *Table) handleRestart(before, now Entry) {
	inFlight := 0
	if s := t.stats[before.Incarnation()]; s != nil {
		inFlight = s.inFlight
		s.removedAt, s.lastEntry = t.now(), Entry{}
	}
	t.logger.Info("replica started again", zap.String("replica", now.ID), zap.String("service", now.Service),
		zap.Stringer("address", now.Address),
		zap.Time("born", now.StartedAt), zap.Time("before", before.StartedAt), zap.Int("in_flight_before", inFlight))
	t.onRestart(before.Address)
	if now.Address != before.Address {
		t.onRestart(now.Address)
	}
}
