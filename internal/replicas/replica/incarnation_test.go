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

// startedEntry is an entry of the given start, which holds a version.
func startedEntry(id string, start int, version int64) Entry {
	e := entry(id)
	e.StartedAt = firstStart.Add(time.Duration(start) * time.Second)
	e.Versions = map[string]int64{"m": version}
	return e
}

// What was learned of one start went on counting for the next under the same id: a replica
// that came back was avoided, slow, busy and held versions of before.
func TestExperienceBelongsToOneStart(t *testing.T) {
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
		// What the earlier start's requests still tell is of no concern to the next one.
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

// An entry of an earlier start is left of a compaction, or was written late.
func TestAnEntryOfAnEarlierStartIsPassedOver(t *testing.T) {
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
	is.Equal(logs.FilterMessage("entry of an earlier start passed over").Len(), 2)
	table.Remove("a")
	table.Set(old)
	_, listed = table.Get("a")
	is.True(!listed) // it left as the later start
}

// An entry that tells no start is of the one that is known.
func TestAnEntryWithoutAStart(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	table.Set(startedEntry("a", 1, 2))
	i := table.Replicas("s")[0].Incarnation()
	table.Set(entry("a"))
	is.Equal(table.Replicas("s")[0].Incarnation(), i)
	is.Equal(table.Replicas("s")[0].Versions, map[string]int64{"m": 2})
}

// Connections that rest lead to a process that is no more, at whatever address it was.
func TestAnAddressIsToldWhenItsReplicaStartsAgain(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	other := netip.MustParseAddrPort("10.0.0.2:80")
	var told []netip.AddrPort
	table.OnRestart(func(address netip.AddrPort) { told = append(told, address) })
	table.Set(startedEntry("a", 0, 1))
	table.Set(startedEntry("a", 0, 2))
	is.Equal(len(told), 0)
	table.Set(startedEntry("a", 1, 1))
	is.Equal(told, []netip.AddrPort{address})
	moved := startedEntry("a", 2, 1)
	moved.Address = other
	table.Set(moved)
	is.Equal(told, []netip.AddrPort{address, address, other})
	table.Remove("a")
	table.Set(startedEntry("a", 3, 1))
	is.Equal(told, []netip.AddrPort{address, address, other, other, address})
}

// A replica's own word of a later start counts before its entry has come.
func TestAReplicaSaysThatItStartedAgain(t *testing.T) {
	is := is.New(t)
	table := NewTable(drainBound, zap.NewNop())
	table.Set(startedEntry("a", 1, 9))
	meant, _ := table.Get("a")
	is.True(table.ObserveStart(meant, time.Time{}))
	is.True(table.ObserveStart(meant, meant.StartedAt))
	is.True(!table.ObserveStart(meant, startedEntry("a", 0, 9).StartedAt)) // its answer is late
	is.Equal(table.Replicas("s")[0].Incarnation(), meant.Incarnation())
	later := startedEntry("a", 2, 1)
	is.True(!table.ObserveStart(meant, later.StartedAt))
	now := table.Replicas("s")[0]
	is.Equal(now.Incarnation(), later.Incarnation())
	is.Equal(len(now.Versions), 0)
	table.Set(startedEntry("a", 1, 9)) // the entry of before
	is.Equal(table.Replicas("s")[0].Incarnation(), later.Incarnation())
	table.Set(later)
	is.Equal(table.Replicas("s")[0].Versions, map[string]int64{"m": 1})
}

func TestNamesOfStarts(t *testing.T) {
	is := is.New(t)
	for name, id := range map[Incarnation]string{"a": "a", "a@5": "a", "a@b@5": "a@b", "a@b": "a@b", "a@": "a@"} {
		is.Equal(name.ID(), id)
		is.Equal(name.HasStartTime(), string(name) != id)
	}
	is.Equal(startedEntry("a", 0, 1).Incarnation(), Incarnation("a@1764700000000"))
	is.Equal(entry("a").Incarnation(), Incarnation("a"))
}

// Whatever happens in whatever order, no count is below zero or counts another start's
// requests, and a start holds only versions that its own entries and answers named.
func TestStartsAreKeptApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(drainBound, zap.NewNop())
		newest, listed := -1, false
		underWay := map[Incarnation]int{}
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
					underWay[now.Incarnation()]++
				}
			case 4:
				for i, count := range underWay {
					if count > 0 {
						table.RequestEnded(i)
						underWay[i]--
						break
					}
				}
			}
			now, ok := table.Get("a")
			if ok != listed {
				t.Fatalf("listed %v, should be %v", ok, listed)
			}
			if ok && (now.Incarnation() != startedEntry("a", newest, 0).Incarnation() || now.InFlight != underWay[now.Incarnation()] || now.Versions["m"] != held[now.Incarnation()]) {
				t.Fatalf("%s: %d under way, holds %d; should be %d, %d", now.Incarnation(), now.InFlight, now.Versions["m"], underWay[now.Incarnation()], held[now.Incarnation()])
			}
		}
	})
}

// The pace of work that a replica told draws requests for some tenths of a second.
func TestAToldWorkPaceCountsForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(drainBound, zap.NewNop())
		table.Replace([]Entry{entry("a"), entry("b")})
		for _, i := range []Incarnation{"a", "b"} {
			table.RequestSucceeded(i, 30*time.Millisecond)
		}
		paceOf := func() float64 {
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
		is.Equal(paceOf(), 1.0)
		table.ReportSlowdown("a", 3)
		is.Equal(paceOf(), 3.0)
		is.Equal(shareOf(), 0.0)
		time.Sleep(slowdownHalfLife)
		is.Equal(paceOf(), 2.0)
		time.Sleep(slowdownMaxAge)
		is.Equal(paceOf(), 1.0)
		is.True(shareOf() > 0.3)
		table.ReportSlowdown("a", 1e6)
		is.Equal(paceOf(), maxSlowdown)
		table.ReportSlowdown("a", 0.001)
		is.Equal(paceOf(), minSlowdown)
		is.Equal(shareOf(), 1.0)
	})
}

// A replica that works slowly now is still taken before one that has much to do.
func TestAWorkPaceAloneKeepsNoRequestAway(t *testing.T) {
	is := is.New(t)
	slow, busy := Replica{Entry: entry("slow"), Slowdown: maxSlowdown, Latency: 20 * time.Millisecond}, Replica{Entry: entry("busy"), Slowdown: 1, InFlight: 4, Latency: 20 * time.Millisecond}
	for range 100 {
		r, _ := Pick([]Replica{slow, busy}, nil, time.Now())
		is.Equal(r.ID, "slow")
	}
}

// Each event of a text is told to the table by its start.
func BenchmarkPaced(b *testing.B) {
	table := NewTable(drainBound, zap.NewNop())
	table.Set(startedEntry("a", 0, 1))
	r, _ := table.Get("a")
	for b.Loop() {
		table.ObserveEvent(r.Incarnation(), time.Millisecond)
	}
}

func BenchmarkStart(b *testing.B) {
	chosen := startedEntry("engine-0123456789", 0, 1)
	for b.Loop() {
		_ = chosen.Incarnation()
	}
}
