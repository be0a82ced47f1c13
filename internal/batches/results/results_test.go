package results

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/identity"
)

func init() { testseed.Fix() }

var errUnreachable = errors.New("daemon unreachable")

// pause waits for a duration, or returns an error when the context ends.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// daemons are readers of one journal. They implement Watchers and Peers.
type daemons struct {
	log          *journaltest.Journal
	incarnations []string
	ledgers      []*ledger.Ledger
	readers      []*Reader

	mu      sync.Mutex
	watcher int
	// assigned, if not nil, is the index of the watcher of each partition, in place of watcher.
	assigned    map[journal.Partition]int
	unreachable map[string]bool
	asked       int
}

func newDaemons(ctx context.Context, count int) *daemons {
	d := &daemons{log: journaltest.New(), unreachable: map[string]bool{}}
	for i := range count {
		incarnation := identity.New(fmt.Sprintf("m%d", i), time.Now())
		batches := ledger.New(ctx, d.log, zap.NewNop())
		d.incarnations = append(d.incarnations, incarnation)
		d.ledgers = append(d.ledgers, batches)
		d.readers = append(d.readers, NewReader(batches, d, d, scarceGrants, incarnation, zap.NewNop()))
	}
	return d
}

// withDaemons runs a test in a synctest bubble, with count daemons.
func withDaemons(
	t *testing.T, count int, test func(ctx context.Context, t *testing.T, is *is.I, d *daemons),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t.Context(), t, is.New(t), newDaemons(t.Context(), count)) })
}

// watch makes a daemon the watcher of all partitions; -1 is for an unknown watcher.
func (d *daemons) watch(daemon int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher = daemon
}

// Daemons implements Peers.
func (d *daemons) Daemons() int { return len(d.incarnations) }

// scarceGrants grants too little for own reads, whatever the number of daemons.
var scarceGrants = journal.RateLimits{ReadBytesPerSecond: 1}

// WatcherOf implements Watchers.
func (d *daemons) WatcherOf(_ context.Context, partition journal.Partition) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.assigned != nil {
		return d.incarnations[d.assigned[partition]], true
	}
	if d.watcher < 0 {
		return "", false
	}
	return d.incarnations[d.watcher], true
}

// Ask implements Peers.
func (d *daemons) Ask(ctx context.Context, machine, method string, args, reply any) error {
	d.mu.Lock()
	d.asked++
	unreachable := d.unreachable[machine]
	d.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return errUnreachable
	}
	for i, incarnation := range d.incarnations {
		if identity.Machine(incarnation) != machine {
			continue
		}
		service := d.readers[i].Service(ctx)
		if method == methodItem {
			return service.Item(args.(ItemQuery), reply.(*Body))
		}
		return service.Results(args.(Query), reply.(*Page))
	}
	return errUnreachable
}

func (d *daemons) accept(t interface{ Fatal(...any) }, id string, items int) {
	submission := &batch.Submission{ID: id}
	for i := range items {
		submission.Items = append(submission.Items, batch.Item{ID: fmt.Sprintf("%s-%d", id, i), Body: []byte(id)})
	}
	d.append(t, id, batch.Accepted(submission, "owner"))
}

func (d *daemons) append(t interface{ Fatal(...any) }, id string, record []byte) {
	if err := d.ledgers[0].PartitionOf(id).Append(context.Background(), record); err != nil {
		t.Fatal(err)
	}
}

// Guards against daemons reading a whole partition for a query that the watcher can answer.
func TestQueriesAreForwardedToWatcher(t *testing.T) {
	withDaemons(t, 40, func(ctx context.Context, t *testing.T, is *is.I, d *daemons) {
		d.accept(t, "b", 3)
		text := make([]byte, 100<<10)
		d.append(t, "b", batch.ResultsAdded("b", []batch.Result{
			{Item: 0, Outcome: batch.Done, Text: text},
			{Item: 2, Outcome: batch.Done, Text: text},
		}))
		release := d.ledgers[0].PartitionOf("b").Follow()
		defer release()
		time.Sleep(3 * time.Second)
		d.log.ResetUsage()
		for _, reader := range d.readers[1:] {
			page, err := reader.Results(ctx, Query{BatchID: "b"})
			is.NoErr(err)
			is.Equal(page.Total, 3)
			is.Equal(page.Next, 2)
			is.Equal(page.Results[1].ItemID, "b-2")
			body, err := reader.Item(ctx, ItemQuery{BatchID: "b", ItemID: "b-1"})
			is.NoErr(err)
			is.Equal(string(body.Bytes), "b")
		}
		is.Equal(d.log.Usage().ReadBytes, 0)
	})
}

// Own reads are limited to this daemon's part of the bandwidth, and to nothing just after a start.
func TestOwnReadsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, each := range []struct {
			daemons, bytes int
			want           bool
		}{
			{12, 1 << 20, true}, {12, 16 << 20, false}, {84, 1 << 20, true}, {91, 1 << 20, true},
			{91, 2 << 20, false}, {295, 1 << 20, false}, {770, 1 << 20, false}, {770, 128 << 10, true},
		} {
			budget := newReadBudget(80e6, func() int { return each.daemons })
			is.True(!budget.take(each.bytes))
			time.Sleep(budgetBurstTime)
			is.Equal(budget.take(each.bytes), each.want)
		}
		d := newDaemons(t.Context(), 1)
		partition := d.ledgers[0].PartitionOf("b")
		is.True(NewReader(d.ledgers[0], d, d, journal.RateLimits{}, "self", zap.NewNop()).
			reserveMissing(t.Context(), partition))
		is.True(NewReader(d.ledgers[0], nil, nil, journal.RateLimits{ReadBytesPerSecond: 1}, "self", zap.NewNop()).
			reserveMissing(t.Context(), partition))
	})
}

// Guards against failed queries when the watcher is unreachable or not known.
func TestQueriesAreAnsweredWithoutWatcher(t *testing.T) {
	for name, watcher := range map[string]int{"unreachable": 1, "not known": -1} {
		t.Run(name, func(t *testing.T) {
			withDaemons(t, 3, func(ctx context.Context, t *testing.T, is *is.I, d *daemons) {
				d.accept(t, "b", 2)
				d.watch(watcher)
				d.unreachable["m1"] = true
				began := time.Now()
				page, err := d.readers[2].Results(ctx, Query{BatchID: "b"})
				is.NoErr(err)
				is.True(page.Found)
				is.True(time.Since(began) <= watcherTimeout+watcherSearchInterval)
				page, err = d.readers[2].Results(ctx, Query{BatchID: "other"})
				is.NoErr(err)
				is.True(!page.Found)
			})
		})
	}
}

// Guards against a long poll that misses a result when it is forwarded to the watcher.
func TestLongPollEndsWithResult(t *testing.T) {
	withDaemons(t, 2, func(ctx context.Context, t *testing.T, is *is.I, d *daemons) {
		d.accept(t, "b", 2)
		time.AfterFunc(400*time.Millisecond, func() {
			d.append(t, "b", batch.ResultsAdded("b", []batch.Result{{Item: 1, Outcome: batch.Done}}))
		})
		began := time.Now()
		page, err := d.readers[1].Results(ctx, Query{BatchID: "b", Wait: time.Second})
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
		is.Equal(time.Since(began), 400*time.Millisecond)
		page, err = d.readers[1].Results(ctx, Query{BatchID: "b", After: 1, Wait: time.Second})
		is.NoErr(err)
		is.Equal(len(page.Results), 0)
		is.Equal(time.Since(began), 1400*time.Millisecond)
	})
}

// Guards against denying a batch without a read of the journal.
func TestAbsenceIsNotReportedWhileJournalHangs(t *testing.T) {
	withDaemons(t, 2, func(ctx context.Context, t *testing.T, is *is.I, d *daemons) {
		d.log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
		_, err := d.readers[1].Results(ctx, Query{BatchID: "b"})
		is.True(errors.Is(err, ErrNotCaughtUp))
	})
}

// operation is one call of a history: the acceptance of a batch, or a query whether it exists.
type operation struct{ accept, found bool }

// existenceModel is the sequential model of one batch, which exists from its acceptance on.
var existenceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		if input.(operation).accept {
			return true, true
		}
		return output.(operation).found == state.(bool), state
	},
	Equal: func(first, second any) bool { return first == second },
}

// step is a change or a call at one daemon after a pause.
type step struct {
	pause  time.Duration
	daemon int
	kind   int
}

func drawStep(t *rapid.T) step {
	return step{
		pause:  time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond,
		daemon: rapid.IntRange(0, 3).Draw(t, "daemon"),
		kind:   rapid.IntRange(0, 5).Draw(t, "kind"),
	}
}

// Guards against one daemon denying a batch that another has reported, while watchers change and
// become unreachable.
func TestAnswersAreLinearizable(t *testing.T) {
	calls := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 30).Draw(rt, "steps")
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { history = runSteps(t, steps) })
		calls += len(history)
		if !porcupine.CheckOperations(existenceModel, history) {
			rt.Fatalf("the answers are not linearizable: %+v", history)
		}
	})
	if calls < 500 {
		t.Fatalf("only %d calls were checked", calls)
	}
}

// runSteps executes the steps and returns the history of calls.
func runSteps(t *testing.T, steps []step) []porcupine.Operation {
	ctx := t.Context()
	d := newDaemons(ctx, 4)
	var mu sync.Mutex
	var history []porcupine.Operation
	var running sync.WaitGroup
	start := time.Now()
	note := func(client int, began time.Time, done operation) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: done, Output: done,
			Call: began.Sub(start).Nanoseconds(), Return: time.Since(start).Nanoseconds() + 1})
	}
	for client, each := range steps {
		time.Sleep(each.pause)
		began := time.Now()
		switch each.kind {
		case 0:
			d.watch(each.daemon)
		case 1:
			d.mu.Lock()
			machine := identity.Machine(d.incarnations[each.daemon])
			d.unreachable[machine] = !d.unreachable[machine]
			d.mu.Unlock()
		case 2:
			running.Go(func() {
				d.accept(t, "b", 1)
				note(client, began, operation{accept: true, found: true})
			})
		default:
			running.Go(func() {
				if page, err := d.readers[each.daemon].Results(ctx, Query{BatchID: "b"}); err == nil {
					note(client, began, operation{found: page.Found})
				}
			})
		}
	}
	running.Wait()
	return history
}

// Guards against denying a batch whose records the journal removed before this daemon read them,
// while other daemons still serve it.
func TestAbsenceIsNotReportedForRemovedRecords(t *testing.T) {
	withDaemons(t, 2, func(ctx context.Context, t *testing.T, is *is.I, d *daemons) {
		d.watch(1)
		d.accept(t, "b", 1)
		partition := d.ledgers[0].PartitionOf("b").Name()
		d.log.Trim(partition, 1)
		for _, daemon := range []int{1, 0} {
			_, err := d.readers[daemon].Results(ctx, Query{BatchID: "b"})
			is.Equal(errors.Is(err, ErrNotCaughtUp), daemon == 1) // daemon 0 has the fold
			_, err = d.readers[daemon].Item(ctx, ItemQuery{BatchID: "b", ItemID: "b-0"})
			is.Equal(errors.Is(err, ErrNotCaughtUp), daemon == 1)
		}
		// A batch that the daemon has read completely can be denied to other tenants, and its
		// missing items as well.
		var later string
		for i := 0; later == "" || d.ledgers[0].PartitionOf(later).Name() != partition; i++ {
			later = fmt.Sprintf("later-%d", i)
		}
		d.append(t, later, batch.Accepted(&batch.Submission{
			ID:     later,
			Tenant: "t",
			Items:  []batch.Item{{ID: "i"}},
		}, "owner"))
		page, err := d.readers[1].Results(ctx, Query{BatchID: later, Tenant: "t"})
		is.NoErr(err)
		is.True(page.Found)
		page, err = d.readers[1].Results(ctx, Query{BatchID: later, Tenant: "another"})
		is.NoErr(err)
		is.True(!page.Found)
		body, err := d.readers[1].Item(ctx, ItemQuery{BatchID: later, Tenant: "t", ItemID: "another"})
		is.NoErr(err)
		is.True(!body.Found)
	})
}

// Guards against waits for the watcher, a read slot and the journal that add up to more than
// callers wait.
func TestQueryEndsBeforeCallerTimeout(t *testing.T) {
	const callerTimeout = 1500 * time.Millisecond
	for _, wait := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t) // used by several goroutines
			ctx := t.Context()
			d := newDaemons(ctx, 2)
			d.accept(t, "b", 1)
			d.unreachable[identity.Machine(d.incarnations[0])] = true
			d.log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
			var queries sync.WaitGroup
			for range 3 * maxColdReads {
				queries.Go(func() {
					began := time.Now()
					_, err := d.readers[1].Results(ctx, Query{BatchID: "b", Wait: wait})
					is.True(errors.Is(err, ErrNotCaughtUp))
					is.True(time.Since(began) < wait+callerTimeout)
					if wait > 0 {
						return
					}
					began = time.Now()
					_, err = d.readers[1].Item(ctx, ItemQuery{BatchID: "b", ItemID: "b-0"})
					is.True(errors.Is(err, ErrNotCaughtUp))
					is.True(time.Since(began) < callerTimeout)
				})
			}
			queries.Wait()
		})
	}
}

// The log line of a failed query says what the fold lacked, which watcher was asked, and for how
// long.
func TestFailedQueryIsLogged(t *testing.T) {
	withDaemons(t, 2, func(ctx context.Context, t *testing.T, is *is.I, d *daemons) {
		d.accept(t, "b", 1)
		core, logs := observer.New(zap.InfoLevel)
		reader := NewReader(ledger.New(ctx, d.log, zap.NewNop()), d, d, scarceGrants, d.incarnations[1], zap.New(core))
		var ways []string
		reader.SetObserver(func(way string, answered bool, _ time.Duration) {
			ways = append(ways, fmt.Sprint(way, answered))
		})
		d.unreachable[identity.Machine(d.incarnations[0])] = true
		d.log.SetFault(func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Read {
				return journaltest.Hang
			}
			return journaltest.None
		})
		_, err := reader.Results(ctx, Query{BatchID: "b"})
		is.True(errors.Is(err, ErrNotCaughtUp))
		lines := logs.FilterMessage("query not answered").All()
		is.Equal(len(lines), 1)
		fields := lines[0].ContextMap()
		is.Equal(fields["batch"], "b")
		is.Equal(fields["way"], "paced")
		is.Equal(fields["watcher"], d.incarnations[0])
		is.Equal(fields["watcher_asked"], watcherTimeout)
		is.Equal(fields["missing_known"], false)
		is.Equal(ways, []string{"pacedfalse"})
	})
}
