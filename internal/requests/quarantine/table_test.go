package quarantine

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

// testClock is a clock that tests advance.
type testClock struct{ now time.Time }

func (c *testClock) read() time.Time         { return c.now }
func (c *testClock) advance(d time.Duration) { c.now = c.now.Add(d) }
func newTestClock() *testClock               { return &testClock{now: time.Unix(1000, 0)} }
func contentNamed(name string) *Content      { return &Content{Target: name} }
func (c *testClock) table(n string) *Table   { return New(n, c.read, zap.NewNop()) }

var otherReplicas = []string{"x", "y"}

func listed() []string { return otherReplicas }

// decisionOn returns the name of the decision on a content. An isolated run is ended at once.
func decisionOn(t *Table, content *Content, replica string, others ...string) string {
	switch got := t.Decide(content, replica, func() []string { return others }).(type) {
	case Allowed:
		if t.Suspicion(content) == Suspected {
			return "suspected"
		}
		return "allowed"
	case Isolated:
		got.End()
		return "isolated"
	case Wait:
		return "wait"
	case OtherReplica:
		return "other replica"
	case Refused:
		if got.Final {
			return "refused (final)"
		}
		return "refused"
	}
	return "none"
}

// Guards against a content that is restricted too early or too late as its ends add up.
func TestSuspicionIncreasesWithEnds(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	is.True(table.NoneSuspected())
	is.Equal(decisionOn(table, bad, "a", otherReplicas...), "allowed")
	table.ReplicaEnded(bad, "a", "s")
	is.True(!table.NoneSuspected())
	is.Equal(decisionOn(table, bad, "b", otherReplicas...), "suspected")
	table.ReplicaEnded(bad, "a", "s") // the same end, reported by another run
	is.Equal(decisionOn(table, bad, "b", otherReplicas...), "suspected")
	table.ReplicaEnded(bad, "b", "s")
	is.Equal(decisionOn(table, bad, "a", otherReplicas...), "other replica") // this replica has just ended
	is.Equal(decisionOn(table, bad, "x", "a", "b"), "refused")               // no other replica is available
	is.Equal(decisionOn(table, bad, "x", "y"), "isolated")
	clock.advance(recentEndMaxAge)
	is.Equal(decisionOn(table, bad, "x"), "isolated") // allowed even if the service has one replica only
	table.ReplicaEnded(bad, "x", "s")
	is.Equal(decisionOn(table, bad, "y", otherReplicas...), "refused")
	is.True(table.Blocked(bad))
	is.Equal(decisionOn(table, contentNamed("good"), "y", otherReplicas...), "allowed")
}

// Guards against ignoring repeated ends of a service's only replica, which keeps its id when it
// restarts.
func TestEndsOfOneReplicaAddUp(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, content := clock.table("m"), contentNamed("c")
	for _, want := range []string{"suspected", "isolated", "refused"} {
		table.ReplicaEnded(content, "only", "s")
		table.ReplicaEnded(content, "only", "s") // the same end, reported by another run
		if want == "isolated" {
			is.Equal(decisionOn(table, content, "only"), "refused") // not restarted yet
			clock.advance(recentEndMaxAge)
		}
		is.Equal(decisionOn(table, content, "only"), want)
		clock.advance(endDedupWindow)
	}
}

// Guards against two isolated runs of one content, or of two contents at one replica.
func TestIsolatedRunsExcludeEachOther(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, one, two := clock.table("m"), contentNamed("one"), contentNamed("two")
	for _, content := range []*Content{one, two} {
		table.ReplicaEnded(content, "a", "s")
		table.ReplicaEnded(content, "b", "s")
	}
	run, granted := table.Decide(one, "x", listed).(Isolated)
	is.True(granted)
	is.Equal(decisionOn(table, two, "x", otherReplicas...), "other replica")
	is.Equal(decisionOn(table, two, "y", otherReplicas...), "isolated")
	waiting, waits := table.Decide(one, "y", listed).(Wait)
	is.True(waits)
	table.Answered(one)
	run.End()
	<-waiting.Over
	is.Equal(decisionOn(table, one, "y", otherReplicas...), "allowed")
	is.Equal(decisionOn(table, two, "x", otherReplicas...), "isolated")
}

// Guards against a refused content that runs again at a daemon other than its keeper, or more
// than once.
func TestKeeperRetriesRefusedContentOnce(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	keeper, other, content := clock.table("keeper"), clock.table("other"), contentNamed("c")
	for _, replica := range []string{"a", "b", "c"} {
		keeper.ReplicaEnded(content, replica, "s")
	}
	other.Merge(keeper.entriesOf([]Digest{content.Digest()}), "keeper")
	is.Equal(decisionOn(other, content, "x", otherReplicas...), "refused (final)")
	is.Equal(decisionOn(keeper, content, "x", otherReplicas...), "refused")
	clock.advance(retryDelay)
	is.Equal(decisionOn(other, content, "x", otherReplicas...), "refused (final)")
	is.True(other.Blocked(content))
	is.True(!keeper.Blocked(content))
	is.Equal(decisionOn(keeper, content, "x", otherReplicas...), "isolated")
	is.Equal(decisionOn(keeper, content, "x", otherReplicas...), "refused (final)") // retried only once
	keeper.Answered(content)
	other.Merge(keeper.entriesOf([]Digest{content.Digest()}), "keeper")
	for _, s := range []*Table{keeper, other} {
		is.Equal(decisionOn(s, content, "x", otherReplicas...), "allowed")
		is.True(s.NoneSuspected())
	}
}

// Guards against unrelated ends adding up against a frequent content that is answered in
// between.
func TestAnswerClearsSuspicion(t *testing.T) {
	is := is.New(t)
	table, popular := newTestClock().table("m"), contentNamed("popular")
	for i := range 20 {
		table.ReplicaEnded(popular, fmt.Sprint("a", i), "s")
		table.ReplicaEnded(popular, fmt.Sprint("b", i), "s")
		table.Answered(popular)
		is.Equal(decisionOn(table, popular, "x", otherReplicas...), "allowed")
	}
}

// Guards against counting a broken connection as an end while its replica is still listed, after
// an answer, or after brokenConnectionTTL.
func TestBrokenConnectionCountsWhenReplicaIsGone(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad, good := clock.table("m"), contentNamed("bad"), contentNamed("good")
	entries := map[string]bool{"a": true, "b": true}
	sweep := func() { table.Sweep(func(id string) bool { return entries[id] }) }
	for _, content := range []*Content{bad, good} {
		table.ConnectionBroken(content, "a", "s")
		table.ConnectionBroken(content, "b", "s")
	}
	sweep()
	is.Equal(table.Suspicion(bad), Unsuspected)
	table.Answered(good)
	delete(entries, "a")
	sweep()
	is.Equal(table.Suspicion(bad), Suspected)
	is.Equal(table.Suspicion(good), Unsuspected)
	clock.advance(brokenConnectionTTL + 1)
	sweep()
	delete(entries, "b") // after brokenConnectionTTL, so unrelated to the content
	sweep()
	is.Equal(table.Suspicion(bad), Suspected)
}

// Guards against treating an end that arrives during a write as already written.
func TestEndDuringWriteIsWrittenNext(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	table.ReplicaEnded(bad, "a", "s")
	first, _ := table.dueEntries(true)
	is.Equal(len(first), 1)
	table.ReplicaEnded(bad, "b", "s")
	table.markWritten(first)
	second, _ := table.dueEntries(true)
	is.Equal(len(second), 1)
	is.Equal(second[0].ends(), 2)
	table.markWritten(second)
	third, outOfDate := table.dueEntries(true)
	is.Equal(len(third), 0) // not written again until it is read back
	is.True(outOfDate)
}

// Guards against unbounded memory, and against evicting refused contents before suspected ones.
func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, refused := clock.table("m"), contentNamed("refused")
	for _, replica := range []string{"a", "b", "c"} {
		table.ReplicaEnded(refused, replica, "s")
	}
	for i := range maxEntries + 100 {
		clock.advance(time.Millisecond)
		table.ReplicaEnded(contentNamed(fmt.Sprint(i)), "a", "s")
	}
	is.Equal(len(table.entries), maxEntries)
	is.Equal(int(table.activeCount.Load()), maxEntries)
	is.Equal(table.Suspicion(refused), Quarantined)
	is.Equal(table.Suspicion(contentNamed("0")), Unsuspected)
	clock.advance(suspicionTTL + 1)
	table.Sweep(func(string) bool { return true })
	is.True(table.NoneSuspected())
	clock.advance(clearedTTL + 1)
	table.Sweep(func(string) bool { return true })
	is.Equal(len(table.entries), 0)
}

// Guards against an operator's list that omits a refused content, and a lift that does not
// clear it.
func TestOperatorListsAndLifts(t *testing.T) {
	is := is.New(t)
	table := newTestClock().table("m")
	content := &Content{Caller: "tenant", Method: "POST", Host: "h", Target: "/t", Body: []byte("body")}
	for _, replica := range []string{"c", "a", "b"} {
		table.ReplicaEnded(content, replica, "s")
	}
	is.Equal(decisionOn(table, content, "x", otherReplicas...), "refused")
	list := table.List()
	is.Equal(len(list), 1)
	is.Equal(list[0].Label, Label{Service: "s", Caller: "tenant", Method: "POST", Host: "h", Target: "/t", Bytes: 4})
	is.Equal(list[0].Ended, map[string]int{"a": 1, "b": 1, "c": 1})
	is.True(list[0].Refused)
	is.Equal(list[0].TurnedAway, uint64(1))
	digest, err := ParseDigest(list[0].Digest)
	is.NoErr(err)
	is.True(table.Lift(digest))
	is.True(!table.Lift(digest))
	is.Equal(len(table.List()), 0)
	is.Equal(decisionOn(table, content, "a", otherReplicas...), "allowed")
}

// Guards against tables that differ after all entries were exchanged, in whatever order daemons
// observed and merged them.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newTestClock()
		content := contentNamed("c")
		tables := []*Table{clock.table("m0"), clock.table("m1"), clock.table("m2")}
		sent := [][]Entry{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "table")]
			clock.advance(rapid.SampledFrom([]time.Duration{0, time.Millisecond, endDedupWindow}).Draw(t, "advance by"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				at.ReplicaEnded(content, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "replica"), "s")
			case 2:
				at.Answered(content)
			default:
				if len(sent) > 0 {
					at.Merge(rapid.SampledFrom(sent).Draw(t, "sent"), "peer")
				}
			}
			sent = append(sent, at.entriesOf([]Digest{content.Digest()}))
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.entriesOf([]Digest{content.Digest()}), "peer")
				}
			}
		}
		for _, s := range tables[1:] {
			one, two := tables[0].entries[content.Digest()], s.entries[content.Digest()]
			if (one == nil) != (two == nil) {
				t.Fatalf("content %v has an entry at one daemon only", content.Target)
			}
			if one != nil && (one.Epoch != two.Epoch || !maps.Equal(one.Ended, two.Ended) || one.Keeper != two.Keeper || one.Retried != two.Retried) {
				t.Fatalf("entries differ: %+v and %+v", one.Entry, two.Entry)
			}
			if (one != nil && one.active()) == s.NoneSuspected() {
				t.Fatalf("activeCount is %d for entry %+v", s.activeCount.Load(), two)
			}
		}
	})
}

// BenchmarkDecideWithRefusedContent measures the cost for other requests while some content is
// refused: one digest and one map lookup.
func BenchmarkDecideWithRefusedContent(b *testing.B) {
	table := newTestClock().table("m")
	for _, replica := range []string{"a", "b", "c"} {
		table.ReplicaEnded(contentNamed("refused"), replica, "s")
	}
	body := make([]byte, 8<<10)
	for b.Loop() {
		if _, ok := table.Decide(&Content{Method: "POST", Target: "/path/of/a/request", Body: body}, "x", listed).(Allowed); !ok {
			b.Fatal("a content without ends is not allowed")
		}
	}
}
