package replica

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Start names one start of a replica's process: its id, with when it started if it tells
// that. A replica that starts again under its id holds and knows nothing of before.
type Start string

// bornSeparator stands between an id and the time of a start, in milliseconds.
const bornSeparator = "@"

// Start names the start that the entry tells of.
func (entry Entry) Start() Start {
	if entry.Born.IsZero() {
		return Start(entry.ID)
	}
	return Start(entry.ID + bornSeparator + strconv.FormatInt(entry.Born.UnixMilli(), 10))
}

// EndsOnce reports whether the name tells two starts of a replica apart, so that its
// process can end only once.
func (start Start) EndsOnce() bool {
	_, told := start.split()
	return told
}

// ID returns the id of the replica.
func (start Start) ID() string {
	id, _ := start.split()
	return id
}

// split returns the id of a name, and whether the name tells when the process started.
func (start Start) split() (id string, told bool) {
	at := strings.LastIndex(string(start), bornSeparator)
	if at < 0 {
		return string(start), false
	}
	if _, err := strconv.ParseInt(string(start[at+1:]), 10, 64); err != nil {
		return string(start), false
	}
	return string(start[:at]), true
}

// OnRestart sets what is told of the address at which a replica was listed when it is
// known to have started again, or under which it is listed since: connections that rest
// there lead to a process that has ended. It is called with the table locked, and must not
// call the table. It is set before any other method is called.
func (table *Table) OnRestart(restarted func(address string)) { table.restarted = restarted }

// Seen notes what a replica itself says of when it started. It reports whether that is
// the start that is meant. After a later one, what was known of the replica is forgotten.
func (table *Table) Seen(meant Replica, born time.Time) bool {
	if born.IsZero() || meant.Born.IsZero() || born.Equal(meant.Born) {
		return true
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if listed := table.entries[meant.ID]; listed != nil && born.After(listed.Born) {
		entry := listed.Entry
		entry.Born, entry.Versions = born, nil
		table.tell(table.set(entry, nil))
		table.notify()
	}
	return false
}

// Present returns the starts that are listed, also of replicas that drain or can't be
// used.
func (table *Table) Present() map[Start]bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	present := make(map[Start]bool, len(table.entries))
	for _, each := range table.entries {
		present[each.Start()] = true
	}
	return present
}

// succeeds makes an entry tell of the newest start that is known, and reports whether it
// does. An entry of an earlier one was written late, or is left of a compaction. The mutex
// is held.
func (table *Table) succeeds(entry *Entry) bool {
	newest, known := table.newest[entry.ID]
	switch {
	case !known:
	case entry.Born.IsZero():
		entry.Born = newest.Born
	case entry.Born.Before(newest.Born):
		table.logger.Info("entry of an earlier start passed over", zap.String("replica", entry.ID),
			zap.Time("born", entry.Born), zap.Time("known", newest.Born))
		return false
	case entry.Born.After(newest.Born):
		table.startAgain(newest, *entry)
	}
	table.newest[entry.ID] = *entry
	return true
}

// startAgain forgets a start that another one of the same id follows. What is under way
// there is still counted, for that start. The mutex is held.
func (table *Table) startAgain(before, now Entry) {
	inFlight := 0
	if learned := table.learned[before.Start()]; learned != nil {
		inFlight = learned.inFlight
		learned.goneAt, learned.last = table.now(), Entry{}
	}
	table.logger.Info("replica started again", zap.String("replica", now.ID), zap.String("service", now.Service), zap.String("address", now.Address),
		zap.Time("born", now.Born), zap.Time("before", before.Born), zap.Int("in_flight_before", inFlight))
	if table.restarted == nil {
		return
	}
	table.restarted(before.Address)
	if now.Address != before.Address {
		table.restarted(now.Address)
	}
}
