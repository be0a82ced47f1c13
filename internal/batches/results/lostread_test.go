package results

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// losingJournal loses the answers to the next reads that don't wait for records.
type losingJournal struct {
	*journaltest.Journal
	toLose atomic.Int64
}

func (l *losingJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if request.Wait == 0 && l.toLose.Add(-1) >= 0 {
		<-ctx.Done()
		return journal.Records{}, journal.ErrUnknown
	}
	return l.Journal.Read(ctx, request)
}

// Guards against the refusal of a query whose read was given up as lost while there was time for
// another one: a caller got 503 for a batch that does not exist for it.
func TestAQueryOutlivesALostRead(t *testing.T) {
	for _, samePartition := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			losing := &losingJournal{Journal: journaltest.New()}
			log := journal.DetectLostCalls(losing, zap.NewNop())
			batches := ledger.New(ctx, log, zap.NewNop())
			reader := NewReader(batches, nil, nil, journal.RateLimits{}, "m/1", zap.NewNop())
			partition := batches.PartitionOf("x")
			is.NoErr(partition.Append(ctx, batch.Accepted(&batch.Submission{ID: "x", Tenant: "a", Items: make([]batch.Item, 1)}, "m/1")))
			answered := journal.Partition{Topic: "another"}
			if samePartition {
				answered = partition.Name()
			}
			go periodic.Every(ctx, 50*time.Millisecond, func(ctx context.Context) {
				// Answers by which the detector sees that the journal answers.
				_, _ = log.Read(ctx, journal.Read{Partition: answered, Wait: time.Millisecond})
				_, _ = losing.Append(ctx, journal.Append{Partition: journal.Partition{Topic: "unused"}, Records: [][]byte{{1}}})
				_, _ = log.Append(ctx, journal.Append{Partition: partition.Name(), Records: [][]byte{batch.Heartbeat("x", "m/1", 1)}})
			})
			losing.toLose.Store(1)
			began := time.Now()
			page, err := reader.Results(ctx, Query{BatchID: "x", Tenant: "b"})
			is.NoErr(err)
			is.True(!page.Found)
			is.True(time.Since(began) < answerTimeout)
		})
	}
}
