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
// by replica, so that it does not matter which daemons saw them or how often they tell.
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
//	switch got := table.Admit(content, replica, others).(type) {
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
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/bootclock"
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
	// sameEnd is within which time two ends of a replica are one: several runs of a
	// content show it within milliseconds, and no process is back and ends again so soon.
	sameEnd = time.Second
	// aloneWait is how long a run alone waits for a second replica of its service: a
	// process that ended is replaced within some seconds.
	aloneWait = 5 * time.Second
	// retryAfterEnd is how long after its last end a refused content may run once more.
	retryAfterEnd = 15 * time.Second
	// refusedRetryAfter is what a caller is told of a content that is refused for good.
	// It is no promise to serve it then, but keeps a caller from asking at once.
	refusedRetryAfter = time.Minute
	// busyRetryAfter is what a caller is told whose content may soon run alone.
	busyRetryAfter = time.Second
	// forgetAfter is how long after its last end a content is remembered. One that still
	// comes then begins anew, so that a fault which was mended without a word to
	// the operator of this service is found mended within a day.
	forgetAfter = 24 * time.Hour
	// settleWithin is how long a broken connection may turn out to be the end of its
	// replica: an entry lapses three heartbeats after its process, a few seconds.
	settleWithin = 8 * time.Second
	// clearedKept is how long a cleared content is remembered, so that what another daemon
	// tells late of its earlier epoch changes nothing.
	clearedKept = 10 * time.Minute
	// capacity bounds the contents remembered, each of 3 KiB at most with its label. At
	// three ends each, that many mean 12,000 crashes within forgetAfter.
	capacity = 4096
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
	entries map[Digest]*known
	// alone counts the runs alone from here at each replica.
	alone map[string]int
	// changed are the contents to tell other daemons of; wake says that there are some.
	changed map[Digest]bool
	wake    chan struct{}
}

// New returns an empty table of a machine.
func New(machine string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{machine: machine, now: now, logger: logger, entries: map[Digest]*known{}, alone: map[string]int{},
		changed: map[Digest]bool{}, wake: make(chan struct{}, 1)}
}

// Quiet reports whether no content is suspected.
func (t *Table) Quiet() bool { return t.active.Load() == 0 }

// Suspicion returns what is held against a content, without asking for it to run.
func (t *Table) Suspicion(content *Content) Suspicion {
	if t.Quiet() {
		return Unsuspected
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[content.Digest()]
	switch {
	case found == nil || len(found.Ended) == 0:
		return Unsuspected
	case found.ends() < aloneFrom:
		return Suspected
	case !found.refused():
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
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[content.Digest()]
	return found != nil && found.refused() && !t.mayRetry(found, t.now())
}

// Admit says whether the content may run at a replica now. Others are the ids of the
// other replicas of its service that are listed.
func (t *Table) Admit(content *Content, replica string, others []string) Admission {
	if t.Quiet() {
		return Free{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[content.Digest()]
	if found == nil || len(found.Ended) == 0 {
		return Free{}
	}
	now := t.now()
	found.usedAt = now
	if found.ends() < aloneFrom {
		return Free{}
	}
	if refused, is := t.refuse(found, now, others); is {
		found.turnedAway++
		t.turnedAway.Add(1)
		return refused
	}
	switch {
	case found.deciding != nil:
		return Wait{Over: found.deciding}
	case t.alone[replica] > 0, found.endedLately(replica, now):
		return Elsewhere{}
	}
	return t.runAlone(found, replica)
}

// refuse reports whether the content must not run now. The mutex is held.
func (t *Table) refuse(found *known, now time.Time, others []string) (Refused, bool) {
	since := now.Sub(found.endedAt)
	refused := Refused{Ended: found.ends()}
	switch {
	case found.refused() && (found.Keeper != t.machine || found.Retried):
		refused.RetryAfter, refused.Final = refusedRetryAfter, true
	case found.refused() && since < retryAfterEnd:
		refused.RetryAfter = retryAfterEnd - since
	case found.deciding == nil && since < aloneWait && !found.anyUp(others, now):
		refused.RetryAfter = min(busyRetryAfter, aloneWait-since)
	default:
		return Refused{}, false
	}
	return refused, true
}

// mayRetry reports whether a refused content may run once more from here. The mutex is
// held.
func (t *Table) mayRetry(found *known, now time.Time) bool {
	return found.Keeper == t.machine && !found.Retried && now.Sub(found.endedAt) >= retryAfterEnd
}

// anyUp reports whether one of the replicas did not end under the content lately.
func (k *known) anyUp(replicas []string, now time.Time) bool {
	return slices.ContainsFunc(replicas, func(id string) bool { return !k.endedLately(id, now) })
}

// runAlone begins the one run that the content may have now. The mutex is held.
func (t *Table) runAlone(found *known, replica string) Alone {
	over := make(chan struct{})
	found.deciding = over
	t.alone[replica]++
	if found.refused() {
		t.change(found, func() { found.Retried, found.ownChange = true, true })
		t.tell(found)
	}
	t.logger.Info("suspect runs alone", zap.String("content", found.Digest.Short()), zap.String("replica", replica),
		zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()), zap.Bool("refused", found.refused()), zap.Duration("since_end", t.now().Sub(found.endedAt)))
	var once sync.Once
	return Alone{End: func() { once.Do(func() { t.endAlone(found, replica, over) }) }}
}

func (t *Table) endAlone(found *known, replica string, over chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found.deciding = nil
	close(over)
	t.alone[replica]--
	if t.alone[replica] <= 0 {
		delete(t.alone, replica)
	}
}

// Ended notes that a replica of a service ended while it ran the content.
func (t *Table) Ended(content *Content, replica, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entry(content.Digest())
	found.label(content, service)
	t.ended(found, replica)
}

// Broke notes that the connection to a replica ended while it ran the content, and that
// its process may have.
func (t *Table) Broke(content *Content, replica, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entry(content.Digest())
	found.label(content, service)
	t.change(found, func() {
		if found.broke == nil {
			found.broke = map[string]time.Time{}
		}
		if len(found.broke) < endedKept {
			found.broke[replica] = t.now()
		}
	})
}

// ended adds a replica to those that ended under a content. The mutex is held.
func (t *Table) ended(found *known, replica string) {
	added := false
	t.change(found, func() {
		delete(found.broke, replica)
		added = found.addEnd(replica, t.now())
		if added && found.refused() && found.Keeper == "" {
			found.Keeper = t.machine
		}
	})
	if !added {
		return
	}
	found.ownChange = true
	t.logger.Warn("replica ended under a content", zap.String("content", found.Digest.Short()), zap.String("replica", replica),
		zap.String("service", found.Label.Service), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()), zap.Int64("epoch", found.Epoch), zap.Bool("refused", found.refused()),
		zap.String("host", found.Label.Host), zap.String("target", found.Label.Target), zap.String("caller", found.Label.Caller))
	t.tell(found)
}

// Answered notes that a replica gave the content a whole answer: it does not end what
// runs it.
func (t *Table) Answered(content *Content) {
	if t.Quiet() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[content.Digest()]
	switch {
	case found == nil:
	case len(found.Ended) > 0:
		t.clear(found, "answered")
	case len(found.broke) > 0:
		t.change(found, func() { found.broke = nil })
	}
}

// Lift clears a content for an operator. It reports whether there was something to clear.
func (t *Table) Lift(digest Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entries[digest]
	if found == nil || len(found.Ended) == 0 {
		return false
	}
	t.clear(found, "lifted by an operator")
	return true
}

// clear begins a new epoch of a content. The mutex is held.
func (t *Table) clear(found *known, reason string) {
	t.logger.Info("content cleared", zap.String("content", found.Digest.Short()), zap.String("reason", reason), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()),
		zap.Int64("epoch", found.Epoch), zap.Bool("refused", found.refused()), zap.Uint64("turned_away", found.turnedAway))
	t.change(found, func() {
		found.Entry = Entry{Digest: found.Digest, Epoch: found.Epoch + 1, Label: found.Label}
		found.broke, found.seenAt, found.turnedAway = nil, nil, 0
	})
	found.ownChange = true
	t.tell(found)
}

// Merge takes in what another daemon knows of contents. What is news is told on.
func (t *Table) Merge(entries []Entry, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, told := range entries {
		if found := t.entry(told.Digest); t.merge(found, told, from) {
			t.tell(found)
		}
	}
}

// merge takes in what is known elsewhere of one content, and reports whether it was news.
// The mutex is held.
func (t *Table) merge(found *known, told Entry, from string) bool {
	news := false
	t.change(found, func() { news = found.merge(told, t.now()) })
	if !news {
		return false
	}
	t.logger.Info("content learned of", zap.String("content", found.Digest.Short()), zap.String("from", from), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()),
		zap.Int64("epoch", found.Epoch), zap.Bool("refused", found.refused()), zap.String("keeper", found.Keeper))
	return true
}

// entry returns the entry of a content, made if there is none. The mutex is held.
func (t *Table) entry(digest Digest) *known {
	found := t.entries[digest]
	if found == nil {
		if len(t.entries) >= capacity {
			t.forgetOne()
		}
		found = &known{Entry: Entry{Digest: digest}, usedAt: t.now()}
		t.entries[digest] = found
	}
	return found
}

// change makes a change of an entry and brings what hangs on it up to date. The mutex is
// held.
func (t *Table) change(found *known, make func()) {
	was := found.active()
	make()
	is := found.active()
	switch {
	case is && !was:
		t.active.Add(1)
	case was && !is:
		t.active.Add(-1)
	}
	found.usedAt = t.now()
	found.keepAfter = found.usedAt.Add(keepInstead)
}

// forget drops an entry. The mutex is held.
func (t *Table) forget(found *known, reason string) {
	if found.active() {
		t.active.Add(-1)
		t.logger.Info("content forgotten", zap.String("content", found.Digest.Short()), zap.String("reason", reason), zap.Strings("ended", found.replicas()), zap.Int("ends", found.ends()),
			zap.Bool("refused", found.refused()), zap.Uint64("turned_away", found.turnedAway))
	}
	delete(t.entries, found.Digest)
	delete(t.changed, found.Digest)
}

// forgetOne makes room: of the contents with the fewest ends the one that was not used
// for longest goes. The mutex is held.
func (t *Table) forgetOne() {
	var least *known
	for _, each := range t.entries {
		if each.deciding == nil && (least == nil || each.lessThan(least)) {
			least = each
		}
	}
	if least != nil {
		t.forget(least, "too many")
	}
}

// lessThan orders entries by how little is lost with them.
func (k *known) lessThan(other *known) bool {
	if k.ends() != other.ends() {
		return k.ends() < other.ends()
	}
	return k.usedAt.Before(other.usedAt)
}

// Sweep decides on broken connections by which replicas are still listed, and forgets
// what is old.
func (t *Table) Sweep(listed func(replica string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, found := range t.entries {
		t.settle(found, now, listed)
		switch {
		case found.deciding != nil:
		case len(found.Ended) > 0 && now.Sub(found.endedAt) > forgetAfter:
			t.clear(found, "long ago")
		case !found.active() && found.journaled == nil && now.Sub(found.usedAt) > clearedKept:
			t.forget(found, "cleared")
		}
	}
}

// settle decides on the broken connections of an entry. The mutex is held.
func (t *Table) settle(found *known, now time.Time, listed func(replica string) bool) {
	for replica, at := range found.broke {
		switch {
		case !listed(replica):
			t.ended(found, replica)
		case now.Sub(at) > settleWithin:
			t.change(found, func() { delete(found.broke, replica) })
		}
	}
}

// tell has the other daemons told of an entry. The mutex is held.
func (t *Table) tell(found *known) {
	t.changed[found.Digest] = true
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
		if found := t.entries[digest]; found != nil {
			entries = append(entries, found.copied())
		}
	}
	return entries
}

// Listing is what an operator is told of a content.
type Listing struct {
	Digest string `json:"digest"`
	Entry
	Refused bool `json:"refused"`
	// TurnedAway counts the tries that this daemon refused.
	TurnedAway uint64 `json:"turned_away"`
	// SinceEndMs is how long ago a replica last ended under it, in milliseconds.
	SinceEndMs int64 `json:"since_end_ms"`
}

// List returns the suspected contents, those with the most ends first.
func (t *Table) List() []Listing {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Listing{}
	for _, found := range t.entries {
		if len(found.Ended) > 0 {
			list = append(list, Listing{Digest: found.Digest.String(), Entry: found.copied(), Refused: found.refused(),
				TurnedAway: found.turnedAway, SinceEndMs: t.now().Sub(found.endedAt).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(b.ends(), a.ends()), cmp.Compare(a.Digest, b.Digest))
	})
	return list
}

// Count returns how many contents are suspected, how many of them are refused, and how
// many tries were turned away.
func (t *Table) Count() (suspected, refused int, turnedAway uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, found := range t.entries {
		if len(found.Ended) > 0 {
			suspected++
		}
		if found.refused() {
			refused++
		}
	}
	return suspected, refused, t.turnedAway.Load()
}
