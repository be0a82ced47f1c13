package occupancy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

const engine = Key(7)

// newReport is a report with some requests at one engine, sent at a time of the sender's clock.
func newReport(run string, number uint64, sent time.Time, requests uint32) Report {
	return Report{
		Sender:     run,
		Number:     number,
		SentMillis: sent.UnixMilli(),
		Counts:     []RequestCount{{Replica: engine, Requests: requests}},
	}
}

// withTable runs a test of a table in virtual time, with the clock of its machine.
func withTable(t *testing.T, test func(is *is.I, table *Table, clock *clocktest.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		clock := clocktest.New()
		test(is.New(t), NewTable("self/1", clock.Now, zap.NewNop()), clock)
	})
}

// An owner that is cut off, or gone without a word, counts for reportHolds and no longer.
func TestReportsExpire(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		is.Equal(table.Merge(newReport("a/1", 1, clock.Now(), 3)), Accepted)
		is.Equal(table.Merge(newReport("b/1", 1, clock.Now(), 2)), Accepted)
		is.Equal(table.InFlight(engine), 5)
		time.Sleep(reportTTL - time.Millisecond)
		is.Equal(table.Merge(newReport("b/1", 2, clock.Now(), 4)), Accepted)
		is.Equal(table.InFlight(engine), 7)
		time.Sleep(time.Millisecond)
		is.Equal(table.InFlight(engine), 4)
		is.Equal(table.Reporters(), []string{"b"})
		is.Equal(table.Stats(), TableStats{Received: 3, Expired: 1, OthersInFlight: 4})
	})
}

// Beliefs grow old while the machine that holds them is suspended.
func TestReportsExpireDuringSuspend(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		table.Merge(newReport("a/1", 1, clock.Now(), 3))
		clock.Suspend(reportTTL)
		is.Equal(table.InFlight(engine), 0)
	})
}

// A report that waited for its sender or for this machine to be woken is as old as it is: it
// is refused if it is over, and else believed for what is left.
func TestDelayedReportsKeepTheirAge(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		ahead := 40 * time.Minute // the sender's clock
		table.Merge(newReport("a/1", 1, clock.Now().Add(ahead), 3))
		late := newReport("a/1", 2, clock.Now().Add(ahead), 4)
		clock.Suspend(reportTTL / 2)
		is.Equal(table.Merge(late), Accepted)
		time.Sleep(reportTTL/2 + 2*time.Millisecond)
		is.Equal(table.InFlight(engine), 0)
		late = newReport("a/1", 3, clock.Now().Add(ahead), 5)
		clock.Suspend(2 * reportTTL)
		is.Equal(table.Merge(late), Refused)
		is.Equal(table.InFlight(engine), 0)
		is.Equal(table.Merge(newReport("a/1", 4, clock.Now().Add(ahead), 6)), Accepted)
		is.Equal(table.InFlight(engine), 6)
	})
}

// Doubles and reports that were overtaken change nothing.
func TestDuplicateAndReorderedReportsAreRefused(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		first, second := newReport("a/1", 1, clock.Now(), 3), newReport("a/1", 2, clock.Now(), 1)
		is.Equal(table.Merge(second), Accepted)
		is.Equal(table.Merge(first), Refused)
		is.Equal(table.Merge(second), Refused)
		is.Equal(table.InFlight(engine), 1)
		// An empty one ends the belief, and what it has overtaken doesn't bring it back.
		is.Equal(table.Merge(Report{Sender: "a/1", Number: 4, SentMillis: clock.Now().UnixMilli()}), Accepted)
		is.Equal(table.Merge(newReport("a/1", 3, clock.Now(), 9)), Refused)
		is.Equal(table.InFlight(engine), 0)
	})
}

// A new run replaces what the run before told, whatever the numbers, and late words of that
// run count no more. A machine whose time of day was put back is heard once the run before has
// lapsed.
func TestNewIncarnationReplacesFormer(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		table.Merge(newReport("a/1", 9, clock.Now(), 3))
		is.Equal(table.Merge(newReport("a/2", 1, clock.Now(), 1)), Accepted)
		is.Equal(table.InFlight(engine), 1)
		is.Equal(table.Merge(newReport("a/1", 10, clock.Now(), 3)), Refused)
		is.Equal(table.InFlight(engine), 1)
		time.Sleep(reportTTL)
		is.Equal(table.Merge(newReport("a/0", 1, clock.Now(), 2)), Accepted)
		is.Equal(table.InFlight(engine), 2)
		// What this machine's earlier run told is not another's.
		is.Equal(table.Merge(newReport("self/0", 1, clock.Now(), 2)), Refused)
	})
}

// Changes count only on top of the report that they are based on.
func TestDeltasNeedTheirBase(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		change := newReport("a/1", 2, clock.Now(), 5)
		change.BaseNumber = 1
		is.Equal(table.Merge(change), BaseMissing)
		table.Merge(newReport("a/1", 1, clock.Now(), 3))
		is.Equal(table.Merge(change), Accepted)
		is.Equal(table.InFlight(engine), 5)
		// After a time without reports the base is still known.
		time.Sleep(2 * reportTTL)
		more := Report{
			Sender:     "a/1",
			Number:     3,
			BaseNumber: 2,
			SentMillis: clock.Now().UnixMilli(),
			Counts:     []RequestCount{{Replica: engine + 1, Requests: 1}},
		}
		is.Equal(table.Merge(more), Accepted)
		is.Equal(table.InFlight(engine), 5)
		is.Equal(table.InFlight(engine+1), 1)
	})
}

// What differs between two states, put on top of the first, gives the second.
func TestDiffAndApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []RequestCount {
			var counts []RequestCount
			for _, key := range rapid.SliceOfN(rapid.Uint32Range(0, 20), 0, 12).Draw(t, name) {
				counts = append(counts, RequestCount{Replica: Key(key), Requests: key%4 + uint32(len(counts))})
			}
			return normalizeCounts(counts)
		}
		before, now := draw("before"), draw("now")
		made := applyDiff(before, diffCounts(before, now))
		if fmt.Sprint(made) != fmt.Sprint(now) {
			t.Fatalf("%v with changes is %v, not %v", before, made, now)
		}
	})
}

// The requests believed are always the sum of the reports that hold.
func TestSumsMatchCurrentReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) // it stands still during a step
		table := NewTable("self/1", func() time.Time { return now }, zap.NewNop())
		for number := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			run := fmt.Sprintf("%c/%d",
				'a'+rapid.IntRange(0, 4).Draw(t, "machine"), rapid.IntRange(1, 2).Draw(t, "run"))
			report := newReport(run, uint64(rapid.IntRange(0, number).Draw(t, "number")), now,
				uint32(rapid.IntRange(0, 8).Draw(t, "requests")))
			table.Merge(report)
			sum := 0
			for _, d := range table.daemons {
				if d.current && now.Sub(d.sentAt) < reportTTL {
					sum += int(d.report.Counts[0].Requests)
				}
			}
			if table.InFlight(engine) != sum || table.Stats().OthersInFlight != sum {
				t.Fatalf("%d at the engine, %d in all, reports say %d",
					table.InFlight(engine), table.Stats().OthersInFlight, sum)
			}
		}
	})
}

// A table is bounded in daemons, entries of a report and paces; what holds is not pushed out.
func TestTableIsBounded(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		long := Report{Sender: "long/1", Number: 1, SentMillis: clock.Now().UnixMilli()}
		for i := range 2 * maxEntries {
			long.Counts = append(long.Counts, RequestCount{Replica: Key(i), Requests: 1})
		}
		table.Merge(long)
		is.Equal(table.Stats().OthersInFlight, maxEntries)
		for i := range 2 * maxDaemons {
			outcome := table.Merge(newReport(fmt.Sprintf("d%d/1", i), 1, clock.Now(), 1))
			is.Equal(outcome == Accepted, i < maxDaemons-1)
		}
		time.Sleep(reportTTL)
		is.Equal(table.Merge(newReport("late/1", 1, clock.Now(), 1)), Accepted)
		is.Equal(len(table.daemons), maxDaemons)
		for i := range maxEventTimes {
			table.Adopt(Snapshot{
				Measurements: []Measurement{{Replica: Key(i), EventTime: 1}, {Replica: Key(maxEventTimes + i), EventTime: 1}},
			})
		}
		is.Equal(len(table.eventTimes), maxEventTimes)
		time.Sleep(max(daemonTTL, eventTimeMaxAge) + time.Second)
		table.Sweep()
		is.Equal(len(table.daemons)+len(table.eventTimes)+len(table.inFlight), 0)
	})
}

// Of the paces told of a replica the one measured last counts, for paceHolds.
func TestLatestEventTimeCounts(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		tell := func(run string, pace, age time.Duration) {
			report := Report{
				Sender:       run,
				Number:       1,
				SentMillis:   clock.Now().UnixMilli(),
				Measurements: []Measurement{NewMeasurement(engine, pace, age)},
			}
			is.Equal(table.Merge(report), Accepted)
		}
		tell("a/1", 30*time.Millisecond, 2*time.Second)
		tell("b/1", 40*time.Millisecond, 5*time.Second)
		pace, age := table.EventTime(engine)
		is.Equal(pace, 30*time.Millisecond)
		is.Equal(age, 2*time.Second)
		tell("c/1", 50*time.Millisecond, time.Second)
		pace, _ = table.EventTime(engine)
		is.Equal(pace, 50*time.Millisecond)
		time.Sleep(eventTimeMaxAge)
		pace, _ = table.EventTime(engine)
		is.Equal(pace, time.Duration(0))
	})
}

// A daemon that becomes an owner takes over what another believes, with its age; what it has
// heard itself stays where that is newer, and it is not told of its own requests.
func TestSnapshotsAreAdopted(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		table.Merge(newReport("a/1", 1, clock.Now(), 3))
		table.Merge(newReport("b/1", 5, clock.Now(), 2))
		table.Merge(newReport("new/1", 1, clock.Now(), 8))
		table.Adopt(Snapshot{Measurements: []Measurement{NewMeasurement(engine, 20*time.Millisecond, time.Second)}})
		time.Sleep(reportTTL / 2)
		newcomer := NewTable("new/2", clock.Now, zap.NewNop())
		newcomer.Merge(newReport("b/1", 6, clock.Now(), 1))
		is.Equal(newcomer.Adopt(table.Snapshot()), 1)
		is.Equal(newcomer.InFlight(engine), 4)
		pace, _ := newcomer.EventTime(engine)
		is.Equal(pace, 20*time.Millisecond)
		time.Sleep(reportTTL / 2)
		is.Equal(newcomer.InFlight(engine), 1)
	})
}

// A report is for one start of a replica where starts are known.
func TestKeysOfIncarnationsDiffer(t *testing.T) {
	is := is.New(t)
	born := time.Unix(1000, 0)
	is.Equal(KeyOf("e", born), KeyOf("e", born.UTC()))
	is.True(KeyOf("e", born) != KeyOf("e", born.Add(time.Second)))
	is.True(KeyOf("e", born) != KeyOf("e", time.Time{}))
}
