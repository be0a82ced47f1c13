package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal/journaltest"
)

// Batches of one partition that are adopted together while their offsets are not known must share
// the read of the partition: each would otherwise read all of it.
func TestAdoptedBatchesShareTheReadOfTheirPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := journaltest.New()
		owner := newOwner(ctx, t, delayedJournal{Journal: log, delay: 50 * time.Millisecond}, "a/1")
		owner.locator = silentLocator{}
		partition := owner.ledger.PartitionOf("x").Name()
		const others, batches = 4 << 20, 8
		appendOtherBatches(ctx, t, log, partition, others)
		var ids []string
		for i := 0; len(ids) < batches; i++ {
			if id := fmt.Sprint("adopted-", i); owner.ledger.Locate(id) == partition {
				ids = append(ids, id)
			}
		}
		appended := ledger.New(ctx, log, zap.NewNop())
		for _, id := range ids {
			submission := batch.Submission{ID: id, Host: "h", Path: "/p/x", Items: []batch.Item{{ID: "i"}}}
			is.NoErr(appended.PartitionOf(id).Append(ctx, batch.Accepted(&submission, "a/1")))
		}
		before := log.Usage().ReadBytes
		for _, id := range ids {
			go owner.AdoptAssigned(id)
		}
		time.Sleep(20 * time.Second)
		owned, _ := owner.Load()
		is.Equal(owned, batches)
		is.True(log.Usage().ReadBytes-before < 2*others)
	})
}
