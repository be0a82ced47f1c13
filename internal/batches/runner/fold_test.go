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

// ledgerLocator is a daemon that has the fold of all partitions, or a silent one if it is nil.
type ledgerLocator struct{ *ledger.Ledger }

// Beginning implements Locator.
func (h ledgerLocator) Beginning(ctx context.Context, batchID string) (offset int64, err error) {
	if h.Ledger == nil {
		return 0, errors.New("no answer")
	}
	partition := h.Of(batchID)
	if err := partition.CatchUp(ctx); err != nil {
		return 0, err
	}
	if !partition.ViewBatch(batchID, func(b *batch.Batch) { offset = b.Offset }) {
		return 0, errors.New("not known")
	}
	return offset, nil
}

// silentLocator is a watcher that never answers.
type silentLocator struct{}

func (silentLocator) Beginning(ctx context.Context, _ string) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// appendOtherBatches fills a partition with some bytes of other batches.
func appendOtherBatches(
	ctx context.Context, t *testing.T, log journal.Journal, partition journal.Partition, bytes int,
) {
	t.Helper()
	const part = 64 << 10
	for i := range bytes / part {
		other := batch.Submission{
			ID:    fmt.Sprintf("other-%d", i),
			Items: []batch.Item{{ID: "o", Body: make([]byte, part)}},
		}
		record := batch.Accepted(&other, "gone/1")
		if _, err := log.Append(ctx, journal.Append{Partition: partition, Records: [][]byte{record}}); err != nil {
			t.Fatal(err)
		}
	}
}

// firstHeartbeat reports whether the owner of oneItem has given a sign, and names it.
func firstHeartbeat(partition *ledger.Partition) (given bool, owner string) {
	partition.ViewBatch("x", func(b *batch.Batch) { given, owner = b.Signs > 0, b.Owner })
	return given, owner
}

// timeToFirstHeartbeat is how long after the acceptance of oneItem its owner gives its first sign,
// with some bytes of other batches in the partition, at an owner behind a link.
func timeToFirstHeartbeat(
	ctx context.Context, t *testing.T, others int, bytesPerSecond float64, locator Locator,
) (took time.Duration, owner string) {
	log := journaltest.New()
	seen := ledger.New(ctx, log, zap.NewNop())
	partition := seen.Of("x")
	defer partition.Follow()()
	appendOtherBatches(ctx, t, log, partition.Name(), others)
	if locator == nil {
		locator = ledgerLocator{seen}
	}
	chosen := newOwner(ctx, t, log.Behind(bytesPerSecond), "a/1")
	chosen.locator = locator
	accepter := newAccepter(ctx, log.Behind(bytesPerSecond), "a/1")
	accepter.locator = locator
	began := time.Now()
	if err := accepter.Accept(ctx, &oneItem); err != nil {
		t.Fatal(err)
	}
	chosen.AdoptAssigned("x")
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("nobody has begun")
		}
		begun, owner = firstHeartbeat(partition)
	}
	return time.Since(began), owner
}

// An owner on a weak link begins at once, whatever its batch's partition holds of others.
// When it read all of them first, the daemon that had accepted the batch took it for gone.
func TestNewOwnerReadsOnlyItsBatch(t *testing.T) {
	const link, others = 60e6 / 8, 4 << 20
	for name, each := range map[string]struct {
		locator Locator
		most    time.Duration
		// owner is who begins, "" being any.
		owner string
	}{
		"the watcher tells where": {nil, 50 * time.Millisecond, "a/1"},
		"nobody tells":            {ledgerLocator{}, 700 * time.Millisecond, ""},
		"the watcher is silent":   {silentLocator{}, 700*time.Millisecond + locateTimeout, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				took, owner := timeToFirstHeartbeat(ctx, t, others, link, each.locator)
				t.Logf("begun after %v by %s", took, owner)
				is.True(each.owner == "" || owner == each.owner)
				is.True(took < each.most)
			})
		})
	}
}

// A batch that came twice, or that has ended, is not begun anew by an owner that reads it
// alone: its fold begins with the first acceptance.
func TestSeparateFoldStartsAtFirstAcceptance(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		whole := ledger.New(ctx, log, zap.NewNop())
		partition := whole.Of("x")
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
