package delivery

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/ledger/ledgertest"
	"woodworks/internal/batches/results"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/identity"
)

// The fleet and load of TestSamplesAreDeliveredSoonAfterAllDaemonsStarted, as in the tests of
// package results. Rates are in bytes per second.
const (
	restartDaemons     = 91
	restartBatches     = 36
	restartSamples     = 32
	restartBatchBytes  = 2 << 20
	restartPullLimit   = 4
	restartJournalRate = 80e6
	restartLinkRate    = 45e6 / 8
	// maxStepWait bounds the time until a trainer has all samples of a batch.
	maxStepWait = 7500 * time.Millisecond
	// refusedPullDelay is the wait before a refused pull is repeated.
	refusedPullDelay = time.Second
)

// paddedFrame returns one frame padded to size bytes.
func paddedFrame(size int) []byte {
	text := []byte(`{"version":1,"tokens":[1],"end":"stop"}`)
	return append(text, bytes.Repeat([]byte(" "), size-len(text))...)
}

// restartedFleet is a fleet of services that have just started, with all batches in the journal. It
// implements results.Watchers and results.Peers.
type restartedFleet struct {
	*ledgertest.Fleet
	log      *journaltest.Journal
	services []*Service
	headers  []rollout.Header
	// watchers answer queries of peers, each over a link that carries one page at a time.
	watchers []*results.Service
	links    []chan struct{}
}

// Ask implements results.Peers.
func (r *restartedFleet) Ask(ctx context.Context, machine, method string, args, answer any) error {
	at := slices.IndexFunc(r.Incarnations, func(run string) bool { return identity.Machine(run) == machine })
	if page, ok := answer.(*results.Page); ok && method == "Results.Samples" {
		err := r.watchers[at].Samples(args.(results.Query), page)
		return cmp.Or(err, r.sendPage(ctx, at, page))
	}
	return errors.Errorf("no method %s", method)
}

// sendPage waits for the time that a page takes on the link of the daemon that answers.
func (r *restartedFleet) sendPage(ctx context.Context, at int, page *results.Page) error {
	bytes := 0
	for i := range page.Results {
		bytes += len(page.Results[i].Text)
	}
	select {
	case r.links[at] <- struct{}{}:
		defer func() { <-r.links[at] }()
	case <-ctx.Done():
		return ctx.Err()
	}
	periodic.Pause(ctx, time.Duration(float64(bytes)/restartLinkRate*float64(time.Second)))
	return ctx.Err()
}

func newRestartedFleet(ctx context.Context, t *testing.T) *restartedFleet {
	r := &restartedFleet{log: journaltest.New()}
	r.log.Partitions, r.log.RecordBytes = 16, 256<<10
	r.log.Rates = journal.RateLimits{ReadBytesPerSecond: restartJournalRate}
	jobs := ledger.New(ctx, r.log, zap.NewNop())
	text := paddedFrame(restartBatchBytes / restartSamples)
	for i := range restartBatches {
		request := rollout.Request{Trainer: "t", Name: fmt.Sprint("n", i), SamplesPerPrompt: restartSamples, MaxTokens: 10, Prompts: []rollout.Prompt{{ID: "p", Text: "x"}}}
		header := rollout.HeaderOf(request)
		r.headers = append(r.headers, header)
		job := rollout.FirstRound(request, header, 1, rollout.ItemHeaders{})
		records := [][]byte{batch.Accepted(job, "gone/1")}
		for item := range restartSamples {
			records = append(records, batch.ResultsAdded(job.ID, []batch.Result{{Item: item, Outcome: batch.Done, Text: text, Versions: []int64{1}}}))
		}
		if _, err := r.log.Append(ctx, journal.Append{Partition: jobs.Locate(job.ID), Records: records}); err != nil {
			t.Fatal(err)
		}
	}
	r.log.LimitBandwidth(restartJournalRate)
	r.Fleet = ledgertest.Start(ctx, r.log, restartDaemons, restartLinkRate)
	for i, run := range r.Incarnations {
		reader := results.NewReader(r.Ledgers[i], r, r, r.log.RateLimits(), run, zap.NewNop())
		r.watchers, r.links = append(r.watchers, reader.Service(ctx)), append(r.links, make(chan struct{}, 1))
		r.services = append(r.services, New(reader, endErrorRunner{r.Ledgers[i], nil}, rollout.ItemHeaders{}, zap.NewNop()))
	}
	r.AssignPartitions()
	return r
}

// pullBatch pulls all samples of a batch, each time from a random daemon, and returns the number of
// refused pulls.
func (r *restartedFleet) pullBatch(ctx context.Context, header rollout.Header, random *rand.Rand) (refused int) {
	trainer := Trainer{Name: "t", NewestVersion: 1, Accepts: func(int64, int64) bool { return true }}
	cursor := rollout.NewCursor(header)
	for countTaken(cursor) < header.Samples && ctx.Err() == nil {
		delivered, err := r.services[random.IntN(len(r.services))].Deliver(ctx, trainer, Pull{Cursor: cursor, Limit: restartPullLimit})
		if errors.Is(err, ErrUnavailable) {
			refused++
			time.Sleep(refusedPullDelay)
			continue
		}
		cursor = delivered.Cursor
	}
	return refused
}

// countTaken returns the number of samples that the cursor has taken.
func countTaken(cursor rollout.Cursor) (count int) {
	for _, byte := range cursor.TakenBits() {
		count += bits.OnesCount8(byte)
	}
	return count
}

// Guards against pulls that make each daemon read whole partitions after a start of all daemons, so
// that the bytes read grow with pulls times bytes and trainers wait. Reads are limited and go to
// the watcher of the partition.
func TestSamplesAreDeliveredSoonAfterAllDaemonsStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := newRestartedFleet(ctx, t)
		pulling, stop := context.WithTimeout(ctx, 4*maxStepWait)
		defer stop()
		began := time.Now()
		var trainers sync.WaitGroup
		var mu sync.Mutex
		refused, late := 0, 0
		for i, header := range r.headers {
			trainers.Go(func() {
				times := r.pullBatch(pulling, header, rand.New(rand.NewPCG(7, uint64(i))))
				mu.Lock()
				defer mu.Unlock()
				refused += times
				if time.Since(began) > maxStepWait {
					late++
				}
			})
		}
		trainers.Wait()
		t.Logf("%d of %d batches later than %v, the last after %v, %d pulls refused, %d MB read of %d",
			late, restartBatches, maxStepWait, time.Since(began), refused, r.log.Usage().ReadBytes>>20, restartBatches*restartBatchBytes>>20)
		is.Equal(late, 0)
	})
}
