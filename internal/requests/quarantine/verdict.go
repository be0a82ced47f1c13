package quarantine

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

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

// Suspicion is what is held against a content.
type Suspicion int

// What is held against a content, less first.
const (
	// Unsuspected: no replica has ended under it without an answer since.
	Unsuspected Suspicion = iota
	// Suspected: one has.
	Suspected
	// OnlyAlone: it may run alone.
	OnlyAlone
	// Quarantined: it is refused.
	Quarantined
)

// Verdict is what a content may do now: Free, Alone, Wait, Elsewhere or Refused.
type Verdict interface{ verdict() }

// Free lets the content run as any other.
type Free struct{}

// Alone lets the content run at the one replica asked for, once, with no other suspect
// from here beside it. End must be called when the run is over, after what it showed was
// told to the table.
type Alone struct{ End func() }

// Wait says that another run of the content is finding out. It is over when Over is
// closed.
type Wait struct{ Over <-chan struct{} }

// Elsewhere says that another suspect runs at the replica asked for, or that the replica
// is one that has ended under the content.
type Elsewhere struct{}

// Refused says that the content must not run now.
type Refused struct {
	// Ended is how many replicas have ended under it.
	Ended int
	// RetryAfter is when it may be asked for again with some hope.
	RetryAfter time.Duration
	// Final says that it stays refused until an operator lifts that, or until it was not
	// asked for any more for long.
	Final bool
}

func (Free) verdict()      {}
func (Alone) verdict()     {}
func (Wait) verdict()      {}
func (Elsewhere) verdict() {}
func (Refused) verdict()   {}

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
		refused.RetryAfter = min(refusal.LoneRunPending.RetryAfter, aloneWait-since)
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
	t.logger.Info("suspect runs alone", zap.String("content", s.Digest.Short()),
		zap.String("replica", replica.Incarnation(name).ID()), zap.String("start", name),
		zap.Strings("ended", s.replicas()), zap.Int("ends", s.ends()), zap.Bool("refused", s.refused()),
		zap.Duration("since_end", t.now().Sub(s.endedAt)))
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
