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

// What is aimed at after a start of all daemons.
const (
	// maxRecoveryTime is within which time machines serve again.
	maxRecoveryTime = 15 * time.Second
	// maxConfigurationDelay is within which time a configuration is in force everywhere.
	maxConfigurationDelay = 3 * time.Second
)

// The fleet that starts, each daemon behind a link of its own, and what its journal holds.
const (
	fleetSize = 84
	// linkBytesPerSecond and startGrant are bytes a second.
	linkBytesPerSecond    = 60e6 / 8
	grantedBytesPerSecond = 80e6
	grantedReadsPerSecond = 6000
	// batchCount of startBytes each have been listed.
	batchCount = 36
	batchBytes = 2 << 20
	// maxStartDelay is within which time all have started.
	maxStartDelay = 700 * time.Millisecond
	// configurationBytes is the size of a configuration, which is written anew each second.
	configurationBytes = 16 << 10
	// shortLatency and late are what the journal takes for an answer of no length.
	shortLatency = 4 * time.Millisecond
	longLatency  = 250 * time.Millisecond
	// linkChunkBytes is how much of an answer is sent before others that are under way have
	// their turn.
	linkChunkBytes = 16 << 10
)

// link sends answers at a rate. Bytes of an answer that nobody awaits any more are sent all
// the same.
type link struct {
	// ctx ends with the test.
	ctx            context.Context
	bytesPerSecond float64
	// chunkBytes is how much of an answer is sent in one chunkBytes, 0 for all of it.
	chunkBytes int

	mu        sync.Mutex
	busyUntil time.Time
}

// reserve takes the wire for some bytes, and returns how long it takes until they have been sent.
func (w *link) reserve(bytes int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return time.Until(w.busyUntil)
}

// transmit returns when an answer has been sent, or when the context ends.
func (w *link) transmit(ctx context.Context, bytes int) error {
	for bytes > 0 {
		part := bytes
		if w.chunkBytes > 0 {
			part = min(part, w.chunkBytes)
		}
		bytes -= part
		if err := sleep(ctx, w.reserve(part)); err != nil {
			if w.ctx.Err() == nil {
				go func() { _ = w.transmit(w.ctx, bytes) }() // It ends with the test at the latest.
			}
			return err
		}
	}
	return nil
}

// sleep lets a time sleep, or ends with the context.
func sleep(ctx context.Context, takes time.Duration) error {
	timer := time.NewTimer(takes)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
}

// linkedJournal is a journal as one machine reaches it: each call takes a time, and what is read
// comes over the journal's wire and then over the machine's own.
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

// Read brings one record after the other. Those that came whole before the context ended are
// returned beside the error, as a client of the platform returns them.
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

// applyTimes notes when each key of a partition was first applyTimes.
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

// after is how long after a moment a key was applied, or until now if it was not.
func (a *applyTimes) after(key string, since time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, known := a.at[key]; known {
		return at.Sub(since)
	}
	return time.Since(since)
}

// conditions say under what all daemons start.
type conditions struct {
	latency time.Duration
	// bytesPerSecond is what the journal really sends, in bytes a second.
	bytesPerSecond float64
	// chunkBytes is as in wire.
	chunkBytes int
	// detectLostCalls says that calls are given up on the word of others.
	detectLostCalls bool
	// queried says that each batch is queried for by two callers.
	queried bool
}

// testDaemon is a daemon with those of its parts that read the journal.
type testDaemon struct {
	incarnation string
	batches     *ledger.Ledger
	reader      *results.Reader
	member      *group.Member
	applied     *applyTimes
	lostCalls   *journal.LostCallDetector
}

// testFleet are daemons that start at nearly the same time. It implements results.Peers.
type testFleet struct {
	log       *journaltest.Journal
	storeLink *link
	read      atomic.Int64
	daemons   []*testDaemon
	began     time.Time
}

var configurationPartition = journal.Partition{Topic: journal.KeyedTopic("configuration")}

func startFleet(ctx context.Context, t *testing.T, given conditions) *testFleet {
	all := &testFleet{log: journaltest.New(), storeLink: &link{ctx: ctx, bytesPerSecond: given.bytesPerSecond, chunkBytes: given.chunkBytes}, began: time.Now()}
	all.log.Partitions, all.log.RecordBytes = 24, 256<<10
	all.log.Rates = journal.RateLimits{ReadBytesPerSecond: grantedBytesPerSecond, ReadsPerSecond: grantedReadsPerSecond}
	all.writeBatches(ctx, t)
	all.writeConfiguration(ctx, t, "first")
	random := rand.New(rand.NewPCG(11, 0))
	for i := range fleetSize {
		all.daemons = append(all.daemons, all.addDaemon(ctx, given, i, time.Duration(random.Int64N(int64(maxStartDelay)))))
	}
	return all
}

// writeBatches puts the batches into the journal. They have ended, so that nobody runs them.
func (all *testFleet) writeBatches(ctx context.Context, t *testing.T) {
	const items = 32
	batches := ledger.New(ctx, all.log, zap.NewNop())
	for i := range batchCount {
		submission := &batch.Submission{ID: fmt.Sprint("b", i)}
		var listed [][]byte
		for item := range items {
			submission.Items = append(submission.Items, batch.Item{ID: fmt.Sprint("i", item)})
			listed = append(listed, batch.ResultsAdded(submission.ID, []batch.Result{{Item: item, Outcome: batch.Done, Text: make([]byte, batchBytes/items)}}))
		}
		records := append([][]byte{batch.Accepted(submission, "gone/1")}, listed...)
		all.put(ctx, t, batches.Locate(submission.ID), append(records, batch.Ended(submission.ID, ""))...)
	}
}

func (all *testFleet) put(ctx context.Context, t *testing.T, partition journal.Partition, records ...[]byte) {
	if _, err := all.log.Append(ctx, journal.Append{Partition: partition, Records: records}); err != nil {
		t.Error(err)
	}
}

func (all *testFleet) writeConfiguration(ctx context.Context, t *testing.T, key string) {
	all.put(ctx, t, configurationPartition, journal.EncodeKeyed(key, make([]byte, configurationBytes)))
}

func (all *testFleet) addDaemon(ctx context.Context, given conditions, number int, after time.Duration) *testDaemon {
	logger := zap.NewNop()
	b := &testDaemon{incarnation: identity.New(fmt.Sprint("m", number), time.Now()), applied: &applyTimes{at: map[string]time.Time{}}}
	var own journal.Journal = linkedJournal{all.log, given.latency, all.storeLink, &link{ctx: ctx, bytesPerSecond: linkBytesPerSecond, chunkBytes: given.chunkBytes}, &all.read}
	b.lostCalls = journal.DetectLostCalls(own, logger)
	if given.detectLostCalls {
		own = b.lostCalls
	}
	b.batches = ledger.New(ctx, own, logger)
	b.member = group.New(own, b.incarnation, append(ledger.TopicNames(), runner.RunnersTopic), logger)
	b.reader = results.NewReader(b.batches, b.member, all, own.RateLimits(), b.incarnation, logger)
	follower := journal.NewKeyedFollower(own, configurationPartition, b.applied, settings.Defaults().Timing.ContactBound.Std(), logger)
	follower.SetInterval(journal.SharedInterval(own.RateLimits().ReadsPerSecond*operatorReadFraction, all.Daemons))
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
func (all *testFleet) Daemons() int { return fleetSize }

// Ask implements results.Peers.
func (all *testFleet) Ask(ctx context.Context, machine, _ string, asked, answer any) error {
	for _, e := range all.daemons {
		if identity.Machine(e.incarnation) == machine {
			return e.reader.Service(ctx).Results(asked.(results.Query), answer.(*results.Page))
		}
	}
	return errors.New("no such daemon")
}

// allLearned reports whether each partition has been read by the member that it is dealt to.
func (all *testFleet) allLearned() bool {
	read := 0
	for _, e := range all.daemons {
		for name := range e.member.Partitions() {
			if name.Topic != runner.RunnersTopic && e.batches.Partition(name).IsFresh() {
				read++
			}
		}
	}
	return read >= ledger.TopicCount*all.log.Partitions
}

// awaitLearned returns after which time all partitions were learned, and false if they were
// not when the context ended.
func (all *testFleet) awaitLearned(ctx context.Context) (after time.Duration, learned bool) {
	for !all.allLearned() {
		if sleep(ctx, 50*time.Millisecond) != nil {
			return time.Since(all.began), false
		}
	}
	return time.Since(all.began), true
}

// fetchBatch asks for a batch page by page, each time at another daemon, until all its results have
// been told, and returns how often it was refused.
func (all *testFleet) fetchBatch(ctx context.Context, id string, random *rand.Rand) (refused int, a bool) {
	const comeBack = 400 * time.Millisecond // as callers are told by the ingress
	for after, total := 0, 1; after < total; {
		if ctx.Err() != nil {
			return refused, false
		}
		page, err := all.daemons[random.IntN(fleetSize)].reader.Results(ctx, results.Query{BatchID: id, After: after})
		if err != nil || !page.Found {
			refused++
			_ = sleep(ctx, comeBack)
			continue
		}
		after, total = page.Next, page.Total
	}
	return refused, true
}

// fetchAllBatches has each batch asked for by two callers, and returns how many were not told all,
// how many questions were refused, and when the last was told.
func (all *testFleet) fetchAllBatches(ctx context.Context) (untold, refused int, last time.Duration) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	for i := range 2 * batchCount {
		callers.Go(func() {
			times, a := all.fetchBatch(ctx, fmt.Sprint("b", i%batchCount), rand.New(rand.NewPCG(7, uint64(i))))
			mu.Lock()
			defer mu.Unlock()
			refused += times
			if a {
				last = max(last, time.Since(all.began))
			} else {
				untold++
			}
		})
	}
	callers.Wait()
	return untold, refused, last
}

// measureConfigurations writes a configuration each second, and returns how many of all daemons'
// came into force late, and the time that the slowest took. The first counts from when the
// last daemon has started.
func (all *testFleet) measureConfigurations(ctx context.Context, t *testing.T) (late, of int, slowest time.Duration) {
	written := map[string]time.Time{"first": all.began.Add(maxStartDelay)}
	for i := 0; time.Since(all.began) < maxRecoveryTime-maxConfigurationDelay-time.Second; i++ {
		time.Sleep(time.Second)
		key := fmt.Sprint("change", i)
		written[key] = time.Now()
		all.writeConfiguration(ctx, t, key)
	}
	time.Sleep(time.Until(all.began.Add(maxRecoveryTime)))
	for _, e := range all.daemons {
		for key, at := range written {
			took := e.applied.after(key, at)
			of++
			slowest = max(slowest, took)
			if took > maxConfigurationDelay {
				late++
			}
		}
	}
	return late, of, slowest
}

// callsGivenUp is how many calls were given up on the word of others.
func (all *testFleet) callsGivenUp() (calls uint64) {
	for _, e := range all.daemons {
		calls += e.lostCalls.CallsGivenUp.Load()
	}
	return calls
}

// runFleetTest runs a test of daemons that all start.
func runFleetTest(t *testing.T, name string, given conditions, check func(is *is.I, ctx context.Context, t *testing.T, all *testFleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			check(is.New(t), ctx, t, startFleet(ctx, t, given))
		})
	})
}

// While daemons start one after the other, the group deals all partitions anew with each of
// them, and each read at once whatever it had at that moment, only to lose it again. With nobody
// asking anything, 72 MB were read as 128 to 396 MB, the more the later the journal answers, just
// when all depends on it. A partition is for the one daemon that watches it, and for one that
// watched it before.
func TestPartitionsAreLearnedAfterAllDaemonsStarted(t *testing.T) {
	for name, given := range map[string]conditions{
		"as granted": {shortLatency, grantedBytesPerSecond, linkChunkBytes, true, false}, "a quarter": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, false},
		"late": {longLatency, grantedBytesPerSecond, linkChunkBytes, true, false}, "late, a quarter": {longLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, false},
	} {
		runFleetTest(t, name, given, func(is *is.I, ctx context.Context, t *testing.T, all *testFleet) {
			bounded, stop := context.WithTimeout(ctx, maxRecoveryTime)
			defer stop()
			after, learned := all.awaitLearned(bounded)
			t.Logf("learned %v after %v, %d MB read of %d, %d calls given up", learned, after, all.read.Load()>>20, batchCount*batchBytes>>20, all.callsGivenUp())
			is.True(learned)
			is.True(all.read.Load() <= 2*batchCount*batchBytes)
		})
	}
}

// Questions press just after a start of all, and long answers hold up short ones. A
// configuration is in force in its time all the same, also where calls are given up on the word of
// others.
func TestConfigurationAppliesUnderQueryLoad(t *testing.T) {
	for name, given := range map[string]conditions{
		"in a row": {shortLatency, grantedBytesPerSecond, 0, true, true}, "in a row, waited for": {shortLatency, grantedBytesPerSecond, 0, false, true},
		"in turns": {shortLatency, grantedBytesPerSecond, linkChunkBytes, true, true}, "in turns, waited for": {shortLatency, grantedBytesPerSecond, linkChunkBytes, false, true},
		"in turns, a quarter": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, true}, "in turns, a quarter, waited for": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, false, true},
	} {
		runFleetTest(t, name, given, func(is *is.I, ctx context.Context, t *testing.T, all *testFleet) {
			bounded, stop := context.WithTimeout(ctx, maxRecoveryTime)
			defer stop()
			go all.fetchAllBatches(bounded)
			late, of, slowest := all.measureConfigurations(ctx, t)
			t.Logf("%d of %d later than %v, the slowest after %v, %d MB read, %d calls given up", late, of, maxConfigurationDelay, slowest, all.read.Load()>>20, all.callsGivenUp())
			is.Equal(late, 0)
		})
	}
}

// Readers take their share of what the journal grants, not of what it is seen to carry. With
// a journal that carries a quarter, their reads alone are twice what it sends, the holders of
// partitions have nothing left to read them with, and no caller was told anything in 15 s.
// With one that carries what it grants and takes 0.25 s an answer, no holder was known.
func TestBatchesAreReadWithinRecoveryTime(t *testing.T) {
	for name, given := range map[string]conditions{
		"as granted": {shortLatency, grantedBytesPerSecond, linkChunkBytes, true, true}, "a quarter": {shortLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, true},
		"late": {longLatency, grantedBytesPerSecond, linkChunkBytes, true, true}, "late, a quarter": {longLatency, grantedBytesPerSecond / 4, linkChunkBytes, true, true},
	} {
		runFleetTest(t, name, given, func(is *is.I, ctx context.Context, t *testing.T, all *testFleet) {
			bounded, stop := context.WithTimeout(ctx, maxRecoveryTime)
			defer stop()
			untold, refused, last := all.fetchAllBatches(bounded)
			t.Logf("%d of %d callers not told all in %v, the last of the others after %v, %d questions refused, %d MB read", untold, 2*batchCount, maxRecoveryTime, last, refused, all.read.Load()>>20)
			is.Equal(untold, 0)
		})
	}
}
