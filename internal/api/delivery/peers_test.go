package delivery

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/identity"
)

func init() { testseed.Fix() }

// testCluster is a set of services whose reads go to the one daemon that watches all partitions, as
// their own read rate is close to zero. It implements results.Watchers, results.Peers and Runner.
type testCluster struct {
	log     *journaltest.Journal
	watcher string
	folds   *ledger.Ledger
	// watcherClient is connected to the watcher.
	watcherClient *rpc.Client
	services      []*Service
	// jobs are the accepted batch jobs in order.
	jobs []*batch.Submission

	mu        sync.Mutex
	questions map[string]int
}

func newTestCluster(ctx context.Context, count int) *testCluster {
	p := &testCluster{log: journaltest.New(), watcher: identity.New("holder", time.Now()), questions: map[string]int{}}
	minimalRate := journal.RateLimits{ReadBytesPerSecond: 1}
	p.folds = ledger.New(ctx, p.log, zap.NewNop())
	p.watcherClient = serveWatcher(ctx, results.NewReader(p.folds, p, nil, minimalRate, p.watcher, zap.NewNop()).Service(ctx))
	for i := range count {
		reader := results.NewReader(ledger.New(ctx, p.log, zap.NewNop()), p, p, minimalRate, identity.New(fmt.Sprint("m", i), time.Now()), zap.NewNop())
		p.services = append(p.services, New(reader, p, rollout.ItemHeaders{TokenUsage: "usage"}, zap.NewNop()))
	}
	return p
}

// count returns the number of queries of a method.
func (p *testCluster) count(method string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.questions[results.ServiceName+"."+method]
}

// WatcherOf implements results.Watchers.
func (p *testCluster) WatcherOf(context.Context, journal.Partition) (string, bool) {
	return p.watcher, true
}

// Daemons implements results.Peers.
func (p *testCluster) Daemons() int { return len(p.services) + 1 }

// Ask implements results.Peers by a call over net/rpc.
func (p *testCluster) Ask(ctx context.Context, _, method string, args, answer any) error {
	p.mu.Lock()
	p.questions[method]++
	p.mu.Unlock()
	reply := reflect.New(reflect.TypeOf(answer).Elem())
	call := p.watcherClient.Go(method, args, reply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		reflect.ValueOf(answer).Elem().Set(reply.Elem())
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveWatcher serves the watcher's RPC methods over a connection and returns a client for it.
func serveWatcher(ctx context.Context, watcher *results.Service) *rpc.Client {
	server := rpc.NewServer()
	if err := server.RegisterName(results.ServiceName, watcher); err != nil {
		panic(err)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	context.AfterFunc(ctx, func() { _ = client.Close() })
	return client
}

// Accept implements Runner.
func (p *testCluster) Accept(ctx context.Context, job *batch.Submission) error {
	for _, known := range p.jobs {
		if known.ID == job.ID {
			return nil
		}
	}
	p.jobs = append(p.jobs, job)
	return p.folds.PartitionOf(job.ID).Append(ctx, batch.Accepted(job, "owner/1"))
}

// End implements Runner.
func (p *testCluster) End(ctx context.Context, jobID, _ string) error {
	return p.folds.PartitionOf(jobID).Append(ctx, batch.Ended(jobID, ""))
}

// addResult appends a result for an item, made by one version, with size bytes of padding.
func (p *testCluster) addResult(t interface{ Fatal(...any) }, job *batch.Submission, item int, version int64, size int) {
	text := fmt.Appendf(nil, `{"version":%d,"tokens":[%d],"end":"stop"}%s`, version, item, strings.Repeat(" ", size))
	record := batch.ResultsAdded(job.ID, []batch.Result{{Item: item, Outcome: batch.Done, Text: text, Versions: []int64{version}}})
	if err := p.folds.PartitionOf(job.ID).Append(context.Background(), record); err != nil {
		t.Fatal(err)
	}
}

// trainerAt returns a trainer that accepts samples at most bound versions older than the one it
// trains.
func trainerAt(newest, bound int64) Trainer {
	return Trainer{Name: "t", NewestVersion: newest, Accepts: func(oldest, trained int64) bool { return trained-oldest <= bound }}
}

func requestOfTwoPrompts(name string, samples int) rollout.Request {
	return rollout.Request{Trainer: "t", Name: name, SamplesPerPrompt: samples, MaxTokens: 10, Seed: 5, Prompts: []rollout.Prompt{{ID: "p", Text: "x"}, {ID: "q", Text: "y"}}}
}

// For any order of results, new versions and pulls at daemons without a fold, each sample is
// delivered once, with its own prompt and seed and within its bound, and in the end all are
// delivered.
func TestSamplesAreDeliveredOnceThroughDaemonsWithoutFolds(t *testing.T) {
	itemQueries, maxJobs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := newTestCluster(ctx, 3)
		const bound = 1
		version := int64(3)
		wanted := requestOfTwoPrompts("n", 3)
		header, err := p.services[0].Submit(ctx, trainerAt(version, bound), wanted)
		if err != nil {
			t.Fatal(err)
		}
		cursor, taken := rollout.NewCursor(header), map[int]bool{}
		pull := func(limit int) int {
			service := p.services[rapid.IntRange(0, len(p.services)-1).Draw(t, "service")]
			got, err := service.Deliver(ctx, trainerAt(version, bound), Pull{Cursor: cursor, Limit: limit})
			if err != nil || len(got.Samples) > limit {
				t.Fatalf("%d samples of %d, %v", len(got.Samples), limit, err)
			}
			for _, sample := range got.Samples {
				if taken[sample.Index] || version-int64(sample.Segments[0].Version) > bound {
					t.Fatalf("sample %+v at version %d, taken before: %v", sample, version, taken[sample.Index])
				}
				if sample.Seed != rollout.SampleSeed(wanted.Seed, sample.Index) || sample.PromptID != wanted.Prompts[sample.Index/wanted.SamplesPerPrompt].ID {
					t.Fatalf("sample %+v has the prompt or seed of another sample", sample)
				}
				taken[sample.Index] = true
			}
			cursor = got.Cursor
			return got.Open
		}
		listed := map[string]bool{}
		finish := func(job *batch.Submission, item int) {
			if id := job.Items[item].ID; !listed[id] {
				listed[id] = true
				size := rapid.SampledFrom([]int{0, 150 << 10}).Draw(t, "size")
				p.addResult(t, job, item, rapid.Int64Range(job.MinVersion, max(version, job.MinVersion)).Draw(t, "made by"), size)
			}
		}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"list", "list", "pull", "name"}).Draw(t, "step") {
			case "list":
				job := p.jobs[rapid.IntRange(0, len(p.jobs)-1).Draw(t, "job")]
				finish(job, rapid.IntRange(0, len(job.Items)-1).Draw(t, "item"))
			case "pull":
				pull(rapid.IntRange(1, 4).Draw(t, "limit"))
			case "name":
				version++
			}
		}
		for pulls := 0; pull(4) > 0; pulls++ {
			for _, job := range p.jobs {
				for item := range job.Items {
					finish(job, item)
				}
			}
			if pulls > 100 {
				t.Fatalf("%d of %d samples were not delivered", header.Samples-len(taken), header.Samples)
			}
		}
		if len(taken) != header.Samples {
			t.Fatalf("%d of %d samples were delivered", len(taken), header.Samples)
		}
		itemQueries += p.count("Items")
		maxJobs = max(maxJobs, len(p.jobs))
	})
	if itemQueries == 0 || maxJobs < 3 {
		t.Errorf("items were queried %d times, want more than 0; a batch had at most %d jobs, want at least 3", itemQueries, maxJobs)
	}
}

// A long poll through the watcher returns as soon as there is a sample or a stop begins. A batch
// that does not exist, was ended or has other content is unknown at each daemon.
func TestLongPollIsAnsweredThroughTheWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := newTestCluster(ctx, 2)
		service := p.services[1]
		header, err := p.services[0].Submit(ctx, trainerAt(3, 1), requestOfTwoPrompts("n", 3))
		is.NoErr(err)
		began := time.Now()
		const resultDelay = 3300 * time.Millisecond
		time.AfterFunc(resultDelay, func() { p.addResult(t, p.jobs[0], 4, 3, 0) })
		got, err := service.Deliver(ctx, trainerAt(3, 1), Pull{Cursor: rollout.NewCursor(header), Limit: 4, Wait: 10 * time.Second})
		is.NoErr(err)
		is.Equal(time.Since(began), resultDelay)
		is.Equal(len(got.Samples), 1)
		is.Equal(got.Open, 5)
		is.True(p.count("Samples") > int(resultDelay/maxPollInterval)) // one read after the submission and one per interval

		stopping, stop := context.WithCancel(ctx)
		began = time.Now()
		time.AfterFunc(resultDelay, stop)
		got, err = service.Deliver(ctx, trainerAt(3, 1), Pull{Cursor: got.Cursor, Limit: 4, Wait: 10 * time.Second, Stopping: stopping})
		is.NoErr(err)
		is.Equal(time.Since(began), resultDelay)
		is.Equal(got.Open, 5)

		other := header
		other.Digest++
		for _, unknown := range []rollout.Header{other, {Trainer: "t", Name: "none", Digest: 1, Samples: 1}} {
			_, err = service.Deliver(ctx, trainerAt(3, 1), Pull{Cursor: rollout.NewCursor(unknown), Limit: 4})
			is.True(errors.Is(err, ErrUnknownBatch))
		}
		_, err = service.Find(ctx, "t", "none")
		is.True(errors.Is(err, ErrUnknownBatch))
		_, err = service.Submit(ctx, trainerAt(3, 1), requestOfTwoPrompts("n", 2))
		is.True(errors.Is(err, ErrConflict))

		p.addResult(t, p.jobs[0], 5, 3, 0)
		is.NoErr(service.End(ctx, "t", "n"))
		_, err = service.Deliver(ctx, trainerAt(9, 1), Pull{Cursor: rollout.NewCursor(header), Limit: 4})
		is.True(errors.Is(err, ErrUnknownBatch)) // the samples are too old, and an ended batch makes no further round
	})
}

// A daemon that started after a trim cannot tell that an unknown batch of the partition does not
// exist. A further round is younger than its known first round, so its absence is certain and
// samples are made again.
func TestSamplesAreRegeneratedAfterTheJournalWasTrimmed(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	p := newTestCluster(ctx, 0)
	further := p.folds.PartitionOf(rollout.JobID("t", "n", 1))
	is.NoErr(further.Append(ctx, batch.Ended("gone", "")))
	p.log.Trim(further.Name(), 1)
	reader := results.NewReader(ledger.New(ctx, p.log, zap.NewNop()), p, nil, journal.RateLimits{}, "late/1", zap.NewNop())
	late := New(reader, p, rollout.ItemHeaders{}, zap.NewNop())
	header, err := late.Submit(ctx, trainerAt(3, 1), requestOfTwoPrompts("n", 3))
	is.NoErr(err)
	p.addResult(t, p.jobs[0], 2, 3, 0)
	got, err := late.Deliver(ctx, trainerAt(5, 1), Pull{Cursor: rollout.NewCursor(header), Limit: 4})
	is.NoErr(err)
	is.Equal(got.Open, 6)
	is.Equal(len(p.jobs), 2)
	p.addResult(t, p.jobs[1], 0, 4, 0)
	got, err = late.Deliver(ctx, trainerAt(5, 1), Pull{Cursor: rollout.NewCursor(header), Limit: 4})
	is.NoErr(err)
	is.Equal(len(got.Samples), 1)
	is.Equal(got.Samples[0].Index, 2)
}

// Guards against outdated samples that hide results listed after them, are made again twice or with
// other items, or keep a long poll from results of their own round.
func TestOutdatedSamplesDoNotHideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := newTestCluster(ctx, 2)
		wanted := requestOfTwoPrompts("n", 3)
		for i := range wanted.Prompts {
			wanted.Prompts[i].Text = strings.Repeat("x", 300<<10)
		}
		header, err := p.services[0].Submit(ctx, trainerAt(3, 1), wanted)
		is.NoErr(err)
		first := p.jobs[0]
		for _, item := range []int{0, 2, 5} {
			p.addResult(t, first, item, 3, 0)
		}
		p.addResult(t, first, 1, 5, 0)
		service, trainer := p.services[1], trainerAt(5, 1)
		got, err := service.Deliver(ctx, trainer, Pull{Cursor: rollout.NewCursor(header), Limit: 1})
		is.NoErr(err)
		is.Equal(len(got.Samples), 1)
		is.Equal(got.Samples[0].Index, 1)
		is.Equal(got.Open, 5)
		is.Equal(len(p.jobs), 2)
		is.Equal(len(p.jobs[1].Items), 3)
		for i, sample := range []int{0, 2, 5} {
			samples, ours := rollout.SampleIndex(p.jobs[1].Items[i].ID)
			is.True(ours && samples == sample)
			is.Equal(string(p.jobs[1].Items[i].Body), string(first.Items[sample].Body))
		}

		began := time.Now()
		const resultDelay = 3300 * time.Millisecond
		time.AfterFunc(resultDelay, func() { p.addResult(t, first, 3, 5, 0) })
		got, err = service.Deliver(ctx, trainer, Pull{Cursor: got.Cursor, Limit: 1, Wait: 10 * time.Second})
		is.NoErr(err)
		is.True(time.Since(began) <= resultDelay+maxPollInterval)
		is.Equal(len(got.Samples), 1)
		is.Equal(got.Samples[0].Index, 3)
		is.Equal(len(p.jobs), 2)
	})
}
