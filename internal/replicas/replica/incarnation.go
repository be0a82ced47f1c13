package replica

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Incarnation names one life of a replica's process: its id, with when it started if it says
// so. A replica that starts again under its id holds and knows nothing of before.
type Incarnation string

// startSeparator stands between an id and the time of its start, in milliseconds.
const startSeparator = "@"

// Incarnation names the life of the process that the entry is of.
func (e Entry) Incarnation() Incarnation {
	if e.StartedAt.IsZero() {
		return Incarnation(e.ID)
	}
	return Incarnation(e.ID + startSeparator + strconv.FormatInt(e.StartedAt.UnixMilli(), 10))
}

// HasStartTime reports whether the name tells two incarnations of a replica apart, so that its
// process can end only once.
func (i Incarnation) HasStartTime() bool {
	_, ok := i.split()
	return ok
}

// ID returns the id of the replica.
func (i Incarnation) ID() string {
	id, _ := i.split()
	return id
}

// split returns the id of a name, and whether the name says when the process started.
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

// OnRestart sets what is called with the address at which a replica was listed when it is
// known to have started again, or under which it is listed since: connections that rest
// there lead to a process that has ended. It is called with the table locked, and must not
// call the table. It is set before any other method is called.
func (t *Table) OnRestart(restarted func(address netip.AddrPort)) { t.onRestart = restarted }

// ObserveStart notes what a replica itself says of when it started. It reports whether that is
// the incarnation that is meant. After a later one, what was known of the replica is forgotten.
func (t *Table) ObserveStart(meant Replica, born time.Time) bool {
	if born.IsZero() || meant.StartedAt.IsZero() || born.Equal(meant.StartedAt) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if listed := t.entries[meant.ID]; listed != nil && born.After(listed.StartedAt) {
		entry := listed.Entry
		entry.StartedAt, entry.Versions = born, nil
		t.logChanges(t.set(entry, nil))
		t.notify()
	}
	return false
}

// ListedIncarnations returns the incarnations that are listed, also of replicas that drain or can't be
// used.
func (t *Table) ListedIncarnations() map[Incarnation]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[Incarnation]bool, len(t.entries))
	for _, l := range t.entries {
		present[l.Incarnation()] = true
	}
	return present
}

// acceptEntry makes an entry one of the newest incarnation that is known, and reports whether it
// is. An entry of an earlier one was written late, or is left of a compaction. The mutex
// is held.
func (t *Table) acceptEntry(entry *Entry) bool {
	newest, ok := t.newest[entry.ID]
	switch {
	case !ok:
	case entry.StartedAt.IsZero():
		entry.StartedAt = newest.StartedAt
	case entry.StartedAt.Before(newest.StartedAt):
		t.logger.Info("entry of an earlier start passed over", zap.String("replica", entry.ID),
			zap.Time("born", entry.StartedAt), zap.Time("known", newest.StartedAt))
		return false
	case entry.StartedAt.After(newest.StartedAt):
		t.handleRestart(newest, *entry)
	}
	t.newest[entry.ID] = *entry
	return true
}

// handleRestart forgets an incarnation that another one of the same id follows. What is under way
// there is still counted, for that one. The mutex is held.
func (t *Table) handleRestart(before, now Entry) {
	inFlight := 0
	if e := t.stats[before.Incarnation()]; e != nil {
		inFlight = e.inFlight
		e.removedAt, e.lastEntry = t.now(), Entry{}
	}
	t.logger.Info("replica started again", zap.String("replica", now.ID), zap.String("service", now.Service),
		zap.Stringer("address", now.Address),
		zap.Time("born", now.StartedAt), zap.Time("before", before.StartedAt), zap.Int("in_flight_before", inFlight))
	t.onRestart(before.Address)
	if now.Address != before.Address {
		t.onRestart(now.Address)
	}
}
