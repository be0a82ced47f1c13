package results

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/identity"
)

// Guards against a busy loop in await while the number of daemons, and thus the rate, is 0.
func TestBudgetAwaitDoesNotSpinWithUnknownDaemonCount(t *testing.T) {
	is := is.New(t)
	budget := newReadBudget(1e6, func() int { return 0 })
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	before := processorTime(t)
	is.True(budget.await(ctx, 1000) != nil)
	used := processorTime(t) - before
	t.Logf("used %s of processor time", used)
	is.True(used < 100*time.Millisecond)
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against reads while the number of daemons is not known.
func TestNoPageIsReadWithUnknownDaemonCount(t *testing.T) {
	is := is.New(t)
	budget := newReadBudget(1e6, func() int { return 0 })
	is.True(!budget.takePage(1000))
}

// newReadDelay returns the delay of a slowJournal, which a test may change later.
func newReadDelay(initial time.Duration) *atomic.Int64 {
	delay := &atomic.Int64{}
	delay.Store(int64(initial))
	return delay
}

// slowJournal delays each read.
type slowJournal struct {
	*journaltest.Journal
	delay *atomic.Int64 // a time.Duration
}

func (j slowJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if err := pause(ctx, time.Duration(j.delay.Load())); err != nil {
		return journal.Records{}, journal.ErrUnknown
	}
	return j.Journal.Read(ctx, request)
}

// stubPeers implements Watchers and Peers for one daemon. A lookup of the watcher takes
// lookupDelay; calls are answered by answer, or hang if that is nil.
type stubPeers struct {
	watcher     string
	lookupDelay time.Duration
	daemons     int
	answer      func(ctx context.Context, args, reply any) error
}

func (a *stubPeers) WatcherOf(ctx context.Context, _ journal.Partition) (string, bool) {
	_ = pause(ctx, a.lookupDelay)
	return a.watcher, a.watcher != ""
}

func (a *stubPeers) Daemons() int { return a.daemons }

func (a *stubPeers) Ask(ctx context.Context, _, _ string, args, reply any) error {
	if a.answer == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return a.answer(ctx, args, reply)
}

// newLargeJournal returns a journal that holds a batch named b of the given size, with a result of
// 100 KiB in each record.
func newLargeJournal(ctx context.Context, t *testing.T, megabytes int) *journaltest.Journal {
	log := journaltest.New()
	log.RecordBytes = 256 << 10
	log.Rates = journal.RateLimits{ReadBytesPerSecond: 80e6}
	put := func(record []byte) {
		if err := ledger.New(ctx, log, zap.NewNop()).PartitionOf("b").Append(ctx, record); err != nil {
			t.Fatal(err)
		}
	}
	submission := &batch.Submission{ID: "b"}
	texts := megabytes * 10
	for i := range texts {
		submission.Items = append(submission.Items, batch.Item{ID: fmt.Sprint(i)})
	}
	put(batch.Accepted(submission, "owner"))
	for i := range texts {
		put(batch.ResultsAdded("b", []batch.Result{{Item: i, Outcome: batch.Done, Text: make([]byte, 100<<10)}}))
	}
	return log
}

// newSlowReader returns a reader of the journal whose reads take delay.
func newSlowReader(ctx context.Context, log *journaltest.Journal, delay *atomic.Int64, peers *stubPeers) *Reader {
	batches := ledger.New(ctx, slowJournal{log, delay}, zap.NewNop())
	return NewReader(batches, peers, peers, log.Rates, identity.New("m0", time.Now()), zap.NewNop())
}

// newLocalReader returns a reader without peers.
func newLocalReader(batches *ledger.Ledger) *Reader {
	return NewReader(batches, nil, nil, journal.RateLimits{}, "h", zap.NewNop())
}

// Guards against an own read that has an answer waiting for a slow lookup of the watcher.
func TestOwnReadDoesNotWaitForWatcherSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		delay := newReadDelay(500 * time.Millisecond)
		log := newLargeJournal(ctx, t, 1)
		peers := &stubPeers{daemons: 4, lookupDelay: 150 * time.Millisecond}
		reader := newSlowReader(ctx, log, delay, peers)
		time.Sleep(budgetBurstTime)
		// After the first page the size of the partition is known, and the query asks for a result
		// beyond that page.
		err := reader.ledger.PartitionOf("b").ReadPage(ctx)
		is.NoErr(err)
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b", After: 5})
		t.Logf("answered after %v: %d results, error %v", time.Since(began), len(page.Results), err)
		is.NoErr(err)
		is.True(time.Since(began) <= 600*time.Millisecond)
	})
}

// Guards against a long poll that outlasts its wait, or marks the watcher as failed, when the
// lookup of the watcher is slow.
func TestLongPollEndsInTimeWithSlowWatcherSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		log := newLargeJournal(ctx, t, 1)
		watcher := newLocalReader(ledger.New(ctx, log, zap.NewNop())).Service(ctx)
		timedOut := false
		peers := &stubPeers{daemons: 4, lookupDelay: 550 * time.Millisecond, watcher: identity.New("h", time.Now())}
		peers.answer = func(ctx context.Context, args, reply any) error {
			done := make(chan error, 1)
			var page Page
			go func() { done <- watcher.Results(args.(Query), &page) }()
			select {
			case err := <-done:
				*reply.(*Page) = page
				return err
			case <-ctx.Done():
				timedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
				return ctx.Err()
			}
		}
		batches := ledger.New(ctx, log, zap.NewNop())
		reader := NewReader(batches, peers, peers, scarceGrants, identity.New("m0", time.Now()), zap.NewNop())
		const wait = 2 * time.Second
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b", After: 10, Wait: wait})
		_ = page
		t.Logf("first query answered after %v, error %v", time.Since(began), err)
		began = time.Now()
		submission := &batch.Submission{ID: "c", Items: []batch.Item{{ID: "i"}}}
		is.NoErr(ledger.New(ctx, log, zap.NewNop()).PartitionOf("c").Append(ctx, batch.Accepted(submission, "owner")))
		page, err = reader.Results(ctx, Query{BatchID: "c", Wait: wait})
		t.Logf("second query answered after %v: found %v, error %v; call to the watcher timed out: %v", time.Since(began), page.Found, err, timedOut)
		is.NoErr(err)
		is.True(page.Found)
		is.True(!timedOut)
		is.True(time.Since(began) <= wait+answerTimeout)
	})
}

// Guards against queries that never succeed when the watcher is unreachable and each read takes
// slightly longer than askWatcherDelay.
func TestLateReadsMakeProgressWithoutWatcher(t *testing.T) {
	for name, once := range map[string]bool{"always late": false, "late once": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				delay := newReadDelay(450 * time.Millisecond)
				log := newLargeJournal(ctx, t, 3)
				peers := &stubPeers{daemons: 84, watcher: identity.New("h", time.Now())}
				peers.answer = func(context.Context, any, any) error { return errUnreachable }
				reader := newSlowReader(ctx, log, delay, peers)
				time.Sleep(budgetBurstTime)
				began, failures := time.Now(), 0
				for after := 0; after < 30 && time.Since(began) < time.Minute; {
					page, err := reader.Results(ctx, Query{BatchID: "b", After: after})
					if err != nil || len(page.Results) == 0 {
						failures++
						time.Sleep(500 * time.Millisecond)
					}
					if once {
						delay.Store(int64(4 * time.Millisecond))
					}
					after = max(after, page.Next)
				}
				t.Logf("all results read after %v, %d queries failed, %d bytes read by the daemon",
					time.Since(began), failures, log.Usage().ReadBytes)
				is.True(time.Since(began) < 15*time.Second)
			})
		})
	}
}

// Guards against more than three log lines per query in an outage of the journal.
func TestLogLinesPerQueryInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		delay := newReadDelay(time.Hour)
		log := newLargeJournal(ctx, t, 1)
		core, lines := observer.New(zap.InfoLevel)
		peers := &stubPeers{daemons: 84, watcher: ""}
		batches := ledger.New(ctx, slowJournal{log, delay}, zap.NewNop())
		reader := NewReader(batches, peers, peers, log.Rates, "m0", zap.New(core))
		time.Sleep(budgetBurstTime)
		const queries = 20
		for range queries {
			_, _ = reader.Results(ctx, Query{BatchID: "b"})
			time.Sleep(500 * time.Millisecond)
		}
		counts := map[string]int{}
		for _, line := range lines.All() {
			counts[line.Message]++
		}
		t.Logf("%d queries in %d log lines: %v", queries, lines.Len(), counts)
		is.New(t).True(lines.Len() <= 3*queries)
	})
}

// Guards against results of the first page waiting until the whole of a long partition is read.
func TestResultsAreReturnedBeforeCatchUpEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		const delay = 300 * time.Millisecond
		log := newLargeJournal(ctx, t, 8)
		reader := newLocalReader(ledger.New(ctx, slowJournal{log, newReadDelay(delay)}, zap.NewNop()))
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b"})
		is.NoErr(err)
		is.True(len(page.Results) > 0)
		is.True(time.Since(began) <= 2*delay)
	})
}

// Guards against a late own read being abandoned when the watcher fails at once.
func TestOwnReadAnswersWhenWatcherFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		const delay = 800 * time.Millisecond
		log := newLargeJournal(ctx, t, 1)
		peers := &stubPeers{daemons: 4, watcher: identity.New("h", time.Now())}
		peers.answer = func(context.Context, any, any) error { return errUnreachable }
		reader := newSlowReader(ctx, log, newReadDelay(delay), peers)
		reader.budget.adjust(time.Now())
		time.Sleep(budgetBurstTime)
		err := reader.ledger.PartitionOf("b").ReadPage(ctx)
		is.NoErr(err)
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b", After: 5})
		is.NoErr(err)
		is.True(len(page.Results) > 0)
		is.Equal(time.Since(began), delay)
	})
}
