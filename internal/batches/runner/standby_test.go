package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/route"
)

// emptyOperator is an operator without settings.
type emptyOperator struct{}

func (emptyOperator) Configuration() *route.Configuration { return nil }
func (emptyOperator) NewestVersions() map[string]int64    { return nil }

// fixedWatcher is a group in which one daemon watches all partitions.
type fixedWatcher string

func (fixedWatcher) Partitions() map[journal.Partition]bool { return nil }

func (d fixedWatcher) WatcherOf(context.Context, journal.Partition) (string, bool) {
	return string(d), true
}

// newAccepter returns a daemon "b/1" whose batches the group assigns to another one.
func newAccepter(ctx context.Context, log journal.Journal, owner string) *Runner {
	return newRunner(ctx, log, "b/1", owner, emptyOperator{}, nil)
}

// oneItem is a batch of one item for newOwner's route.
var oneItem = batch.Submission{ID: "x", Host: "h", Path: "/p/x", Items: []batch.Item{{ID: "i"}}}

// accepterOfOne returns an accepter that has accepted oneItem.
func accepterOfOne(ctx context.Context, t *testing.T, log journal.Journal, owner string) *Runner {
	t.Helper()
	accepter := newAccepter(ctx, log, owner)
	is.New(t).NoErr(accepter.Accept(ctx, &oneItem))
	return accepter
}

// The accepting daemon takes over a batch whose owner has ended, earlier than the watchers would.
func TestAccepterTakesOverFromEndedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		accepter := accepterOfOne(ctx, t, journaltest.New(), "gone/1")
		is.Equal(ownerOf(accepter.ledger.PartitionOf("x"), "x"), "gone/1")
		time.Sleep(minStandByDelay + 20*time.Millisecond)
		is.Equal(ownerOf(accepter.ledger.PartitionOf("x"), "x"), "b/1")
		batches, _ := accepter.Load()
		is.Equal(batches, 1)
	})
}

// An owner that has sent a heartbeat keeps its batch, even if the heartbeat has not reached the
// accepting daemon.
func TestStandByKeepsOwnerWithHeartbeat(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		accepter := accepterOfOne(ctx, t, log, "a/1")
		time.Sleep(minStandByDelay / 2)
		owner := ledger.New(ctx, log, zap.NewNop())
		is.NoErr(owner.PartitionOf("x").Append(ctx, batch.Heartbeat("x", "a/1", 1)))
		time.Sleep(10 * minStandByDelay)
		is.Equal(ownerOf(accepter.ledger.PartitionOf("x"), "x"), "a/1")
	})
}

// While the journal can't be read nothing is taken over, since the owner may still run.
func TestNoTakeOverWhileJournalIsUnavailable(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		accepter := accepterOfOne(ctx, t, log, "a/1")
		refuse(log, journaltest.Read)
		time.Sleep(10 * minStandByDelay)
		log.SetFault(nil)
		is.NoErr(accepter.ledger.PartitionOf("x").CatchUp(ctx))
		is.Equal(ownerOf(accepter.ledger.PartitionOf("x"), "x"), "a/1")
	})
}

// The accepting daemon must take a batch over even if it reads that batch alone: its fold of the
// whole partition does not contain the batch.
func TestABatchThatIsReadAloneIsTakenBack(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		watcher := ledger.New(ctx, log, zap.NewNop())
		defer watcher.PartitionOf("x").Follow()()
		appendOtherBatches(ctx, t, log, watcher.PartitionOf("x").Name(), 64<<10)
		accepter := newAccepter(ctx, log, "gone/1")
		accepter.locator = ledgerLocator{watcher}
		is.NoErr(accepter.Accept(ctx, &oneItem))
		time.Sleep(minStandByDelay + 20*time.Millisecond)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "b/1")
	})
}

// An accepting daemon that reads its batch alone must not take it over from an owner whose heartbeat
// it has not read yet.
func TestStandByThatReadsAloneKeepsOwnerWithHeartbeat(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		watcher := ledger.New(ctx, log, zap.NewNop())
		defer watcher.PartitionOf("x").Follow()()
		appendOtherBatches(ctx, t, log, watcher.PartitionOf("x").Name(), 64<<10)
		accepter := newAccepter(ctx, log, "a/1")
		accepter.locator = ledgerLocator{watcher}
		is.NoErr(accepter.Accept(ctx, &oneItem))
		refuse(log, journaltest.Read) // the heartbeat is not read before the wait is over
		time.Sleep(minStandByDelay / 2)
		is.NoErr(watcher.PartitionOf("x").Append(ctx, batch.Heartbeat("x", "a/1", 1)))
		time.Sleep(minStandByDelay/2 - time.Millisecond)
		log.SetFault(nil)
		time.Sleep(10 * minStandByDelay)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "a/1")
	})
}
