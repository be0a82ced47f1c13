package replica

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Start names one start of a replica's process: its id, with when it started if it says
// so. A replica that starts again under its id holds and knows nothing of before.
type Start string

// bornSeparator stands between an id and the time of a start, in milliseconds.
const bornSeparator = "@"

// Start names the start that the entry is of.
func (e Entry) Start() Start {
	if e.Born.IsZero() {
		return Start(e.ID)
	}
	return Start(e.ID + bornSeparator + strconv.FormatInt(e.Born.UnixMilli(), 10))
}

// EndsOnce reports whether the name tells two starts of a replica apart, so that its
// process can end only once.
func (s Start) EndsOnce() bool {
	_, ok := s.split()
	return ok
}

// ID returns the id of the replica.
func (s Start) ID() string {
	id, _ := s.split()
	return id
}

// split returns the id of a name, and whether the name says when the process started.
func (s Start) split() (id string, ok bool) {
	at := strings.LastIndex(string(s), bornSeparator)
	if at < 0 {
		return string(s), false
	}
	if _, err := strconv.ParseInt(string(s[at+1:]), 10, 64); err != nil {
		return string(s), false
	}
	return string(s[:at]), true
}

// OnRestart sets what is called with the address at which a replica was listed when it is
// known to have started again, or under which it is listed since: connections that rest
// there lead to a process that has ended. It is called with the table locked, and must not
// call the table. It is set before any other method is called.
func (t *Table) OnRestart(restarted func(address string)) { t.restarted = restarted }

// Seen notes what a replica itself says of when it started. It reports whether that is
// the start that is meant. After a later one, what was known of the replica is forgotten.
func (t *Table) Seen(meant Replica, born time.Time) bool {
	if born.IsZero() || meant.Born.IsZero() || born.Equal(meant.Born) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if listed := t.entries[meant.ID]; listed != nil && born.After(listed.Born) {
		entry := listed.Entry
		entry.Born, entry.Versions = born, nil
		t.logChanges(t.set(entry, nil))
		t.notify()
	}
	return false
}

// Present returns the starts that are listed, also of replicas that drain or can't be
// used.
func (t *Table) Present() map[Start]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[Start]bool, len(t.entries))
	for _, l := range t.entries {
		present[l.Start()] = true
	}
	return present
}

// isNewest makes an entry one of the newest start that is known, and reports whether it
// is. An entry of an earlier one was written late, or is left of a compaction. The mutex
// is held.
func (t *Table) isNewest(entry *Entry) bool {
	newest, ok := t.newest[entry.ID]
	switch {
	case !ok:
	case entry.Born.IsZero():
		entry.Born = newest.Born
	case entry.Born.Before(newest.Born):
		t.logger.Info("entry of an earlier start passed over", zap.String("replica", entry.ID),
			zap.Time("born", entry.Born), zap.Time("known", newest.Born))
		return false
	case entry.Born.After(newest.Born):
		t.restart(newest, *entry)
	}
	t.newest[entry.ID] = *entry
	return true
}

// restart forgets a start that another one of the same id follows. What is under way
// there is still counted, for that start. The mutex is held.
func (t *Table) restart(before, now Entry) {
	inFlight := 0
	if e := t.learned[before.Start()]; e != nil {
		inFlight = e.inFlight
		e.goneAt, e.last = t.now(), Entry{}
	}
	t.logger.Info("replica started again", zap.String("replica", now.ID), zap.String("service", now.Service), zap.String("address", now.Address),
		zap.Time("born", now.Born), zap.Time("before", before.Born), zap.Int("in_flight_before", inFlight))
	t.restarted(before.Address)
	if now.Address != before.Address {
		t.restarted(now.Address)
	}
}
