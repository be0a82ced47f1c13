package runner

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/quarantine"
)

// An item whose content is suspected must not write a record at each of its retries, only after each
// end of a replica.
func TestASuspicionIsRecordedOncePerEnd(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwner(ctx, t, log, "a/1")
		partition := owner.ledger.PartitionOf("x")
		is.NoErr(partition.Append(ctx, batch.Accepted(&oneItem, "a/1")))
		is.NoErr(partition.CatchUp(ctx))
		var j *job
		partition.ViewBatch("x", func(b *batch.Batch) { j = newJob(owner, partition, b) })
		table, it := owner.forwarder.Quarantine, j.items[0]
		content := (&attempt{routedItem: routedItem{job: j, item: it}}).content()
		records := func() int { return len(log.Records(partition.Name())) }
		before := records()
		j.recordSuspicion(it, content)
		is.Equal(records(), before) // nothing is suspected
		for end := range 3 {
			table.ReplicaEnded(content, fmt.Sprintf("r%d@%d", end, end+1), "s")
			for range 5 {
				j.recordSuspicion(it, content)
			}
			is.Equal(records(), before+end+1)
		}
		next := newOwner(ctx, t, log, "b/1")
		is.Equal(next.forwarder.Quarantine.Suspicion(content), quarantine.Unsuspected)
		is.NoErr(next.TakeOver(ctx, "x", "a/1"))
		is.Equal(next.forwarder.Quarantine.Suspicion(content), quarantine.Quarantined)
	})
}
