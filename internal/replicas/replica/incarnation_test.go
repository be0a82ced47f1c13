package replica

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/bootclock/clocktest"
)

var firstStart = time.UnixMilli(1_764_700_000_000)

// startedEntry returns an entry of a process that started start seconds after firstStart and
// holds the given version.
func startedEntry(id string, start int, version int64) Entry {
	e := entry(id)
	e.StartedAt = firstStart.Add(time.Duration(start) * time.Second)
	e.Versions = map[string]int64{"m": version}
	return e
}

// Stats of one incarnation must not count for the next one under the same id: it would be
// avoided for failures, load and slowness of its predecessor, or asked for versions it lost.
func TestStatsBelongToOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(drainBound, zap.NewNop())
		table.now = clocktest.New().Now
		table.Set(startedEntry("a", 0, 9))
		seen := func() Replica { return table.Replicas("s")[0] }
		before := seen()
		for range 3 {
			table.RequestStarted(before.Incarnation())
		}
		table.RequestSucceeded(before.Incarnation(), time.Second)
		table.RequestFailed(before.Incarnation())
		table.ReportLoad(before.Incarnation(), 7)
		table.ReportSlowdown(before.Incarnation(), 3)
		for range eventWindow {
			table.ObserveEvent(before.Incarnation(), 50*time.Millisecond)
		}
		time.Sleep(minFailureBackoff)
		table.RequestDeclined(before.Incarnation())
		table.Set(startedEntry("a", 1, 2))
		now := seen()
		is.True(now.Incarnation() != before.Incarnation())
		is.Equal(now.Versions, map[string]int64{"m": 2})
		is.Equal([]time.Duration{now.Latency, now.EventTime}, []time.Duration{0, 0})
		is.True(!now.Declining && !now.Probing && now.AvoidUntil.IsZero())
		is.Equal([]int{now.InFlight, now.ReportedLoad}, []int{0, 0})
		is.Equal(now.Slowdown, 1.0)
		// Late reports of requests to the earlier incarnation do not affect the next one.
		table.RequestStarted(now.Incarnation())
		for range 3 {
			table.ObserveVersion(before.Incarnation(), "m", 9)
			table.RequestFailed(before.Incarnation())
			table.RequestEnded(before.Incarnation())
		}
		is.Equal(seen().InFlight, 1)
		is.Equal(seen().Versions, map[string]int64{"m": 2})
		is.True(seen().AvoidUntil.IsZero())
		table.RequestEnded(now.Incarnation())
		is.Equal(seen().InFlight, 0)
		time.Sleep(statsTTL + time.Second)
		table.Sweep()
		is.Equal(len(table.stats), 1)
	})
}

// An entry of an earlier incarnation, written late or left after a compaction, must not replace
// that of the newest.
func TestEntryOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	table := NewTable(drainBound, zap.New(core))
	table.Set(startedEntry("a", 1, 2))
	old := startedEntry("a", 0, 9)
	old.Draining = true
	table.Set(old)
	table.Replace([]Entry{old, entry("b")})
	r, listed := table.Get("a")
	is.True(listed)
	is.True(!r.Draining)
	is.Equal(r.Versions, map[string]int64{"m": 2})
	is.Equal(logs.FilterMessage("entry of an earlier incarnation ignored").Len(), 2)
	table.Remove("a")
	table.Set(old)
	_, listed = table.Get("a")
	is.True(!listed) // removed as the later incarnation
}

// An entry without a start time must not be treated as a restart.
func TestEntryWithoutStartTime(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	table.Set(startedEntry("a", 1, 2))
	i := table.Replicas("s")[0].Incarnation()
	table.Set(entry("a"))
	is.Equal(table.Replicas("s")[0].Incarnation(), i)
	is.Equal(table.Replicas("s")[0].Versions, map[string]int64{"m": 2})
}

// OnRestart must get every address whose idle connections lead to an ended process.
func TestOnRestartGetsOldAndNewAddress(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	other := netip.MustParseAddrPort("10.0.0.2:80")
	var notified []netip.AddrPort
	table.OnRestart(func(address netip.AddrPort) { notified = append(notified, address) })
	table.Set(startedEntry("a", 0, 1))
	table.Set(startedEntry("a", 0, 2))
	is.Equal(len(notified), 0)
	table.Set(startedEntry("a", 1, 1))
	is.Equal(notified, []netip.AddrPort{address})
	moved := startedEntry("a", 2, 1)
	moved.Address = other
	table.Set(moved)
	is.Equal(notified, []netip.AddrPort{address, address, other})
	table.Remove("a")
	table.Set(startedEntry("a", 3, 1))
	is.Equal(notified, []netip.AddrPort{address, address, other, other, address})
}

// A later start that the replica itself reports must count before its entry arrives.
func TestReplicaReportsItsOwnRestart(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	table.Set(startedEntry("a", 1, 9))
	addressed, _ := table.Get("a")
	is.True(table.ObserveStart(addressed, time.Time{}))
	is.True(table.ObserveStart(addressed, addressed.StartedAt))
	is.True(!table.ObserveStart(addressed, startedEntry("a", 0, 9).StartedAt)) // a late answer of an earlier incarnation
	is.Equal(table.Replicas("s")[0].Incarnation(), addressed.Incarnation())
	later := startedEntry("a", 2, 1)
	is.True(!table.ObserveStart(addressed, later.StartedAt))
	now := table.Replicas("s")[0]
	is.Equal(now.Incarnation(), later.Incarnation())
	is.Equal(len(now.Versions), 0)
	table.Set(startedEntry("a", 1, 9)) // the earlier incarnation's entry
	is.Equal(table.Replicas("s")[0].Incarnation(), later.Incarnation())
	table.Set(later)
	is.Equal(table.Replicas("s")[0].Versions, map[string]int64{"m": 1})
}

func TestIncarnationNames(t *testing.T) {
	is := is.New(t)
	for name, id := range map[Incarnation]string{"a": "a", "a@5": "a", "a@b@5": "a@b", "a@b": "a@b", "a@": "a@"} {
		is.Equal(name.ID(), id)
		is.Equal(name.HasStartTime(), string(name) != id)
	}
	is.Equal(startedEntry("a", 0, 1).Incarnation(), Incarnation("a@1764700000000"))
	is.Equal(entry("a").Incarnation(), Incarnation("a"))
}

// After any sequence of events, the count of requests in flight must not be negative or include
// requests of another incarnation, and an incarnation holds only versions that its own entries
// named.
func TestIncarnationsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(drainBound, zap.NewNop())
		newest, listed := -1, false
		inFlight := map[Incarnation]int{}
		held := map[Incarnation]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				of := startedEntry("a", rapid.IntRange(0, 3).Draw(t, "start"), rapid.Int64Range(1, 9).Draw(t, "version"))
				number := int(of.StartedAt.Sub(firstStart).Seconds())
				table.Set(of)
				if number >= newest {
					newest, listed = number, true
					held[of.Incarnation()] = max(held[of.Incarnation()], of.Versions["m"])
				}
			case 2:
				table.Remove("a")
				listed = false
			case 3:
				if now, ok := table.Get("a"); ok {
					table.RequestStarted(now.Incarnation())
					inFlight[now.Incarnation()]++
				}
			case 4:
				for i, count := range inFlight {
					if count > 0 {
						table.RequestEnded(i)
						inFlight[i]--
						break
					}
				}
			}
			now, ok := table.Get("a")
			if ok != listed {
				t.Fatalf("listed: %v, want %v", ok, listed)
			}
			if ok && (now.Incarnation() != startedEntry("a", newest, 0).Incarnation() || now.InFlight != inFlight[now.Incarnation()] || now.Versions["m"] != held[now.Incarnation()]) {
				t.Fatalf("%s: %d requests in flight, holds version %d; want %d, %d", now.Incarnation(), now.InFlight, now.Versions["m"], inFlight[now.Incarnation()], held[now.Incarnation()])
			}
		}
	})
}

// A reported slowdown must lose its effect within tenths of a second.
func TestReportedSlowdownDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(drainBound, zap.NewNop())
		table.Replace([]Entry{entry("a"), entry("b")})
		for _, i := range []Incarnation{"a", "b"} {
			table.RequestSucceeded(i, 30*time.Millisecond)
		}
		slowdown := func() float64 {
			r, _ := table.Get("a")
			return r.Slowdown
		}
		shareOf := func() float64 {
			const picks = 400
			toA := 0
			for range picks {
				r, _ := Pick(table.Replicas("s"), nil, time.Now())
				if r.ID == "a" {
					toA++
				}
			}
			return float64(toA) / picks
		}
		is.Equal(slowdown(), 1.0)
		table.ReportSlowdown("a", 3)
		is.Equal(slowdown(), 3.0)
		is.Equal(shareOf(), 0.0)
		time.Sleep(slowdownHalfLife)
		is.Equal(slowdown(), 2.0)
		time.Sleep(slowdownMaxAge)
		is.Equal(slowdown(), 1.0)
		is.True(shareOf() > 0.3)
		table.ReportSlowdown("a", 1e6)
		is.Equal(slowdown(), maxSlowdown)
		table.ReportSlowdown("a", 0.001)
		is.Equal(slowdown(), minSlowdown)
		is.Equal(shareOf(), 1.0)
	})
}

// A slow but idle replica must still be preferred to a busy one.
func TestSlowdownAloneDoesNotExcludeReplica(t *testing.T) {
	is := is.New(t)
	slow, busy := Replica{Entry: entry("slow"), Slowdown: maxSlowdown, Latency: 20 * time.Millisecond}, Replica{Entry: entry("busy"), Slowdown: 1, InFlight: 4, Latency: 20 * time.Millisecond}
	for range 100 {
		r, _ := Pick([]Replica{slow, busy}, nil, time.Now())
		is.Equal(r.ID, "slow")
	}
}

// ObserveEvent is called for each event of a stream.
func BenchmarkObserveEvent(b *testing.B) {
	table := NewTable(drainBound, zap.NewNop())
	table.Set(startedEntry("a", 0, 1))
	r, _ := table.Get("a")
	for b.Loop() {
		table.ObserveEvent(r.Incarnation(), time.Millisecond)
	}
}

func BenchmarkIncarnation(b *testing.B) {
	chosen := startedEntry("engine-0123456789", 0, 1)
	for b.Loop() {
		_ = chosen.Incarnation()
	}
}
