package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// runningBatches returns how many batches run at a daemon.
func runningBatches(owner *Runner) int {
	batches, _ := owner.Load()
	return batches
}

// appendLate appends a record as the journal does that carries out a call which was given up.
func appendLate(ctx context.Context, t *testing.T, log *journaltest.Journal, batchID string, record []byte) {
	t.Helper()
	is.New(t).NoErr(ledger.New(ctx, log, zap.NewNop()).PartitionOf(batchID).Append(ctx, record))
}

// A batch whose end was acknowledged must not run when its acceptance arrives late: neither at the
// owner that the acceptance names, by whichever fold it reads, nor at the daemon that watches.
func TestALateAcceptanceOfAnEndedBatchStartsNothing(t *testing.T) {
	for _, located := range []bool{false, true} {
		withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
			owner, other := newOwner(ctx, t, log, "a/1"), newOwner(ctx, t, log, "b/1")
			if located {
				owner.locator = ledgerLocator{other.ledger}
			}
			is.NoErr(other.End(ctx, "x", ""))
			appendLate(ctx, t, log, "x", batch.Accepted(&twoItems, "a/1"))
			group := &fakeGroup{partitions: map[journal.Partition]bool{other.ledger.Locate("x"): true}}
			go NewWatcher(other, group).Run(ctx)
			go owner.AdoptAssigned("x")
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				is.Equal(runningBatches(owner), 0)
				is.Equal(runningBatches(other), 0)
			}
			is.Equal(ownerInJournal(ctx, t, log, "x"), "a/1") // nobody took it over
		})
	}
}

// A batch that its caller sends again after it ended it must not run either.
func TestABatchSubmittedAgainAfterItsEndStartsNothing(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwner(ctx, t, log, "a/1")
		is.NoErr(owner.End(ctx, "x", ""))
		for range 2 {
			is.NoErr(owner.Accept(ctx, &twoItems))
			time.Sleep(time.Second)
			is.Equal(runningBatches(owner), 0)
		}
	})
}

// A daemon that lacks the early end, as one of an earlier version, must stop the batch: the watcher
// appends the end once more, also if the journal refuses at first.
func TestAnEarlyEndIsRepeatedAfterTheAcceptance(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		watching := newOwner(ctx, t, log, "b/1")
		is.NoErr(watching.End(ctx, "x", ""))
		appendLate(ctx, t, log, "x", batch.Accepted(&twoItems, "a/1"))
		owner := newOwner(ctx, t, log, "a/1")
		alone := owner.ledger.NewPartitionAt(owner.ledger.Locate("x"), 1)
		is.NoErr(alone.CatchUp(ctx))
		owner.adopt(alone, "x")
		is.Equal(runningBatches(owner), 1)
		refuse(log, journaltest.Append)
		group := &fakeGroup{partitions: map[journal.Partition]bool{alone.Name(): true}}
		go NewWatcher(watching, group).Run(ctx)
		time.Sleep(4 * time.Second)
		log.SetFault(nil)
		time.Sleep(SubmitTimeout + time.Second)
		is.Equal(runningBatches(owner), 0)
		whole := watching.ledger.PartitionOf("x")
		is.NoErr(whole.CatchUp(ctx))
		end := int64(0)
		whole.View(func(state *batch.State) { end = state.NextOffset() })
		time.Sleep(10 * time.Second)
		is.NoErr(whole.CatchUp(ctx))
		whole.View(func(state *batch.State) { is.Equal(state.NextOffset(), end) }) // repeated once
	})
}
