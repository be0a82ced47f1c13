package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// askInterval is the time between two passes in which an owner asks whether an item may run.
const askInterval = 100 * time.Millisecond

// owedWorld is an owned content that waits at its present owner while things happen.
type owedWorld struct {
	clock *testClock
	table *Table
	owed  *Content
	ends  int
	// others are the replicas of the service besides "x", as listed.
	others []string
}

// ask asks once, as an owner does, and reports whether the content runs.
func (w *owedWorld) ask() (Isolated, bool) {
	if w.table.Blocked(w.owed) {
		return Isolated{}, false
	}
	switch decision := w.table.Decide(w.owed, "x", func() []string { return w.others }).(type) {
	case Isolated:
		return decision, true
	case Allowed:
		return Isolated{End: func() {}}, true
	default:
		return Isolated{}, false
	}
}

// trouble does one thing that may hold the content back.
func (w *owedWorld) trouble(t *rapid.T) {
	w.ends++
	name := fmt.Sprintf("r%d@%d", w.ends, w.ends)
	switch rapid.IntRange(0, 6).Draw(t, "trouble") {
	case 0: // a run ends its replica
		if run, ok := w.ask(); ok {
			w.table.ReplicaEnded(w.owed, name, "s")
			run.End()
		}
	case 1: // an end is learned late
		w.table.ReplicaEnded(w.owed, name, "s")
	case 2: // a replica ends under another content
		w.table.ReplicaEnded(contentNamed(name), name, "s")
	case 3: // another suspect runs at the replica, and goes on
		other := contentNamed("long " + name)
		endAt(w.table, other, minEndsToIsolate)
		w.table.Decide(other, "x", listed)
	case 4: // another item with the content runs, and goes on
		w.table.Decide(w.owed, name, listed)
	case 5: // the service has no other replica any more
		w.others = nil
	case 6: // the batch changes its owner
		next := w.clock.table(name)
		if encoded, err := w.table.EncodedEntry(w.owed); err == nil && encoded != nil {
			_ = next.MergeEncoded(encoded, "before", maxOwedRetryDelay/2) // it was just encoded
		}
		w.table = next
	}
	w.clock.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
}

// Guards against any series of troubles after which an owed content is held back for long: it runs within
// one delay of the last one, whatever adds up before.
func TestAnOwedContentRunsSoonAfterTheLastTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newTestClock()
		w := &owedWorld{clock: clock, table: clock.table("owner"), owed: &Content{Target: "owed", Owed: true}, others: []string{"y"}}
		for range rapid.IntRange(1, 25).Draw(t, "troubles") {
			w.trouble(t)
		}
		longest := maxOwedRetryDelay
		if rapid.Bool().Draw(t, "burst") {
			w.table.ReplicaEnded(contentNamed("burst"), "elsewhere", "s")
			longest = owedRetryDelay
		}
		calm := clock.now
		for {
			if run, ok := w.ask(); ok {
				run.End()
				return
			}
			clock.advance(askInterval)
			if waited := clock.now.Sub(calm); waited > longest+askInterval {
				t.Fatalf("held back for %v after the last trouble", waited)
			}
		}
	})
}
