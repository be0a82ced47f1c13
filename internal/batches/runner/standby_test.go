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

// unaware is an operator that has said nothing.
type unaware struct{}

func (unaware) Configuration() *route.Configuration { return nil }
func (unaware) NewestVersions() map[string]int64    { return nil }

// dealtTo is a group that has dealt everything to one daemon.
type dealtTo string

func (dealtTo) Partitions() map[journal.Partition]bool { return nil }

func (d dealtTo) WatcherOf(context.Context, journal.Partition) (string, bool) { return string(d), true }

// newAccepter is a daemon "b/1" whose batches the group gives to another one.
func newAccepter(ctx context.Context, log journal.Journal, owner string) *Runner {
	return newRunner(ctx, log, "b/1", owner, unaware{}, nil)
}

// oneItem is a batch of one item for the route of newOwner.
var oneItem = batch.Submission{ID: "x", Host: "h", Path: "/p/x", Items: []batch.Item{{ID: "i"}}}

// accepterOfOne is an accepter that has accepted oneItem.
func accepterOfOne(ctx context.Context, t *testing.T, log journal.Journal, owner string) *Runner {
	t.Helper()
	accepter := newAccepter(ctx, log, owner)
	is.New(t).NoErr(accepter.Accept(ctx, &oneItem))
	return accepter
}

// A batch that was given to a daemon that has ended is taken back by the one
// that accepted it: the watchers needed 0.85 to 1.0 s of a step's 7.5.
func TestABatchGivenToAnOwnerThatHasEndedIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		accepter := accepterOfOne(ctx, t, journaltest.New(), "gone/1")
		is.Equal(ownerOf(accepter.ledger.Of("x"), "x"), "gone/1")
		time.Sleep(standByWait + 20*time.Millisecond)
		is.Equal(ownerOf(accepter.ledger.Of("x"), "x"), "b/1")
		batches, _ := accepter.Load()
		is.Equal(batches, 1)
	})
}

// An owner that has begun keeps its batch, also where its sign has reached the
// journal but not yet the accepting daemon.
func TestABatchStaysWithAnOwnerThatHasBegun(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		accepter := accepterOfOne(ctx, t, log, "a/1")
		time.Sleep(standByWait / 2)
		owner := ledger.New(ctx, log, zap.NewNop())
		is.NoErr(owner.Of("x").Append(ctx, batch.Heartbeat("x", "a/1", 1)))
		time.Sleep(10 * standByWait)
		is.Equal(ownerOf(accepter.ledger.Of("x"), "x"), "a/1")
	})
}

// Where the journal cannot be read nothing is taken over: the owner may be at
// work all the same.
func TestNothingIsTakenBackWhileTheJournalIsAway(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		accepter := accepterOfOne(ctx, t, log, "a/1")
		refuse(log, journaltest.Read)
		time.Sleep(10 * standByWait)
		log.SetBefall(nil)
		is.NoErr(accepter.ledger.Of("x").CatchUp(ctx))
		is.Equal(ownerOf(accepter.ledger.Of("x"), "x"), "a/1")
	})
}

// A daemon that had accepted a batch, and read it alone as it did not hold the whole partition,
// looked in its fold of the whole partition whether the owner was still silent. That does not
// know the batch, so that nothing was taken back, however long the owner was gone.
func TestABatchThatIsReadAloneIsTakenBack(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		watcher := ledger.New(ctx, log, zap.NewNop())
		defer watcher.Of("x").Follow()()
		putOthers(ctx, t, log, watcher.Of("x").Name(), 64<<10)
		accepter := newAccepter(ctx, log, "gone/1")
		accepter.locator = holds{watcher}
		is.NoErr(accepter.Accept(ctx, &oneItem))
		time.Sleep(standByWait + 20*time.Millisecond)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "b/1")
	})
}
