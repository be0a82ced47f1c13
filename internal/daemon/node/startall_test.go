package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/group"
	"woodworks/internal/membership/identity"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

// Bounds after a start of all daemons.
const (
	// maxRecoveryTime is how soon the fleet must serve again.
	maxRecoveryTime = 15 * time.Second
	// maxConfigurationDelay is how soon a configuration must be applied by every daemon.
	maxConfigurationDelay = 3 * time.Second
)

// The fleet, in which each daemon has a link of its own, and the contents of the journal.
const (
	fleetSize = 84
	// Rate limits of a daemon's link and of the journal.
	linkBytesPerSecond    = 60e6 / 8
	grantedBytesPerSecond = 80e6
	grantedReadsPerSecond = 6000
	// The journal holds batchCount batches with batchBytes of results each.
	batchCount = 36
	batchBytes = 2 << 20
	// Each daemon starts after a random delay of up to maxStartDelay.
	maxStartDelay = 700 * time.Millisecond
	// configurationBytes is the size of a configuration record.
	configurationBytes = 16 << 10
	// shortLatency and longLatency are latencies of journal calls without data.
	shortLatency = 4 * time.Millisecond
	longLatency  = 250 * time.Millisecond
	// linkChunkBytes is the size of the chunks in which concurrent answers share a link.
	linkChunkBytes = 16 << 10
)

// link transmits data at a limited rate. Data of a cancelled call is transmitted all the same.
type link struct {
	// ctx ends with the test.
	ctx            context.Context
	bytesPerSecond float64
	// chunkBytes is how much one sender transmits before the next one, or 0 for whole answers.
	chunkBytes int

	mu        sync.Mutex
	busyUntil time.Time
}

// reserve reserves the link for a number of bytes and returns the time until they have been sent.
func (w *link) reserve(bytes int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return time.Until(w.busyUntil)
}

// transmit returns when the bytes have been sent, or when the context ends.
func (w *link) transmit(ctx context.Context, bytes int) error {
	for bytes > 0 {
		chunk := bytes
		if w.chunkBytes > 0 {
			chunk = min(chunk, w.chunkBytes)
		}
		bytes -= chunk
		if err := sleep(ctx, w.reserve(chunk)); err != nil {
			if w.ctx.Err() == nil {
				go func() { _ = w.transmit(w.ctx, bytes) }() // It ends with the test at the latest.
			}
			return err
		}
	}
	return nil
}

// sleep waits for a duration. It fails with journal.ErrUnknown if the context ends before.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
}

// linkedJournal is the journal as seen from one machine: each call has a latency, and data passes
// the link of the store and then that of the machine.
type linkedJournal struct {
	journal.Journal
	latency                time.Duration
	storeLink, machineLink *link
	read                   *atomic.Int64
}

func (r linkedJournal) download(ctx context.Context, bytes int) error {
	r.read.Add(int64(bytes))
	if err := r.storeLink.transmit(ctx, bytes); err != nil {
		return err
	}
	return r.machineLink.transmit(ctx, bytes)
}

func (r linkedJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	if err := sleep(ctx, r.latency); err != nil {
		return journal.Appended{}, err
	}
	return r.Journal.Append(ctx, request)
}

// Read transmits record by record. If the context ends, it returns the complete records with the
// error, as a client of the platform does.
func (r linkedJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := r.Journal.Read(ctx, request)
	if err != nil {
		return read, err
	}
	for i, record := range read.Records {
		if err := r.download(ctx, len(record)); err != nil {
			read.Records = read.Records[:i]
			return read, err
		}
	}
	return read, sleep(ctx, r.latency)
}

func (r linkedJournal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	page, err := r.Journal.Newest(ctx, partition, afterKey)
	bytes := 0
	for _, record := range page.Records {
		bytes += len(record.Value)
	}
	if err := r.download(ctx, bytes); err != nil {
		return journal.KeyedPage{}, err
	}
	if err := sleep(ctx, r.latency); err != nil {
		return journal.KeyedPage{}, err
	}
	return page, err
}

func (r linkedJournal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	if err := sleep(ctx, r.latency); err != nil {
		return journal.Assignment{}, err
	}
	return r.Journal.Join(ctx, request)
}

func (r linkedJournal) Owners(ctx context.Context, name string) ([]journal.Ownership, error) {
	if err := sleep(ctx, r.latency); err != nil {
		return nil, err
	}
	return r.Journal.Owners(ctx, name)
}

// applyTimes records when each key of a partition was first applied.
type applyTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (a *applyTimes) Reset(records []journal.KeyedRecord) {
	for _, record := range records {
		a.Apply(record)
	}
}

func (a *applyTimes) Apply(record journal.KeyedRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.at[record.Key]; !known {
		a.at[record.Key] = time.Now()
	}
}

// after returns the time from since until the key was applied, or until now if it was not.
func (a *applyTimes) after(key string, since time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, known := a.at[key]; known {
		return at.Sub(since)
	}
	return time.Since(since)
}

// conditions are the circumstances under which the fleet starts.
type conditions struct {
	latency time.Duration
	// bytesPerSecond is the rate that the journal can really send.
	bytesPerSecond float64
	// chunkBytes is that of the links.
	chunkBytes int
	// detectLostCalls makes daemons give up calls to the journal once later ones were answered.
	detectLostCalls bool
	// queried says that each batch is queried by two clients.
	queried bool
}

// testDaemon is a daemon with the components that read the journal.
type testDaemon struct {
	incarnation string
	batches     *ledger.Ledger
	reader      *results.Reader
	member      *group.Member
	applied     *applyTimes
	lostCalls   *journal.LostCallDetector
}

// testFleet is a set of daemons that start at nearly the same time. It implements results.Peers.
type testFleet struct {
	log       *journaltest.Journal
	storeLink *link
	read      atomic.Int64
	daemons   []*testDaemon
	began     time.Time
}

var configurationPartition = journal.Partition{Topic: journal.KeyedTopic("configuration")}

func startFleet(ctx context.Context, t *testing.T, given conditions) *testFleet {
	fleet := &testFleet{log: journaltest.New(), storeLink: &link{ctx: ctx, bytesPerSecond: given.bytesPerSecond, chunkBytes: given.chunkBytes}, began: time.Now()}
	fleet.log.Partitions, fleet.log.RecordBytes = 24, 256<<10
	fleet.log.Rates = journal.RateLimits{ReadBytesPerSecond: grantedBytesPerSecond, ReadsPerSecond: grantedReadsPerSecond}
	fleet.writeBatches(ctx, t)
	fleet.writeConfiguration(ctx, t, "first")
	random := rand.New(rand.NewPCG(11, 0))
	for i := range fleetSize {
		fleet.daemons = append(fleet.daemons, fleet.newDaemon(ctx, given, i, time.Duration(random.Int64N(int64(maxStartDelay)))))
	}
	return fleet
}

// writeBatches writes batches that have ended, so that no daemon runs them.
func (fleet *testFleet) writeBatches(ctx context.Context, t *testing.T) {
	const items = 32
	batches := ledger.New(ctx, fleet.log, zap.NewNop())
	for i := range batchCount {
		submission := &batch.Submission{ID: fmt.Sprint("b", i)}
		var listed [][]byte
		for item := range items {
			submission.Items = append(submission.Items, batch.Item{ID: fmt.Sprint("i", item)})
			listed = append(listed, batch.ResultsAdded(submission.ID, []batch.Result{{Item: item, Outcome: batch.Done, Text: make([]byte, batchBytes/items)}}))
		}
		records := append([][]byte{batch.Accepted(submission, "gone/1")}, listed...)
		fleet.put(ctx, t, batches.Locate(submission.ID), append(records, batch.Ended(submission.ID, ""))...)
	}
}

func (fleet *testFleet) put(ctx context.Context, t *testing.T, partition journal.Partition, records ...[]byte) {
	if _, err := fleet.log.Append(ctx, journal.Append{Partition: partition, Records: records}); err != nil {
		t.Error(err)
	}
}

func (fleet *testFleet) writeConfiguration(ctx context.Context, t *testing.T, key string) {
	fleet.put(ctx, t, configurationPartition, journal.EncodeKeyed(key, make([]byte, configurationBytes)))
}

func (fleet *testFleet) newDaemon(ctx context.Context, given conditions, number int, after time.Duration) *testDaemon {
	logger := zap.NewNop()
	b := &testDaemon{incarnation: identity.New(fmt.Sprint("m", number), time.Now()), applied: &applyTimes{at: map[string]time.Time{}}}
	var own journal.Journal = linkedJournal{fleet.log, given.latency, fleet.storeLink, &link{ctx: ctx, bytesPerSecond: linkBytesPerSecond, chunkBytes: given.chunkBytes}, &fleet.read}
	b.lostCalls = journal.DetectLostCalls(own, logger)
	if given.detectLostCalls {
		own = b.lostCalls
	}
	b.batches = ledger.New(ctx, own, logger)
	b.member = group.New(own, b.incarnation, append(ledger.TopicNames(), runner.RunnersTopic), logger)
	b.reader = results.NewReader(b.batches, b.member, fleet, own.RateLimits(), b.incarnation, logger)
	follower := journal.NewKeyedFollower(own, configurationPartition, b.applied, settings.Defaults().Timing.ContactBound.Std(), logger)
	follower.SetInterval(journal.SharedInterval(own.RateLimits().ReadsPerSecond*operatorReadFraction, fleet.Daemons))
	forwarder := &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Names: headers.Names{}, Quarantine: quarantine.New(b.incarnation, time.Now, logger), Table: replica.NewTable(time.Second, logger), Pool: upstream.NewPool(upstream.Options{}), Logger: logger}
	jobs := runner.New(ctx, b.incarnation, b.batches, forwarder, nil, nil, runner.NewAssigner(own, b.member, b.incarnation, logger), b.reader, logger)
	time.AfterFunc(after, func() {
		for _, run := range []func(context.Context){follower.Run, b.member.Run, runner.NewWatcher(jobs, b.member).Run} {
			go run(ctx)
		}
	})
	return b
}

// Daemons implements results.Peers.
func (fleet *testFleet) Daemons() int { return fleetSize }

// Ask implements results.Peers.
func (fleet *testFleet) Ask(ctx context.Context, machine, _ string, query, answer any) error {
	for _, e := range fleet.daemons {
		if identity.Machine(e.incarnation) == machine {
			return e.reader.Service(ctx).Results(query.(results.Query), answer.(*results.Page))
		}
	}
	return errors.New("no such daemon")
}

// allLearned reports whether each partition has been read by the daemon that it is assigned to.
func (fleet *testFleet) allLearned() bool {
	read := 0
	for _, e := range fleet.daemons {
		for name := range e.member.Partitions() {
			if name.Topic != runner.RunnersTopic && e.batches.Partition(name).IsFresh() {
				read++
			}
		}
	}
	return read >= ledger.TopicCount*fleet.log.Partitions
}

// awaitLearned waits until all partitions are learned. It returns the time since the start, and
// false if the context ended first.
func (fleet *testFleet) awaitLearned(ctx context.Context) (after time.Duration, learned bool) {
	for !fleet.allLearned() {
		if sleep(ctx, 50*time.Millisecond) != nil {
			return time.Since(fleet.began), false
		}
	}
	return time.Since(fleet.began), true
}

// fetchBatch reads a batch page by page, each page from a random daemon, until it has all results.
// It returns the number of failed queries, and false if the context ended first.
func (fleet *testFleet) fetchBatch(ctx context.Context, id string, random *rand.Rand) (failed int, complete bool) {
	const retryDelay = 400 * time.Millisecond // the delay that the ingress asks of clients
	for after, total := 0, 1; after < total; {
		if ctx.Err() != nil {
			return failed, false
		}
		page, err := fleet.daemons[random.IntN(fleetSize)].reader.Results(ctx, results.Query{BatchID: id, After: after})
		if err != nil || !page.Found {
			failed++
			_ = sleep(ctx, retryDelay)
			continue
		}
		after, total = page.Next, page.Total
	}
	return failed, true
}

// fetchAllBatches has two clients read each batch. It returns how many clients did not get all
// results, how many queries failed, and when the last complete client was done.
func (fleet *testFleet) fetchAllBatches(ctx context.Context) (incomplete, failed int, last time.Duration) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	for i := range 2 * batchCount {
		callers.Go(func() {
			failures, complete := fleet.fetchBatch(ctx, fmt.Sprint("b", i%batchCount), rand.New(rand.NewPCG(7, uint64(i))))
			mu.Lock()
			defer mu.Unlock()
			failed += failures
			if complete {
				last = max(last, time.Since(fleet.began))
			} else {
				incomplete++
			}
		})
	}
	callers.Wait()
	return incomplete, failed, last
}

// measureConfigurations writes a configuration each second. It returns how many of the applications
// on all daemons took longer than maxConfigurationDelay, their total, and the slowest. The delay of
// the first configuration counts from when all daemons have started.
func (fleet *testFleet) measureConfigurations(ctx context.Context, t *testing.T) (late, total int, slowest time.Duration) {
	written := map[string]time.Time{"first": fleet.began.Add(maxStartDelay)}
	for i := 0; time.Since(fleet.began) < maxRecoveryTime-maxConfigurationDelay-time.Second; i++ {
		time.Sleep(time.Second)
		key := fmt.Sprint("change", i)
		written[key] = time.Now()
		fleet.writeConfiguration(ctx, t, key)
	}
	time.Sleep(time.Until(fleet.began.Add(maxRecoveryTime)))
	for _, e := range fleet.daemons {
		for key, at := range written {
			took := e.applied.after(key, at)
			total++
			slowest = max(slowest, took)
			if took > maxConfigurationDelay {
				late++
			}
		}
	}
	return late, total, slowest
}

// callsGivenUp returns how many journal calls the lost-call detectors gave up.
func (fleet *testFleet) callsGivenUp() (calls uint64) {
	for _, e := range fleet.daemons {
		calls += e.lostCalls.CallsGivenUp.Load()
	}
	return calls
}

// runFleetTest runs check on a fleet that starts under the given conditions.
func runFleetTest(t *testing.T, name string, given conditions, check func(is *is.I, ctx context.Context, t *testing.T, fleet *testFleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			check(is.New(t), ctx, t, startFleet(ctx, t, given))
		})
	})
}

// While daemons start one by one, partitions are reassigned with each join. Daemons must not read
// whole partitions that they are about to lose, or the journal sends a multiple of its data.
func TestPartitionsAreLearnedAfterAllDaemonsStarted(t *testing.T) {
	for name, given := range map[string]conditions{
		"full rate": {shortLatency, grantedBytesPerSecond, linkChunkBytes, true, false}, "quarter rate": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, false},
		"high latency": {longLatency, grantedBytesPerSecond, linkChunkBytes, true, false}, "high latency, quarter rate": {longLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, false},
	} {
		runFleetTest(t, name, given, func(is *is.I, ctx context.Context, t *testing.T, fleet *testFleet) {
			bounded, stop := context.WithTimeout(ctx, maxRecoveryTime)
			defer stop()
			after, learned := fleet.awaitLearned(bounded)
			t.Logf("learned %v after %v, %d MB read of %d, %d calls given up", learned, after, fleet.read.Load()>>20, batchCount*batchBytes>>20, fleet.callsGivenUp())
			is.True(learned)
			is.True(fleet.read.Load() <= 2*batchCount*batchBytes)
		})
	}
}

// Many queries just after a start of all daemons must not delay configurations, whether or not lost
// calls are given up.
func TestConfigurationAppliesUnderQueryLoad(t *testing.T) {
	for name, given := range map[string]conditions{
		"sequential": {shortLatency, grantedBytesPerSecond, 0, true, true}, "sequential, lost calls kept": {shortLatency, grantedBytesPerSecond, 0, false, true},
		"interleaved": {shortLatency, grantedBytesPerSecond, linkChunkBytes, true, true}, "interleaved, lost calls kept": {shortLatency, grantedBytesPerSecond, linkChunkBytes, false, true},
		"interleaved, quarter rate": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, true}, "interleaved, quarter rate, lost calls kept": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, false, true},
	} {
		runFleetTest(t, name, given, func(is *is.I, ctx context.Context, t *testing.T, fleet *testFleet) {
			bounded, stop := context.WithTimeout(ctx, maxRecoveryTime)
			defer stop()
			go fleet.fetchAllBatches(bounded)
			late, total, slowest := fleet.measureConfigurations(ctx, t)
			t.Logf("%d of %d later than %v, slowest after %v, %d MB read, %d calls given up", late, total, maxConfigurationDelay, slowest, fleet.read.Load()>>20, fleet.callsGivenUp())
			is.Equal(late, 0)
		})
	}
}

// Readers must limit themselves to a share of the granted rate. Otherwise their reads alone exceed
// what a slower journal can send, the watchers of partitions cannot read them, and no client gets
// results in time.
func TestBatchesAreReadWithinRecoveryTime(t *testing.T) {
	for name, given := range map[string]conditions{
		"full rate": {shortLatency, grantedBytesPerSecond, linkChunkBytes, true, true}, "quarter rate": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, true},
		"high latency": {longLatency, grantedBytesPerSecond, linkChunkBytes, true, true}, "high latency, quarter rate": {longLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, true},
	} {
		runFleetTest(t, name, given, func(is *is.I, ctx context.Context, t *testing.T, fleet *testFleet) {
			bounded, stop := context.WithTimeout(ctx, maxRecoveryTime)
			defer stop()
			incomplete, failed, last := fleet.fetchAllBatches(bounded)
			t.Logf("%d of %d clients incomplete after %v, the last of the others done after %v, %d queries failed, %d MB read", incomplete, 2*batchCount, maxRecoveryTime, last, failed, fleet.read.Load()>>20)
			is.Equal(incomplete, 0)
		})
	}
}
