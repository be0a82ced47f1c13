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

// newReport returns a report with some requests at one engine, sent at the given time of the
// sender's clock.
func newReport(sender string, number uint64, sent time.Time, requests uint32) Report {
	return Report{
		Sender:     sender,
		Number:     number,
		SentMillis: sent.UnixMilli(),
		Counts:     []RequestCount{{Replica: engine, Requests: requests}},
	}
}

// withTable runs a test with a table and its machine's clock, in virtual time.
func withTable(t *testing.T, test func(is *is.I, table *Table, clock *clocktest.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		clock := clocktest.New()
		test(is.New(t), NewTable("self/1", clock.Now, zap.NewNop()), clock)
	})
}

// The requests of an owner that stopped reporting must count for reportTTL and no longer.
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

// Reports must expire while the local machine is suspended.
func TestReportsExpireDuringSuspend(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		table.Merge(newReport("a/1", 1, clock.Now(), 3))
		clock.Suspend(reportTTL)
		is.Equal(table.InFlight(engine), 0)
	})
}

// A report delayed by its sender or by suspension of this machine must count only for the rest
// of its lifetime, or be refused.
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

// Duplicates and reports overtaken by later ones must change nothing.
func TestDuplicateAndReorderedReportsAreRefused(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		first, second := newReport("a/1", 1, clock.Now(), 3), newReport("a/1", 2, clock.Now(), 1)
		is.Equal(table.Merge(second), Accepted)
		is.Equal(table.Merge(first), Refused)
		is.Equal(table.Merge(second), Refused)
		is.Equal(table.InFlight(engine), 1)
		// An empty report ends the sender's, and one that it has overtaken must not restore
		// it.
		is.Equal(table.Merge(Report{Sender: "a/1", Number: 4, SentMillis: clock.Now().UnixMilli()}), Accepted)
		is.Equal(table.Merge(newReport("a/1", 3, clock.Now(), 9)), Refused)
		is.Equal(table.InFlight(engine), 0)
	})
}

// A new incarnation must replace the former one whatever its report numbers, and late reports
// of the former must be refused. If the wall clock was set back, the new one is accepted once
// the former's report has expired.
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
		// Reports of an earlier incarnation of this daemon are not another owner's.
		is.Equal(table.Merge(newReport("self/0", 1, clock.Now(), 2)), Refused)
	})
}

// A delta must be refused unless its base is the last accepted report.
func TestDeltasNeedTheirBase(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		delta := newReport("a/1", 2, clock.Now(), 5)
		delta.BaseNumber = 1
		is.Equal(table.Merge(delta), BaseMissing)
		table.Merge(newReport("a/1", 1, clock.Now(), 3))
		is.Equal(table.Merge(delta), Accepted)
		is.Equal(table.InFlight(engine), 5)
		// The base is kept after it has expired.
		time.Sleep(2 * reportTTL)
		next := Report{
			Sender:     "a/1",
			Number:     3,
			BaseNumber: 2,
			SentMillis: clock.Now().UnixMilli(),
			Counts:     []RequestCount{{Replica: engine + 1, Requests: 1}},
		}
		is.Equal(table.Merge(next), Accepted)
		is.Equal(table.InFlight(engine), 5)
		is.Equal(table.InFlight(engine+1), 1)
	})
}

// Applying the difference between two lists of counts to the first must give the second.
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
		got := applyDiff(before, diffCounts(before, now))
		if fmt.Sprint(got) != fmt.Sprint(now) {
			t.Fatalf("applying the diff to %v gives %v, want %v", before, got, now)
		}
	})
}

// The sums must always match the reports that have not expired.
func TestSumsMatchCurrentReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) // does not advance during a step
		table := NewTable("self/1", func() time.Time { return now }, zap.NewNop())
		for number := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			sender := fmt.Sprintf("%c/%d",
				'a'+rapid.IntRange(0, 4).Draw(t, "machine"), rapid.IntRange(1, 2).Draw(t, "incarnation"))
			report := newReport(sender, uint64(rapid.IntRange(0, number).Draw(t, "number")), now,
				uint32(rapid.IntRange(0, 8).Draw(t, "requests")))
			table.Merge(report)
			sum := 0
			for _, d := range table.daemons {
				if d.current && now.Sub(d.sentAt) < reportTTL {
					sum += int(d.report.Counts[0].Requests)
				}
			}
			if table.InFlight(engine) != sum || table.Stats().OthersInFlight != sum {
				t.Fatalf("InFlight = %d, OthersInFlight = %d, want %d",
					table.InFlight(engine), table.Stats().OthersInFlight, sum)
			}
		}
	})
}

// The table must bound its daemons, counts and event times, without evicting current reports.
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

// The latest measurement of a replica's event time must count, for eventTimeMaxAge.
func TestLatestEventTimeCounts(t *testing.T) {
	withTable(t, func(is *is.I, table *Table, clock *clocktest.Clock) {
		report := func(sender string, eventTime, age time.Duration) {
			r := Report{
				Sender:       sender,
				Number:       1,
				SentMillis:   clock.Now().UnixMilli(),
				Measurements: []Measurement{NewMeasurement(engine, eventTime, age)},
			}
			is.Equal(table.Merge(r), Accepted)
		}
		report("a/1", 30*time.Millisecond, 2*time.Second)
		report("b/1", 40*time.Millisecond, 5*time.Second)
		eventTime, age := table.EventTime(engine)
		is.Equal(eventTime, 30*time.Millisecond)
		is.Equal(age, 2*time.Second)
		report("c/1", 50*time.Millisecond, time.Second)
		eventTime, _ = table.EventTime(engine)
		is.Equal(eventTime, 50*time.Millisecond)
		time.Sleep(eventTimeMaxAge)
		eventTime, _ = table.EventTime(engine)
		is.Equal(eventTime, time.Duration(0))
	})
}

// A new owner must adopt another's snapshot with the ages of its reports, keep what it knows
// from newer reports, and skip reports of itself.
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
		eventTime, _ := newcomer.EventTime(engine)
		is.Equal(eventTime, 20*time.Millisecond)
		time.Sleep(reportTTL / 2)
		is.Equal(newcomer.InFlight(engine), 1)
	})
}

// Reports of one incarnation of a replica must not count for another one.
func TestKeysOfIncarnationsDiffer(t *testing.T) {
	is := is.New(t)
	born := time.Unix(1000, 0)
	is.Equal(KeyOf("e", born), KeyOf("e", born.UTC()))
	is.True(KeyOf("e", born) != KeyOf("e", born.Add(time.Second)))
	is.True(KeyOf("e", born) != KeyOf("e", time.Time{}))
}
