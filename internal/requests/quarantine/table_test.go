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

// testClock is a clock that the test moves.
type testClock struct{ now time.Time }

func (c *testClock) read() time.Time       { return c.now }
func (c *testClock) pass(d time.Duration)  { c.now = c.now.Add(d) }
func newTestClock() *testClock             { return &testClock{now: time.Unix(1000, 0)} }
func contentNamed(name string) *Content    { return &Content{Target: name} }
func (c *testClock) table(n string) *Table { return New(n, c.read, zap.NewNop()) }

var others = []string{"x", "y"}

func listed() []string { return others }

// verdictOn names what a content may do, without beginning it.
func verdictOn(t *Table, content *Content, replica string, others ...string) string {
	switch got := t.Decide(content, replica, func() []string { return others }).(type) {
	case Allowed:
		if t.Suspicion(content) == Suspected {
			return "suspected"
		}
		return "free"
	case Isolated:
		got.End()
		return "alone"
	case Wait:
		return "wait"
	case OtherReplica:
		return "elsewhere"
	case Refused:
		if got.Final {
			return "refused for good"
		}
		return "refused"
	}
	return "none"
}

func TestSuspicionComesInSteps(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	is.True(table.NoneSuspected())
	is.Equal(verdictOn(table, bad, "a", others...), "free")
	table.ReplicaEnded(bad, "a", "s")
	is.True(!table.NoneSuspected())
	is.Equal(verdictOn(table, bad, "b", others...), "suspected")
	table.ReplicaEnded(bad, "a", "s") // the same end, seen by another request's side
	is.Equal(verdictOn(table, bad, "b", others...), "suspected")
	table.ReplicaEnded(bad, "b", "s")
	is.Equal(verdictOn(table, bad, "a", others...), "elsewhere") // it has just ended there
	is.Equal(verdictOn(table, bad, "x", "a", "b"), "refused")    // no other replica would serve the others
	is.Equal(verdictOn(table, bad, "x", "y"), "alone")
	clock.pass(replicaRestartTimeout)
	is.Equal(verdictOn(table, bad, "x"), "alone") // a service may have one replica only
	table.ReplicaEnded(bad, "x", "s")
	is.Equal(verdictOn(table, bad, "y", others...), "refused")
	is.True(table.Blocked(bad))
	is.Equal(verdictOn(table, contentNamed("good"), "y", others...), "free")
}

// A replica that keeps its id over its starts ends again and again under the content, also
// where there is no other.
func TestEndsOfOneReplicaAddUp(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, content := clock.table("m"), contentNamed("c")
	for _, wanted := range []string{"suspected", "alone", "refused"} {
		table.ReplicaEnded(content, "only", "s")
		table.ReplicaEnded(content, "only", "s") // another run shows the same end
		if wanted == "alone" {
			is.Equal(verdictOn(table, content, "only"), "refused") // it is hardly back
			clock.pass(replicaRestartTimeout)
		}
		is.Equal(verdictOn(table, content, "only"), wanted)
		clock.pass(endDedupWindow)
	}
}

// One run of a suspect is under way at a time, and one suspect at a replica.
func TestARunAloneIsAlone(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, one, two := clock.table("m"), contentNamed("one"), contentNamed("two")
	for _, content := range []*Content{one, two} {
		table.ReplicaEnded(content, "a", "s")
		table.ReplicaEnded(content, "b", "s")
	}
	run, granted := table.Decide(one, "x", listed).(Isolated)
	is.True(granted)
	is.Equal(verdictOn(table, two, "x", others...), "elsewhere")
	is.Equal(verdictOn(table, two, "y", others...), "alone")
	waiting, waits := table.Decide(one, "y", listed).(Wait)
	is.True(waits)
	table.Answered(one)
	run.End()
	<-waiting.Over
	is.Equal(verdictOn(table, one, "y", others...), "free")
	is.Equal(verdictOn(table, two, "x", others...), "alone")
}

// What three coincidences have condemned is found innocent by its keeper, and only there.
func TestARefusedContentRunsOnceMoreAtItsKeeper(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	keeper, other, content := clock.table("keeper"), clock.table("other"), contentNamed("c")
	for _, replica := range []string{"a", "b", "c"} {
		keeper.ReplicaEnded(content, replica, "s")
	}
	other.Merge(keeper.entriesOf([]Digest{content.Digest()}), "keeper")
	is.Equal(verdictOn(other, content, "x", others...), "refused for good")
	is.Equal(verdictOn(keeper, content, "x", others...), "refused")
	clock.pass(retryDelay)
	is.Equal(verdictOn(other, content, "x", others...), "refused for good")
	is.True(other.Blocked(content))
	is.True(!keeper.Blocked(content))
	is.Equal(verdictOn(keeper, content, "x", others...), "alone")
	is.Equal(verdictOn(keeper, content, "x", others...), "refused for good") // once only
	keeper.Answered(content)
	other.Merge(keeper.entriesOf([]Digest{content.Digest()}), "keeper")
	for _, s := range []*Table{keeper, other} {
		is.Equal(verdictOn(s, content, "x", others...), "free")
		is.True(s.NoneSuspected())
	}
}

// A popular innocent content runs at many replicas. Those that end under it for another
// reason do not add up, as it is answered in between.
func TestAnswersClearWhatCoincidenceHolds(t *testing.T) {
	is := is.New(t)
	table, popular := newTestClock().table("m"), contentNamed("popular")
	for i := range 20 {
		table.ReplicaEnded(popular, fmt.Sprint("a", i), "s")
		table.ReplicaEnded(popular, fmt.Sprint("b", i), "s")
		table.Answered(popular)
		is.Equal(verdictOn(table, popular, "x", others...), "free")
	}
}

// A connection that broke is held against a content only once its replica is gone from
// the list, and not if the content was answered meanwhile.
func TestABrokenConnectionCountsOnceItsReplicaIsGone(t *testing.T) {
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
	clock.pass(brokenConnectionTTL + 1)
	sweep()
	delete(entries, "b") // long after, for another reason
	sweep()
	is.Equal(table.Suspicion(bad), Suspected)
}

// An end that came while the one before it was being written was taken for written as well:
// daemons that reach each other only through the journal learned of it four seconds late.
func TestAnEndThatComesDuringAWriteIsWrittenNext(t *testing.T) {
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
	third, lacking := table.dueEntries(true)
	is.Equal(len(third), 0) // It is left alone until it is read back.
	is.True(lacking)
}

// A flood of contents that each end replicas takes bounded memory, and those that are
// refused outlast those that are merely suspected.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, refused := clock.table("m"), contentNamed("refused")
	for _, replica := range []string{"a", "b", "c"} {
		table.ReplicaEnded(refused, replica, "s")
	}
	for i := range maxEntries + 100 {
		clock.pass(time.Millisecond)
		table.ReplicaEnded(contentNamed(fmt.Sprint(i)), "a", "s")
	}
	is.Equal(len(table.entries), maxEntries)
	is.Equal(int(table.activeCount.Load()), maxEntries)
	is.Equal(table.Suspicion(refused), Quarantined)
	is.Equal(table.Suspicion(contentNamed("0")), Unsuspected)
	clock.pass(suspicionTTL + 1)
	table.Sweep(func(string) bool { return true })
	is.True(table.NoneSuspected())
	clock.pass(clearedTTL + 1)
	table.Sweep(func(string) bool { return true })
	is.Equal(len(table.entries), 0)
}

func TestAnOperatorSeesAndLifts(t *testing.T) {
	is := is.New(t)
	table := newTestClock().table("m")
	content := &Content{Caller: "tenant", Method: "POST", Host: "h", Target: "/t", Body: []byte("body")}
	for _, replica := range []string{"c", "a", "b"} {
		table.ReplicaEnded(content, replica, "s")
	}
	is.Equal(verdictOn(table, content, "x", others...), "refused")
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
	is.Equal(verdictOn(table, content, "a", others...), "free")
}

// Whatever daemons see and in whatever order they tell each other, all hold the same
// against a content in the end, and no answer is forgotten.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newTestClock()
		content := contentNamed("c")
		tables := []*Table{clock.table("m0"), clock.table("m1"), clock.table("m2")}
		said := [][]Entry{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "at")]
			clock.pass(rapid.SampledFrom([]time.Duration{0, time.Millisecond, endDedupWindow}).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				at.ReplicaEnded(content, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "replica"), "s")
			case 2:
				at.Answered(content)
			default:
				if len(said) > 0 {
					at.Merge(rapid.SampledFrom(said).Draw(t, "told"), "peer")
				}
			}
			said = append(said, at.entriesOf([]Digest{content.Digest()}))
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
				t.Fatalf("%v is known at one daemon only", content.Target)
			}
			if one != nil && (one.Epoch != two.Epoch || !maps.Equal(one.Ended, two.Ended) || one.Keeper != two.Keeper || one.Retried != two.Retried) {
				t.Fatalf("%+v and %+v", one.Entry, two.Entry)
			}
			if (one != nil && one.active()) == s.NoneSuspected() {
				t.Fatalf("active is %d for %+v", s.activeCount.Load(), two)
			}
		}
	})
}

// While some content is refused, every other request is looked up: it costs its digest
// and a look into a map.
func BenchmarkAdmitBesideARefusedContent(b *testing.B) {
	table := newTestClock().table("m")
	for _, replica := range []string{"a", "b", "c"} {
		table.ReplicaEnded(contentNamed("refused"), replica, "s")
	}
	body := make([]byte, 8<<10)
	for b.Loop() {
		if _, free := table.Decide(&Content{Method: "POST", Target: "/path/of/a/request", Body: body}, "x", listed).(Allowed); !free {
			b.Fatal("an innocent content is not free")
		}
	}
}
