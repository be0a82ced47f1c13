package replica

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

const drainBound = 2 * time.Second

func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: address, Zone: "z", Slots: 4}
}

// address is where the replicas of these tests are listed; no test connects to it.
var address = netip.MustParseAddrPort("10.0.0.1:80")

// After an outage of the platform the list may be empty until the replicas have written their
// entries again; requests must still find a replica for half the drain bound.
func TestReplicasRemovedTogetherKeepGettingWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clocktest.New()
		table := NewTable(drainBound, zap.NewNop())
		table.now = clock.Now
		table.Replace([]Entry{entry("a"), entry("b")})
		table.Replace(nil)
		is.Equal(len(table.Replicas("s")), 2)
		is.Equal(len(table.Replicas("other")), 0)
		time.Sleep(drainBound/2 + time.Millisecond)
		is.Equal(len(table.Replicas("s")), 0)
	})
}

// The grace time of removed replicas must include the time that the machine is suspended, after
// which their addresses may belong to others.
func TestRemovedReplicasGetNothingAfterSuspension(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	table := NewTable(drainBound, zap.NewNop())
	table.now = clock.Now
	table.Replace([]Entry{entry("a"), entry("b")})
	table.Replace(nil)
	clock.Suspend(drainBound)
	is.Equal(len(table.Replicas("s")), 0)
}

func TestRemovedReplicaGetsNothingWhileOthersAreListed(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	table.Replace([]Entry{entry("a"), entry("b")})
	table.Remove("a")
	is.Equal(len(table.Replicas("s")), 1)
	draining := entry("b")
	draining.Draining = true
	table.Set(draining)
	table.Remove("b")
	for _, r := range table.Replicas("s") {
		is.True(r.ID != "b")
	}
}

func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(drainBound, zap.NewNop())
		highest := int64(0)
		for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 9), 1, 20).Draw(t, "versions") {
			if rapid.Bool().Draw(t, "listed") {
				listed := entry("a")
				listed.Versions = map[string]int64{"m": version}
				table.Set(listed)
			} else {
				table.ObserveVersion("a", "m", version)
			}
			highest = max(highest, version)
		}
		table.Set(entry("a"))
		r, _ := table.Get("a")
		if r.Versions["m"] != highest {
			t.Fatalf("version %d, want the highest seen, %d", r.Versions["m"], highest)
		}
	})
}

// Pick must never choose a replica that was tried, must choose one that need not be avoided if
// there is one, and must choose one as long as any is left.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		tried := map[string]bool{}
		var candidates []Replica
		sound := 0
		for i, state := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 6).Draw(t, "states") {
			r := Replica{Entry: entry(string(rune('a' + i))), InFlight: rapid.IntRange(0, 9).Draw(t, "in flight")}
			switch state {
			case 0:
				tried[r.ID] = true
			case 1:
				r.AvoidUntil = now.Add(time.Second)
			default:
				sound++
			}
			candidates = append(candidates, r)
		}
		r, ok := Pick(candidates, tried, now)
		switch {
		case ok != (len(candidates) > len(tried)):
			t.Fatal("returned no replica though some were not tried, or one though all were")
		case ok && tried[r.ID]:
			t.Fatal("chose a replica that was tried")
		case ok && sound > 0 && now.Before(r.AvoidUntil):
			t.Fatal("chose a replica to avoid though others were available")
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := NewTable(drainBound, zap.NewNop())
			for i := range count {
				table.Set(entry(fmt.Sprint("r", i)))
			}
			for b.Loop() {
				Pick(table.Replicas("s"), nil, time.Now())
			}
		})
	}
}

// An engine that changes its weights must be probed by one request at a time with a growing
// backoff, and get all requests again once it has accepted one.
func TestDecliningReplicaIsProbedByOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(time.Second, zap.NewNop())
		table.Set(Entry{ID: "e", Service: "s"})
		seen := func() Replica { return table.Replicas("s")[0] }
		attempt := func() { table.RequestStarted("e") }
		decline := func() {
			table.RequestDeclined("e")
			table.RequestEnded("e")
		}
		// Six requests in flight that are declined together count as one decline.
		for range 6 {
			attempt()
		}
		is.True(!seen().Probing)
		for range 6 {
			decline()
		}
		for _, backoff := range []time.Duration{minDeclineBackoff, 2 * minDeclineBackoff, maxDeclineBackoff, maxDeclineBackoff} {
			is.Equal(time.Until(seen().AvoidUntil), backoff)
			time.Sleep(backoff)
			is.True(seen().Declining)
			is.True(!seen().Probing)
			attempt()
			is.True(seen().Probing)
			decline()
			is.True(!seen().Probing)
		}
		time.Sleep(maxDeclineBackoff)
		attempt()
		table.RequestAccepted("e")
		is.True(!seen().Probing)
		is.True(!seen().Declining)
		attempt()
		is.True(!seen().Probing)
	})
}

// A reported load must count for a limited time: it prevents daemons, which each know only their
// own requests, from all choosing the same replica.
func TestReportedLoadCountsForLimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(drainBound, zap.NewNop())
		table.Replace([]Entry{entry("a"), entry("b")})
		picked := func() string {
			r, ok := Pick(table.Replicas("s"), nil, time.Now())
			is.True(ok)
			return r.ID
		}
		table.ReportLoad("a", 3)
		for range 20 {
			is.Equal(picked(), "b")
		}
		time.Sleep(reportedLoadMaxAge + time.Millisecond)
		seen := map[string]bool{}
		for range 200 {
			seen[picked()] = true
		}
		is.Equal(len(seen), 2)
	})
}

// A daemon with few requests must prefer the replica it has a connection to, but not always, so
// that an added replica gets work.
func TestConnectedReplicaIsPreferredButNotAlways(t *testing.T) {
	is := is.New(t)
	const picks = 2000
	connected, added := Replica{Entry: entry("a"), Connected: true}, Replica{Entry: entry("b")}
	connected.Latency = 30 * time.Millisecond
	count := map[string]int{}
	for range picks {
		r, ok := Pick([]Replica{connected, added}, nil, time.Now())
		is.True(ok)
		count[r.ID]++
	}
	is.True(count["b"] > 0)
	is.True(float64(count["b"]) < picks*exploreFraction)
	connected.InFlight = 2
	r, _ := Pick([]Replica{connected, added}, nil, time.Now())
	is.Equal(r.ID, "b")
}

// A large list update must be logged in one line that names all changes, and single changes in
// one line each.
func TestLargeListUpdateIsLoggedInOneLine(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	table := NewTable(time.Second, zap.New(core))
	var entries []Entry
	for i := range 98 {
		entries = append(entries, Entry{ID: fmt.Sprintf("r%d", i), Service: "s"})
	}
	table.Replace(entries)
	is.Equal(logs.Len(), 1)
	is.Equal(len(logs.All()[0].ContextMap()["added"].([]any)), len(entries))
	table.Replace(entries)
	is.Equal(logs.Len(), 1)
	table.Set(Entry{ID: "r0", Service: "s", Draining: true})
	table.Remove("r1")
	is.Equal(logs.FilterMessage("replica state changed").Len(), 1)
	is.Equal(logs.FilterMessage("replica gone from the list").Len(), 1)
}

// Guards against an engine that is avoided for seconds after each failure, since failures of its whole life
// added up: streams that are complete come between them.
func TestACompleteStreamResetsTheFailureBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(drainBound, zap.NewNop())
		table.Replace([]Entry{entry("a")})
		engine := func() Replica { return table.Replicas("s")[0] }
		for range 10 {
			table.RequestFailed(engine().Incarnation())
			is.Equal(time.Until(engine().AvoidUntil), minFailureBackoff)
			time.Sleep(maxFailureBackoff)
			table.StreamCompleted(engine().Incarnation())
		}
	})
}

// Guards against taking a replica that left as planned for a crashed one, and the other way round.
func TestIncarnationsThatLeftAsPlanned(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	table := NewTable(drainBound, zap.NewNop())
	table.now = clock.Now
	draining := entry("draining")
	draining.Draining = true
	table.Replace([]Entry{entry("removed"), entry("stays"), draining})
	table.Replace([]Entry{entry("stays")})
	is.True(!table.LeftBefore("removed")) // a crashed one loses its entry soon after its end
	clock.Suspend(drainBound)
	is.True(table.LeftBefore("removed"))
	is.True(!table.LeftBefore("stays"))
	is.True(!table.LeftBefore("unknown"))
	is.Equal(table.SoundIncarnations(), map[Incarnation]bool{"stays": true, "draining": true})
	again := entry("removed")
	again.StartedAt = time.UnixMilli(1000)
	table.Set(again)
	is.True(!table.LeftBefore("removed")) // it has started again
}
