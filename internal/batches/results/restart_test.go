package results

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/ledger/ledgertest"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// The size of a fleet that restarts as a whole.
const (
	restartDaemons = 91
	// restartBatches is the number of batches of the last minute, restartBatchBytes the size of the
	// texts of each.
	restartBatches    = 36
	restartBatchBytes = 2 << 20
	// restartJournalRate and restartLinkRate are the rates of the journal and of the slowest links,
	// in bytes per second.
	restartJournalRate = 80e6
	restartLinkRate    = 45e6 / 8
	// restartTimeout bounds the time until all batches are read, which leaves clients time for the
	// rest of a step.
	restartTimeout = 4 * time.Second
	// maxShortReadTime bounds a short read, as of a configuration, while batches are read.
	maxShortReadTime = time.Second
)

// newRestartedDaemons returns daemons behind slow links that have just started, with a journal that
// holds batches of long texts.
func newRestartedDaemons(ctx context.Context, t *testing.T, logger *zap.Logger) *daemons {
	d := &daemons{log: journaltest.New(), unreachable: map[string]bool{}}
	d.log.Partitions = 16
	d.log.Rates = journal.RateLimits{ReadBytesPerSecond: restartJournalRate}
	d.log.RecordBytes = 256 << 10
	d.ledgers = []*ledger.Ledger{ledger.New(ctx, d.log, zap.NewNop())}
	const results = 32
	for i := range restartBatches {
		id := fmt.Sprintf("b%d", i)
		d.accept(t, id, results)
		for item := range results {
			text := make([]byte, restartBatchBytes/results)
			d.append(t, id, batch.ResultsAdded(id, []batch.Result{{Item: item, Outcome: batch.Done, Text: text}}))
		}
	}
	d.log.LimitBandwidth(restartJournalRate)
	fleet := ledgertest.Start(ctx, d.log, restartDaemons, restartLinkRate)
	d.incarnations, d.ledgers, d.assigned = fleet.Incarnations, fleet.Ledgers, fleet.WatcherIndex
	for i, incarnation := range d.incarnations {
		d.readers = append(d.readers, NewReader(d.ledgers[i], d, d, d.log.RateLimits(), incarnation, logger))
	}
	fleet.AssignPartitions()
	return d
}

// readWhole reads all results of a batch page by page, each page at a random daemon.
func (d *daemons) readWhole(ctx context.Context, id string, random *rand.Rand) {
	for after, total := 0, 1; after < total && ctx.Err() == nil; {
		page, err := d.readers[random.IntN(len(d.readers))].Results(ctx, Query{BatchID: id, After: after})
		if err != nil || !page.Found {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		after, total = page.Next, page.Total
	}
}

// checkShortReads checks the time of short reads, as of a configuration, until asking ends.
func (d *daemons) checkShortReads(ctx, asking context.Context, t *testing.T) {
	configuration := journal.Partition{Topic: "configuration"}
	for asking.Err() == nil {
		before := time.Now()
		appended, err := d.log.Append(ctx, journal.Append{
			Partition: configuration,
			Records:   [][]byte{make([]byte, 1024)},
		})
		if err != nil {
			t.Error(err)
		}
		_, err = d.log.Read(asking, journal.Read{Partition: configuration, From: appended.Offset})
		if took := time.Since(before); took > maxShortReadTime || err != nil && asking.Err() == nil {
			t.Errorf("a short read took %v: %v", took, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against own reads of all daemons taking the journal's bandwidth from the watchers after a
// start of all daemons, so that no read ends in time.
func TestAllBatchesAreReadableAfterFleetRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		core, logs := observer.New(zap.InfoLevel)
		d := newRestartedDaemons(ctx, t, zap.New(core))
		d.log.ResetUsage()
		asking, stop := context.WithTimeout(ctx, 2*restartTimeout)
		defer stop()
		began := time.Now()
		var clients, prompt sync.WaitGroup
		prompt.Go(func() { d.checkShortReads(ctx, asking, t) })
		for i := range 2 * restartBatches {
			clients.Go(func() {
				d.readWhole(asking, fmt.Sprintf("b%d", i%restartBatches), rand.New(rand.NewPCG(7, uint64(i))))
			})
		}
		clients.Wait()
		took := time.Since(began)
		read := d.log.Usage().ReadBytes
		stop()
		prompt.Wait()
		withoutWatcher := logs.FilterMessage("partition read for a query").Len()
		t.Logf("%d batches read after %v, %d MB read from the journal, %d queries whose watcher did not answer",
			restartBatches, took, read>>20, withoutWatcher)
		is.True(took < restartTimeout)
		// A query whose watcher did not answer reads one page beyond the budget.
		own := float64(read - restartBatches*restartBatchBytes - withoutWatcher*d.readers[0].ledger.MaxPageBytes())
		is.True(own < ownReadFraction*restartJournalRate*took.Seconds())
	})
}
