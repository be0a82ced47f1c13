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

// withJournal runs a test in a synctest bubble with its own journal.
func withJournal(
	t *testing.T, test func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t.Context(), t, is.New(t), journaltest.New()) })
}

// newOwner returns a daemon that owns what it accepts, with one replica of the service "s".
func newOwner(ctx context.Context, t *testing.T, log journal.Journal, self string) *Runner {
	t.Helper()
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Replace([]replica.Entry{{ID: "engine", Service: "s", Slots: 4}})
	return newRunner(ctx, log, self, self, operatorWithMaxQueue(t, time.Minute), table)
}

// newRunner returns the runner of daemon self with the given replicas. The group assigns its
// batches to owner.
func newRunner(
	ctx context.Context, log journal.Journal, self, owner string, operator Operator, table *replica.Table,
) *Runner {
	logger := zap.NewNop()
	forwarder := &forward.Forwarder{
		MaxConnections: forward.UnboundedConnections, Quarantine: quarantine.New("m", time.Now, logger),
		Table: table, Pool: upstream.NewPool(upstream.Options{}), Logger: logger,
	}
	assigner := NewAssigner(log, fixedWatcher(owner), self, logger)
	return New(ctx, self, ledger.New(ctx, log, logger), forwarder, operator, nil, assigner, ledgerLocator{}, logger)
}

// twoItems is a batch of two items for newOwner's route.
var twoItems = batch.Submission{ID: "x", Host: "h", Path: "/p/x", Items: []batch.Item{{ID: "i"}, {ID: "j"}}}

// newOwnerOfTwo returns an owner "a/1" of twoItems. It must run in a synctest bubble.
func newOwnerOfTwo(ctx context.Context, t *testing.T, log journal.Journal) *Runner {
	t.Helper()
	owner := newOwner(ctx, t, log, "a/1")
	is.New(t).NoErr(owner.Accept(ctx, &twoItems))
	synctest.Wait()
	return owner
}

// markRunning marks the first items of an owner's batch as running at its replica.
func markRunning(owner *Runner, count int) *job {
	j := owner.jobList()[0]
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items[:count] {
		it.state, it.attempt, it.lastReplica = itemRunning, 1, "engine"
	}
	return j
}

// stoppingOwnerOfTwo returns the job of an owner "a/1" of twoItems that is stopping while both
// items run.
func stoppingOwnerOfTwo(ctx context.Context, t *testing.T, log journal.Journal) *job {
	t.Helper()
	owner := newOwnerOfTwo(ctx, t, log)
	j := markRunning(owner, 2)
	go owner.Release(ctx)
	synctest.Wait()
	return j
}

// runningAttempt returns the attempt of an item that markRunning has marked.
func runningAttempt(j *job, i int) *attempt {
	return attemptAt("engine", j, j.items[i], 1, &route.Route{})
}

// startable returns the number of items that a daemon would start if there were room.
func startable(owner *Runner) int {
	v := owner.views(time.Now())["s"]
	if v == nil {
		return 0
	}
	return len(v.routed)
}

// A handed-off item that fails at the stopping owner is returned at once, so that the next owner
// starts it before handOffTimeout has passed.
func TestItemFailingDuringReleaseIsReturnedToNextOwner(t *testing.T) {
	for _, early := range []bool{false, true} {
		withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
			first, second := newOwnerOfTwo(ctx, t, log), newOwner(ctx, t, log, "b/1")
			released := markRunning(first, 2)
			if early {
				// The attempt fails before the release is recorded.
				log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
			}
			go first.Release(ctx)
			synctest.Wait()
			runningAttempt(released, 0).handleOutcome(errors.New("reset"))
			time.Sleep(200 * time.Millisecond)
			log.SetFault(nil)
			time.Sleep(200 * time.Millisecond)
			is.NoErr(second.TakeOver(ctx, "x", ""))
			time.Sleep(200 * time.Millisecond)
			is.Equal(startable(second), 1) // the other item still runs at the first owner
			time.Sleep(handOffTimeout)
			is.Equal(startable(second), 2)
		})
	}
}

// An item may also fail after the next owner has adopted the batch.
func TestItemFailingAfterTakeOverIsReturnedToNextOwner(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		released, second := stoppingOwnerOfTwo(ctx, t, log), newOwner(ctx, t, log, "b/1")
		is.NoErr(second.TakeOver(ctx, "x", ""))
		time.Sleep(time.Second)
		is.Equal(startable(second), 0)
		runningAttempt(released, 1).handleOutcome(errors.New("reset"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(startable(second), 1)
	})
}

// If the next owner falls silent in turn, its successor must not wait for the handed-off items
// again.
func TestHandedOffItemsDelayOnlyFirstSuccessor(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		stoppingOwnerOfTwo(ctx, t, log)
		third := newOwner(ctx, t, log, "c/1")
		is.NoErr(third.ledger.PartitionOf("x").Append(ctx, batch.TakenOver("x", "", "b/1")))
		time.Sleep(heartbeatTimeout)
		is.NoErr(third.TakeOver(ctx, "x", "b/1"))
		time.Sleep(100 * time.Millisecond)
		is.Equal(startable(third), 2)
	})
}

// Guards against an item that stays at no replica because it is left to a releasing owner that has ended
// without a word, for as long as its step lasts.
func TestItemsOfAReleasingOwnerThatEndsAreStarted(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		life, end := context.WithCancel(ctx)
		stoppingOwnerOfTwo(life, t, log)
		second := newOwner(ctx, t, log, "b/1")
		is.NoErr(second.TakeOver(ctx, "x", ""))
		time.Sleep(time.Second)
		is.Equal(startable(second), 0) // its heartbeats come
		end()
		time.Sleep(handOffSilence + 2*heartbeatInterval)
		is.Equal(startable(second), 2)
	})
}

// Owners of earlier versions send no heartbeats after a release.
func TestItemsOfAReleasingOwnerWithoutHeartbeatsAreStarted(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwnerOfTwo(ctx, t, log)
		partition := owner.ledger.PartitionOf("x")
		is.NoErr(partition.Append(ctx, batch.Released("x", "a/1", []int{0, 1})))
		second := newOwner(ctx, t, log, "b/1")
		is.NoErr(second.TakeOver(ctx, "x", ""))
		time.Sleep(time.Second)
		is.Equal(startable(second), 0)
		time.Sleep(longestAtNoReplica - time.Second - wakeInterval)
		is.Equal(startable(second), 2)
	})
}

// Guards against items that are left to an incarnation on the same machine that must have ended.
func TestItemsOfAnEarlierIncarnationHereAreStarted(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		life, end := context.WithCancel(ctx)
		stoppingOwnerOfTwo(life, t, log)
		end()
		again := newOwner(ctx, t, log, "a/2")
		is.NoErr(again.TakeOver(ctx, "x", ""))
		synctest.Wait()
		is.Equal(startable(again), 2)
	})
}
