package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal/journaltest"
)

// A job's fold may be ahead of the watcher's fold of the whole partition. The watcher must not
// start a batch again that the job has found closed.
func TestClosedBatchIsNotAdoptedAgain(t *testing.T) {
	for name, closing := range map[string][]byte{
		"all listed": batch.ResultsAdded("x", []batch.Result{{Item: 0, Outcome: batch.Dead}, {Item: 1, Outcome: batch.Dead}}),
		"ended":      batch.Ended("x", ""),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				log := journaltest.New()
				others := ledger.New(ctx, log, zap.NewNop()).PartitionOf("x")
				owner := newOwner(ctx, t, log, "a/1")
				whole := owner.ledger.PartitionOf("x")
				running := func() int {
					batches, _ := owner.Load()
					return batches
				}
				is.NoErr(others.Append(ctx, batch.Accepted(&twoItems, "a/1")))
				is.NoErr(whole.CatchUp(ctx))
				alone := owner.ledger.NewPartitionAt(whole.Name(), 0)
				is.NoErr(alone.CatchUp(ctx))
				owner.adopt(alone, "x")
				is.Equal(running(), 1)
				is.NoErr(others.Append(ctx, closing))
				synctest.Wait()
				is.Equal(running(), 0)
				watcher := NewWatcher(owner, &fakeGroup{})
				watcher.inspect(whole.Name(), &watchedPartition{owners: map[string]observation{}}, 0, time.Now())
				is.Equal(running(), 0)
				// The entry in closedBatches expires, and so does the watcher's stale fold.
				time.Sleep(closedBatchTTL + time.Millisecond)
				watcher.inspect(whole.Name(), &watchedPartition{owners: map[string]observation{}}, 0, time.Now())
				is.Equal(running(), 0)
				owner.mu.Lock()
				defer owner.mu.Unlock()
				is.Equal(len(owner.closedBatches), 0)
			})
		})
	}
}
