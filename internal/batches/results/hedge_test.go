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

// A daemon whose list of peers has not been read yet waited for its budget in a loop without a
// pause, as its limiter has room for nothing, so that a wait for no bytes ends at once.
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

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Nothing may be read as long as the number of daemons is not known, not even a page.
func TestNoPageIsReadWithUnknownDaemonCount(t *testing.T) {
	is := is.New(t)
	budget := newReadBudget(1e6, func() int { return 0 })
	is.True(!budget.takePage(1000))
}

// newReadDelay is how long each read of a slowJournal takes, until that is changed.
func newReadDelay(takes time.Duration) *atomic.Int64 {
	made := &atomic.Int64{}
	made.Store(int64(takes))
	return made
}

// slowJournal is a journal whose reads take a time.
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

// stubPeers are the watchers and peers of one daemon: the watcher is told after a time, and does what
// the test says.
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

// newLargeJournal is a journal with a batch of so many megabytes, in records of 100 KiB.
func newLargeJournal(ctx context.Context, t *testing.T, megabytes int) *journaltest.Journal {
	log := journaltest.New()
	log.RecordBytes = 256 << 10
	log.Granted = journal.Grants{ReadBytesPerSecond: 80e6}
	put := func(record []byte) {
		if err := ledger.New(ctx, log, zap.NewNop()).Of("b").Append(ctx, record); err != nil {
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
		put(batch.Listed("b", []batch.Result{{Item: i, Outcome: batch.Done, Text: make([]byte, 100<<10)}}))
	}
	return log
}

// newSlowReader is a reader before a journal whose reads take a time.
func newSlowReader(ctx context.Context, log *journaltest.Journal, takes *atomic.Int64, peers *stubPeers) *Reader {
	batches := ledger.New(ctx, slowJournal{log, takes}, zap.NewNop())
	return NewReader(batches, peers, peers, log.Granted, identity.New("m0", time.Now()), zap.NewNop())
}

// newLocalReader is a reader that has nobody to ask.
func newLocalReader(batches *ledger.Ledger) *Reader {
	return NewReader(batches, nil, nil, journal.Grants{}, "h", zap.NewNop())
}

// A question whose own read has an answer after 0.5 s is answered then, also where nobody can say
// who holds the partition.
func TestOwnReadDoesNotWaitForWatcherSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		takes := newReadDelay(500 * time.Millisecond)
		log := newLargeJournal(ctx, t, 1)
		peers := &stubPeers{daemons: 4, lookupDelay: 150 * time.Millisecond}
		reader := newSlowReader(ctx, log, takes, peers)
		time.Sleep(budgetBurstTime)
		// The first page tells what there is, and a later question of one text comes upon it.
		err := reader.ledger.Of("b").ReadPage(ctx)
		is.NoErr(err)
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b", After: 5})
		t.Logf("after %v: %d results, %v", time.Since(began), len(page.Results), err)
		is.NoErr(err)
		is.True(time.Since(began) <= 600*time.Millisecond)
	})
}

// A question that is held, with nothing to tell, ends with an empty page at the end of its hold
// where the watcher was learned of after 0.55 s.
func TestLongPollEndsInTimeWithSlowWatcherSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		log := newLargeJournal(ctx, t, 1)
		watcher := newLocalReader(ledger.New(ctx, log, zap.NewNop())).Service(ctx)
		blamed := false
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
				blamed = errors.Is(ctx.Err(), context.DeadlineExceeded)
				return ctx.Err()
			}
		}
		batches := ledger.New(ctx, log, zap.NewNop())
		reader := NewReader(batches, peers, peers, scarceGrants, identity.New("m0", time.Now()), zap.NewNop())
		const wait = 2 * time.Second
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b", After: 10, Wait: wait})
		_ = page
		t.Logf("total known: after %v, %v", time.Since(began), err)
		began = time.Now()
		submission := &batch.Submission{ID: "c", Items: []batch.Item{{ID: "i"}}}
		is.NoErr(ledger.New(ctx, log, zap.NewNop()).Of("c").Append(ctx, batch.Accepted(submission, "owner")))
		page, err = reader.Results(ctx, Query{BatchID: "c", Wait: wait})
		t.Logf("after %v: found %v, %v; watcher blamed: %v", time.Since(began), page.Found, err, blamed)
		is.NoErr(err)
		is.True(page.Found)
		is.True(!blamed)
		is.True(time.Since(began) <= wait+answerTimeout)
	})
}

// Where the watcher cannot be asked, a daemon makes its way through the partition from question to
// question, also if each read takes a little longer than a question waits before it asks the watcher.
func TestLateReadsMakeProgressWithoutWatcher(t *testing.T) {
	for name, once := range map[string]bool{"always late": false, "late once": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				takes := newReadDelay(450 * time.Millisecond)
				log := newLargeJournal(ctx, t, 3)
				peers := &stubPeers{daemons: 84, watcher: identity.New("h", time.Now())}
				peers.answer = func(context.Context, any, any) error { return errUnreachable }
				reader := newSlowReader(ctx, log, takes, peers)
				time.Sleep(budgetBurstTime)
				began, refused := time.Now(), 0
				for after := 0; after < 30 && time.Since(began) < time.Minute; {
					page, err := reader.Results(ctx, Query{BatchID: "b", After: after})
					if err != nil || len(page.Results) == 0 {
						refused++
						time.Sleep(500 * time.Millisecond)
					}
					if once {
						takes.Store(int64(4 * time.Millisecond))
					}
					after = max(after, page.Next)
				}
				t.Logf("told after %v, %d refused, %d bytes read by the daemon",
					time.Since(began), refused, log.Usage().ReadBytes)
				is.True(time.Since(began) < 15*time.Second)
			})
		})
	}
}

// In an outage of the journal a question leaves a few lines at most: three.
func TestLogLinesPerQueryInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		takes := newReadDelay(time.Hour)
		log := newLargeJournal(ctx, t, 1)
		core, lines := observer.New(zap.InfoLevel)
		peers := &stubPeers{daemons: 84, watcher: ""}
		batches := ledger.New(ctx, slowJournal{log, takes}, zap.NewNop())
		reader := NewReader(batches, peers, peers, log.Granted, "m0", zap.New(core))
		time.Sleep(budgetBurstTime)
		const questions = 20
		for range questions {
			_, _ = reader.Results(ctx, Query{BatchID: "b"})
			time.Sleep(500 * time.Millisecond)
		}
		counts := map[string]int{}
		for _, line := range lines.All() {
			counts[line.Message]++
		}
		t.Logf("%d questions in %d lines: %v", questions, lines.Len(), counts)
		is.New(t).True(lines.Len() <= 3*questions)
	})
}

// A batch at the beginning of a long partition is told with the first page, though the rest of
// the partition takes longer to read than a question has.
func TestResultsAreReturnedBeforeCatchUpEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		const takes = 300 * time.Millisecond
		log := newLargeJournal(ctx, t, 8)
		reader := newLocalReader(ledger.New(ctx, slowJournal{log, newReadDelay(takes)}, zap.NewNop()))
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b"})
		is.NoErr(err)
		is.True(len(page.Results) > 0)
		is.True(time.Since(began) <= 2*takes)
	})
}

// Where the watcher fails at once, the own read that is late goes on, and its answer counts.
func TestOwnReadAnswersWhenWatcherFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		const takes = 800 * time.Millisecond
		log := newLargeJournal(ctx, t, 1)
		peers := &stubPeers{daemons: 4, watcher: identity.New("h", time.Now())}
		peers.answer = func(context.Context, any, any) error { return errUnreachable }
		reader := newSlowReader(ctx, log, newReadDelay(takes), peers)
		reader.budget.adjust(time.Now())
		time.Sleep(budgetBurstTime)
		err := reader.ledger.Of("b").ReadPage(ctx)
		is.NoErr(err)
		began := time.Now()
		page, err := reader.Results(ctx, Query{BatchID: "b", After: 5})
		is.NoErr(err)
		is.True(len(page.Results) > 0)
		is.Equal(time.Since(began), takes)
	})
}
