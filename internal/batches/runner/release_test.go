package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// withJournal runs a test in a bubble of synctest, with a journal of its own.
func withJournal(
	t *testing.T, test func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t.Context(), t, is.New(t), journaltest.New()) })
}

// newOwner is a daemon that owns what it accepts, with one replica of the service "s".
func newOwner(ctx context.Context, t *testing.T, log journal.Journal, self string) *Runner {
	t.Helper()
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Replace([]replica.Entry{{ID: "engine", Service: "s", Slots: 4}})
	return newRunner(ctx, log, self, self, batchesFor(t, time.Minute), table)
}

// newRunner is a daemon with its replicas; the group gives its batches to owner.
func newRunner(
	ctx context.Context, log journal.Journal, self, owner string, operator Operator, table *replica.Table,
) *Runner {
	logger := zap.NewNop()
	forwarder := &forward.Forwarder{
		MaxConnections: forward.UnboundedConnections, Quarantine: quarantine.New("m", time.Now, logger),
		Table: table, Pool: upstream.NewPool(upstream.Options{}), Logger: logger,
	}
	assigner := NewAssigner(log, dealtTo(owner), self, logger)
	return New(ctx, self, ledger.New(ctx, log, logger), forwarder, operator, nil, assigner, holds{}, logger)
}

// twoItems is a batch for the route of newOwner.
var twoItems = batch.Submission{ID: "x", Host: "h", Path: "/p/x", Items: []batch.Item{{ID: "i"}, {ID: "j"}}}

// newOwnerOfTwo is an owner "a/1" of twoItems, in a bubble of synctest.
func newOwnerOfTwo(ctx context.Context, t *testing.T, log journal.Journal) *Runner {
	t.Helper()
	owner := newOwner(ctx, t, log, "a/1")
	is.New(t).NoErr(owner.Accept(ctx, &twoItems))
	synctest.Wait()
	return owner
}

// running makes the first items of a batch run, as far as its owner believes.
func running(owner *Runner, count int) *job {
	j := owner.jobList()[0]
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items[:count] {
		it.state, it.attempt, it.lastReplica = itemRunning, 1, "engine"
	}
	return j
}

// stoppingOwnerOfTwo is an owner "a/1" of twoItems that stops while both run.
func stoppingOwnerOfTwo(ctx context.Context, t *testing.T, log journal.Journal) *job {
	t.Helper()
	owner := newOwnerOfTwo(ctx, t, log)
	begun := running(owner, 2)
	go owner.Release(ctx)
	synctest.Wait()
	return begun
}

// attemptOf is the attempt that an item of running is at.
func attemptOf(j *job, i int) *attempt { return attemptAt("engine", j, j.items[i], 1, &route.Route{}) }

// startable returns how many items a daemon would start if there were room.
func startable(owner *Runner) int {
	v := owner.views(time.Now())["s"]
	if v == nil {
		return 0
	}
	return len(v.routed)
}

// An owner that stops names the items that it still finishes, and the next owner leaves
// them alone for 5 s. One of them whose run broke after the stop had begun was started by
// neither for that long and the handing over, which is 5.2 s at no replica while replicas
// had room. The owner that stops gives such an item back at once.
func TestAnItemThatBreaksAtAStoppingOwnerIsStartedByTheNext(t *testing.T) {
	for _, early := range []bool{false, true} {
		withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
			first, second := newOwnerOfTwo(ctx, t, log), newOwner(ctx, t, log, "b/1")
			begun := running(first, 2)
			if early {
				// The run breaks while the record of the release is on its way.
				log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
			}
			go first.Release(ctx)
			synctest.Wait()
			attemptOf(begun, 0).end(errors.New("reset"))
			time.Sleep(200 * time.Millisecond)
			log.SetBefall(nil)
			time.Sleep(200 * time.Millisecond)
			is.NoErr(second.TakeOver(ctx, "x", ""))
			time.Sleep(200 * time.Millisecond)
			is.Equal(startable(second), 1) // the other one still runs at the first owner
			time.Sleep(handOffWait)
			is.Equal(startable(second), 2)
		})
	}
}

// The next owner hears also of an item that breaks after it has begun itself.
func TestAnItemThatBreaksAfterTheHandingOverIsStartedByTheNext(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		begun, second := stoppingOwnerOfTwo(ctx, t, log), newOwner(ctx, t, log, "b/1")
		is.NoErr(second.TakeOver(ctx, "x", ""))
		time.Sleep(time.Second)
		is.Equal(startable(second), 0)
		attemptOf(begun, 1).end(errors.New("reset"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(startable(second), 1)
	})
}

// An owner that took a batch over and then fell silent had not finished what an owner
// before it had been left: its successor left the same items alone for 5 s once more.
func TestItemsAreLeftToTheOwnerBeforeOnlyOnce(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		stoppingOwnerOfTwo(ctx, t, log)
		third := newOwner(ctx, t, log, "c/1")
		is.NoErr(third.ledger.Of("x").Append(ctx, batch.TakenOver("x", "", "b/1")))
		time.Sleep(heartbeatTimeout)
		is.NoErr(third.TakeOver(ctx, "x", "b/1"))
		time.Sleep(100 * time.Millisecond)
		is.Equal(startable(third), 2)
	})
}
