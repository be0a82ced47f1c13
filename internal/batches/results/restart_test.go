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

// The fleet of the test below, as it is after a loss of power of all machines.
const (
	restartDaemons = 91
	// restartBatches and restartBytes are the batches of the last minute, and the texts of
	// each: four trainers with some 150 texts every 4 s.
	restartBatches    = 36
	restartBatchBytes = 2 << 20
	// restartJournalRate and restartLink are what the journal and the weakest machines' links
	// carry, in bytes a second.
	restartJournalRate = 80e6
	restartLinkRate    = 45e6 / 8
	// restartTimeout is within which time every batch must have been told, which leaves
	// clients the rest of their 7.5 s for a step.
	restartTimeout = 4 * time.Second
	// maxShortReadTime is within which time a short read, as of a configuration, must be
	// answered all the while: it must be in force within 3 s.
	maxShortReadTime = time.Second
)

// newRestartedDaemons returns daemons that have just started before a journal that holds
// batches of long texts, each of them behind a weak link.
func newRestartedDaemons(ctx context.Context, t *testing.T, logger *zap.Logger) *daemons {
	d := &daemons{log: journaltest.New(), unreachable: map[string]bool{}}
	d.log.Partitions = 16
	d.log.Granted = journal.Grants{ReadBytesPerSecond: restartJournalRate}
	d.log.RecordBytes = 256 << 10
	d.ledgers = []*ledger.Ledger{ledger.New(ctx, d.log, zap.NewNop())}
	const results = 32
	for i := range restartBatches {
		id := fmt.Sprintf("b%d", i)
		d.accept(t, id, results)
		for item := range results {
			text := make([]byte, restartBatchBytes/results)
			d.append(t, id, batch.Listed(id, []batch.Result{{Item: item, Outcome: batch.Done, Text: text}}))
		}
	}
	d.log.Limit(restartJournalRate)
	fleet := ledgertest.Start(ctx, d.log, restartDaemons, restartLinkRate)
	d.incarnations, d.ledgers, d.assigned = fleet.Runs, fleet.Ledgers, fleet.Dealt
	for i, run := range d.incarnations {
		d.readers = append(d.readers, NewReader(d.ledgers[i], d, d, d.log.Grants(), run, logger))
	}
	fleet.Deal()
	return d
}

// readWhole asks for a batch page by page, each time at another daemon, until all its
// results have been told.
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

// checkShortReads checks short reads, as of a configuration, for as long as daemons are asked.
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

// After a start of all daemons at once every batch is asked for at any of them. When each
// read what it was asked for, 91 daemons asked for 6.8 GB of a journal that sends 80 MB a
// second: no read came to an end before it was given up, and nobody learned anything for
// as long as clients asked. What daemons read for questions stays within half of what the
// journal sends, whatever there is to read, and the rest is left to those who hold a
// partition for all; a question whose watcher does not answer costs a page beyond that.
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
		unasked := logs.FilterMessage("partition read for a question").Len()
		t.Logf("%d batches told after %v, %d MB read, %d questions whose watcher did not answer",
			restartBatches, took, read>>20, unasked)
		is.True(took < restartTimeout)
		// Such a question costs a page at once, as it may have no other answer.
		own := float64(read - restartBatches*restartBatchBytes - unasked*d.readers[0].ledger.PageBytes())
		is.True(own < ownReadFraction*restartJournalRate*took.Seconds())
	})
}
