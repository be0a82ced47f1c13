package quarantine

import (
	"time"

	"go.uber.org/zap"
)

const (
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
// what is old. One that is listed as started again has ended.
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
