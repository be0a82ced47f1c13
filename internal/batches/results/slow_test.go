//go:build !race

// The race detector's runtime crashes with SIGSEGV in about one of three runs of these tests, which
// have 84 daemons and millions of timers in a synctest bubble.

package results

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// recoveryTimeout bounds the time from a start of all daemons until queries must not fail.
const recoveryTimeout = 15 * time.Second

// Guards against a slow own read, due to a busy or slow journal, keeping a query from the watcher
// that holds the answer.
func TestWatcherAnswersWhenOwnReadIsSlow(t *testing.T) {
	for name, degrade := range map[string]func(f *fleet){
		"a busy journal":          func(f *fleet) { f.journalLink.setRate(400e3) },
		"answers that take 0.3 s": func(f *fleet) { f.readLatency.Store(int64(300 * time.Millisecond)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				options := typicalFleet()
				options.daemons, options.partitions, options.batches = 3, 1, 12
				// The budget of each daemon may cover the contents of all partitions.
				bytes := options.daemons * options.batches * options.texts * options.textBytes
				options.grantedRate = 2 * float64(bytes) / ownReadFraction / budgetBurstTime.Seconds()
				f := newFleet(ctx, t, options, zap.NewNop())
				time.Sleep(recoveryTimeout)
				degrade(f)
				id := f.lastOfLargestPartition()
				for _, node := range f.nodes {
					page, err := f.query(ctx, node, Query{BatchID: id})
					is.NoErr(err)
					is.True(len(page.Results) > 0)
				}
			})
		})
	}
}

// Guards against accumulated budgets overloading the journal: own reads of all daemons at once take
// longer than a query may, most of all with a journal that delivers less than it grants.
func TestNoQueryFailsAfterFleetRecovery(t *testing.T) {
	for name, set := range map[string]func(options *fleetOptions){
		"the journal delivers its grant":    func(*fleetOptions) {},
		"the journal delivers half":         func(options *fleetOptions) { options.journalRate /= 2 },
		"the journal delivers a quarter":    func(options *fleetOptions) { options.journalRate /= 4 },
		"the journal takes 0.3 s to answer": func(options *fleetOptions) { options.journalLatency = 300 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			options := typicalFleet()
			set(&options)
			stats := askAllAfter(t, options, recoveryTimeout)
			if stats.failed+stats.timedOut > 0 {
				t.Errorf("%d queries, of which %d failed and %d timed out at the caller",
					stats.queries, stats.failed, stats.timedOut)
			}
		})
	}
}

// Guards against own reads delaying the watchers just after a start of all daemons.
func TestFleetServesAllBatchesAfterStart(t *testing.T) {
	checkServesAllSoon(t, 1)
}

// The same with a journal that delivers half of its grant, which budgets learn only from late
// reads.
func TestFleetServesAllBatchesAtHalfJournalRate(t *testing.T) {
	checkServesAllSoon(t, 0.5)
}

// checkServesAllSoon reads all batches from a fleet that has just started, with a journal that
// delivers the given fraction of its grant.
func checkServesAllSoon(t *testing.T, fraction float64) {
	options := typicalFleet()
	options.journalRate *= fraction
	stats := askAllAfter(t, options, 100*time.Millisecond)
	if stats.unfinished > 0 || stats.took > restartTimeout {
		t.Errorf("ended after %v with %d incomplete readers; %d of %d queries failed",
			stats.took, stats.unfinished, stats.failed, stats.queries)
	}
}

// askAllAfter reads all batches some time after a start of the fleet, and logs the cost.
func askAllAfter(t *testing.T, options fleetOptions, after time.Duration) (stats *queryStats) {
	const timeout = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		f := newFleet(ctx, t, options, zap.NewNop())
		time.Sleep(after)
		before := f.journalLink.carried.Load()
		asking, stop := context.WithTimeout(ctx, timeout)
		defer stop()
		stats = f.ask(asking, 7, 3)
		t.Logf("%d queries, %d failed, %d timed out at the caller, at most %d tries, ended after %v, "+
			"%d MB read from the journal, %d MB from watchers",
			stats.queries, stats.failed, stats.timedOut, stats.maxTries, stats.took,
			(f.journalLink.carried.Load()-before)>>20, f.sentBytes.Load()>>20)
	})
	return stats
}

// lastOfLargestPartition returns the last batch of the partition that holds the most batches.
func (f *fleet) lastOfLargestPartition() (id string) {
	counts, largest := map[journal.Partition]int{}, 0
	for i := range f.options.batches {
		name := f.nodes[0].ledger.Locate(fmt.Sprintf("b%d", i))
		counts[name]++
		if counts[name] > largest {
			id, largest = fmt.Sprintf("b%d", i), counts[name]
		}
	}
	return id
}

// Guards against a daemon accumulating the whole budget for own reads while it does not know of the
// others.
func TestBudgetStartsEmptyWhenDaemonCountRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const bytesPerSecond, daemons = 80e6, 84
		known := 1
		budget := newReadBudget(bytesPerSecond, func() int { return known })
		began := time.Now()
		time.Sleep(500 * time.Millisecond)
		known = daemons
		const piece = 1 << 10
		taken := 0
		for budget.take(piece) {
			taken += piece
		}
		is.True(float64(daemons*taken) <= bytesPerSecond*ownReadFraction*time.Since(began).Seconds())
	})
}
