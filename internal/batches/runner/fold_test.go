package runner

import (
	"context"
	"fmt"
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
)

// ledgerLocator locates batches in a ledger. If the ledger is nil, every call fails.
type ledgerLocator struct{ *ledger.Ledger }

// Beginning implements Locator.
func (h ledgerLocator) Beginning(ctx context.Context, batchID string) (offset int64, err error) {
	if h.Ledger == nil {
		return 0, errors.New("no answer")
	}
	partition := h.PartitionOf(batchID)
	if err := partition.CatchUp(ctx); err != nil {
		return 0, err
	}
	if !partition.ViewBatch(batchID, func(b *batch.Batch) { offset = b.Offset }) {
		return 0, errors.New("unknown batch")
	}
	return offset, nil
}

// silentLocator is a Locator that never answers.
type silentLocator struct{}

func (silentLocator) Beginning(ctx context.Context, _ string) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// appendOtherBatches fills a partition with the given number of bytes of other batches.
func appendOtherBatches(
	ctx context.Context, t *testing.T, log journal.Journal, partition journal.Partition, bytes int,
) {
	t.Helper()
	const size = 64 << 10
	for i := range bytes / size {
		other := batch.Submission{
			ID:    fmt.Sprintf("other-%d", i),
			Items: []batch.Item{{ID: "o", Body: make([]byte, size)}},
		}
		record := batch.Accepted(&other, "gone/1")
		if _, err := log.Append(ctx, journal.Append{Partition: partition, Records: [][]byte{record}}); err != nil {
			t.Fatal(err)
		}
	}
}

// firstHeartbeat reports whether the owner of oneItem has shown a sign of life, and returns the
// owner.
func firstHeartbeat(partition *ledger.Partition) (seen bool, owner string) {
	partition.ViewBatch("x", func(b *batch.Batch) { seen, owner = b.LivenessSignals > 0, b.Owner })
	return seen, owner
}

// timeToFirstHeartbeat returns the time from the acceptance of oneItem to its owner's first
// heartbeat, and the name of that owner. The partition holds the given bytes of other batches, and
// the owner is behind a slow link.
func timeToFirstHeartbeat(
	ctx context.Context, t *testing.T, others int, bytesPerSecond float64, locator Locator,
) (took time.Duration, owner string) {
	log := journaltest.New()
	whole := ledger.New(ctx, log, zap.NewNop())
	partition := whole.PartitionOf("x")
	defer partition.Follow()()
	appendOtherBatches(ctx, t, log, partition.Name(), others)
	if locator == nil {
		locator = ledgerLocator{whole}
	}
	chosen := newOwner(ctx, t, log.OverLink(bytesPerSecond), "a/1")
	chosen.locator = locator
	accepter := newAccepter(ctx, log.OverLink(bytesPerSecond), "a/1")
	accepter.locator = locator
	began := time.Now()
	if err := accepter.Accept(ctx, &oneItem); err != nil {
		t.Fatal(err)
	}
	chosen.AdoptAssigned("x")
	for seen := false; !seen; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("no heartbeat after 5 s")
		}
		seen, owner = firstHeartbeat(partition)
	}
	return time.Since(began), owner
}

// A new owner on a slow link must send its first heartbeat before the accepting daemon takes the
// batch over, however many bytes of other batches the partition holds.
func TestNewOwnerReadsOnlyItsBatch(t *testing.T) {
	const link, others = 60e6 / 8, 4 << 20
	for name, each := range map[string]struct {
		locator Locator
		max     time.Duration
		// owner is the expected owner, "" for any.
		owner string
	}{
		"located":           {nil, 50 * time.Millisecond, "a/1"},
		"locator fails":     {ledgerLocator{}, 700 * time.Millisecond, ""},
		"locator is silent": {silentLocator{}, 700*time.Millisecond + locateTimeout, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				took, owner := timeToFirstHeartbeat(ctx, t, others, link, each.locator)
				t.Logf("first heartbeat after %v by %s", took, owner)
				is.True(each.owner == "" || owner == each.owner)
				is.True(took < each.max)
			})
		})
	}
}

// A fold that starts at the batch starts at its first acceptance: a batch that was accepted twice,
// or has ended, must not start again.
func TestSeparateFoldStartsAtFirstAcceptance(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		whole := ledger.New(ctx, log, zap.NewNop())
		partition := whole.PartitionOf("x")
		is.NoErr(partition.Append(ctx, batch.Accepted(&batch.Submission{ID: "before"}, "c/1")))
		is.NoErr(partition.Append(ctx, batch.Accepted(&twoItems, "c/1")))
		is.NoErr(partition.Append(ctx, batch.Ended("x", "")))
		is.NoErr(partition.Append(ctx, batch.Accepted(&twoItems, "a/1")))
		owner := newOwner(ctx, t, log, "a/1")
		owner.locator = ledgerLocator{whole}
		owner.AdoptAssigned("x")
		batches, _ := owner.Load()
		is.Equal(batches, 0)
	})
}
