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

// A batch goes by a fold of its own, which may be ahead of that of the whole partition. The
// watcher, whose fold lacked the last results, began a batch anew that had just been left
// with all listed, and ran an item once more that had been given up.
func TestClosedBatchIsNotAdoptedAgain(t *testing.T) {
	for name, closing := range map[string][]byte{
		"all listed": batch.Listed("x", []batch.Result{{Item: 0, Outcome: batch.Dead}, {Item: 1, Outcome: batch.Dead}}),
		"ended":      batch.Ended("x", ""),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				log := journaltest.New()
				others := ledger.New(ctx, log, zap.NewNop()).Of("x")
				owner := newOwner(ctx, t, log, "a/1")
				whole := owner.ledger.Of("x")
				begun := func() int {
					batches, _ := owner.Load()
					return batches
				}
				is.NoErr(others.Append(ctx, batch.Accepted(&twoItems, "a/1")))
				is.NoErr(whole.CatchUp(ctx))
				alone := owner.ledger.From(whole.Name(), 0)
				is.NoErr(alone.CatchUp(ctx))
				owner.adopt(alone, "x")
				is.Equal(begun(), 1)
				is.NoErr(others.Append(ctx, closing))
				synctest.Wait()
				is.Equal(begun(), 0)
				watcher := NewWatcher(owner, &fakeGroup{})
				watcher.inspect(whole.Name(), &watchedPartition{owners: map[string]observation{}}, 0, time.Now())
				is.Equal(begun(), 0)
				// What is remembered of it goes, as does the watcher's old fold.
				time.Sleep(closedBatchTTL + time.Millisecond)
				watcher.inspect(whole.Name(), &watchedPartition{owners: map[string]observation{}}, 0, time.Now())
				is.Equal(begun(), 0)
				owner.mu.Lock()
				defer owner.mu.Unlock()
				is.Equal(len(owner.closedBatches), 0)
			})
		})
	}
}
