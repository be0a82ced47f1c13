package runner

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
)

const (
	// handedPatience is how long an item is left to the owner that released it.
	handOffWait = 5 * time.Second
	// gatherTime is how long a result waits for others to be listed with.
	listDelay = 10 * time.Millisecond
	// listTimeout bounds one try to list results.
	listTimeout = 2 * time.Second
)

// itemState is where an item stands in this job.
type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	itemScoring
	itemListed
)

// item is one item with its progress at this owner.
type item struct {
	index int
	batch.Item
	header http.Header
	// content names what the item asks for, nil until it is needed.
	content *quarantine.Content
	state   itemState
	// cost is the expected length of the answer, in tokens.
	expectedTokens int64
	// notBefore delays an item, for example after a failure.
	notBefore time.Time
	// handed says that the item is left to the owner that released it. At that owner it
	// says that the record which does so names it.
	handedOff bool
	// text are the data of the events so far; lastEvent is the last one's id.
	events    [][]byte
	lastEvent int64
	hasEvent  bool
	versions  []int64
	// kept is how many of the events are in the journal.
	checkpointed int
	// failures counts answers of the replica that say that the item failed.
	failures       int
	rewardFailures int
	attempts       int
	// lastReplica ran the item last.
	lastReplica string
	// run numbers the run whose events count. A run that was handed over to another
	// replica has a lower number.
	attempt int
	// answered says that the run has brought an event.
	answered bool
	// cut, if not nil, ends the run under way.
	cancel func()
	// holding says that events are held back in held, while another replica is asked
	// to go on after the last one before.
	buffering bool
	buffered  []receivedEvent
	startedAt time.Time
	timing    timing
}

// job is one batch that this daemon runs.
type job struct {
	r             *Runner
	partition     *ledger.Partition
	submission    *batch.Submission
	adoptedAt     time.Time
	listedAtStart int
	// begunAtStart is how many items go on after a beginning that was kept.
	resumedAtStart int
	logger         *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	items    []*item
	released bool
	// releaseTold says that the record of the release is in the journal.
	releaseRecorded bool
	// groups names the start of the replica that last started an item of a group. Another
	// start has not read the group's prompt.
	groups map[string]replica.Start
	// required are the groups that came again: the trainer waits for them.
	required map[string]bool
	// lengths forecasts the lengths of texts of the batch's model.
	lengths  *scheduling.Lengths
	results  []batch.Result
	listWake chan struct{}
}

// newJob makes a job of an open batch. It is called within a view of the fold.
func newJob(runner *Runner, partition *ledger.Partition, b *batch.Batch) *job {
	submission := b.Submission
	j := &job{
		r: runner, partition: partition, submission: &submission, adoptedAt: time.Now(),
		logger: runner.logger.With(zap.String("batch", b.ID)), listWake: make(chan struct{}, 1),
		groups: map[string]replica.Start{},
	}
	j.ctx, j.cancel = context.WithCancel(runner.ctx)
	j.required, j.lengths = runner.history.begin(&submission)
	j.items = makeItems(&submission, runner)
	for i, it := range j.items {
		if b.Listed[i] {
			it.state = itemListed
			j.listedAtStart++
		}
		if it.resumeFrom(b.Partials[i]) {
			j.resumedAtStart++
		}
		it.timing.since = j.adoptedAt
		if b.Handed[i] {
			it.handedOff, it.notBefore = true, j.adoptedAt.Add(handOffWait)
		}
	}
	return j
}

func makeItems(submission *batch.Submission, runner *Runner) []*item {
	items := make([]*item, len(submission.Items))
	for i := range submission.Items {
		items[i] = &item{index: i, Item: submission.Items[i], header: headerOf(submission.Items[i].Headers)}
		items[i].expectedTokens = runner.expectedLength(items[i].header, items[i].Tokens)
	}
	return items
}

func headerOf(list []batch.Header) http.Header {
	header := make(http.Header, len(list)+4)
	for _, h := range list {
		name := http.CanonicalHeaderKey(h.Name)
		header[name] = append(header[name], h.Value)
	}
	return header
}

// expectedLength is the number of tokens that an item's answer should have, by
// its headers, or else by its tokens in all.
func (r *Runner) expectedLength(header http.Header, tokens int64) int64 {
	names := r.forwarder.Names
	if hint, err := strconv.ParseInt(header.Get(names.LengthHint), 10, 64); err == nil && hint > 0 {
		return hint
	}
	_, most, found := strings.Cut(header.Get(names.TokenUsage), ",")
	if longest, err := strconv.ParseInt(strings.TrimSpace(most), 10, 64); found && err == nil {
		return longest
	}
	return tokens
}

// run keeps the job until its batch has no more to do here.
func (j *job) run() {
	defer j.cancel()
	release := j.partition.Follow()
	defer release()
	go j.listLoop()
	go j.heartbeat()
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		changed := j.partition.Changed()
		if j.finished() {
			return
		}
		select {
		case <-j.ctx.Done():
			return
		case <-changed:
		case <-beat.C:
			j.giveUpTooOld()
			go j.heartbeat()
		}
	}
}

// over takes the fold into account and reports whether the job is done here.
func (j *job) finished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	over, reason := false, ""
	j.partition.View(func(state *batch.State) {
		b, found := state.Get(j.submission.ID)
		switch {
		case !found:
			over, reason = true, "unknown"
		case b.Ended:
			over, reason = true, "ended"
		case !b.Open():
			over, reason = true, "all listed"
		case b.Owner != j.r.self && !j.released:
			over, reason = true, "owned by "+b.Owner
		default:
			j.markListed(b)
			j.markReturned(b)
		}
	})
	if j.released && !over && j.noneUnderWay() {
		over, reason = true, "released"
	}
	if over {
		j.logTimes(reason, time.Now())
		j.logger.Info("batch left", zap.String("reason", reason), zap.Duration("after", time.Since(j.adoptedAt)))
	}
	return over
}

func (j *job) markListed(b *batch.Batch) {
	for i, listed := range b.Listed {
		if listed && j.items[i].state != itemListed {
			j.items[i].state = itemListed
			j.items[i].events, j.items[i].checkpointed = nil, 0
			j.items[i].timing.enter(phaseDone, time.Now())
			j.items[i].cancelAttempt()
		}
	}
}

// markReturned lets the items start that the owner before has given back. The mutex is
// held.
func (j *job) markReturned(b *batch.Batch) {
	if j.released {
		return
	}
	for i, it := range j.items {
		if it.handedOff && !b.Handed[i] {
			it.handedOff, it.notBefore = false, time.Time{}
			j.r.Kick()
		}
	}
}

func (j *job) noneUnderWay() bool {
	for _, it := range j.items {
		if it.state == itemRunning || it.state == itemScoring {
			return false
		}
	}
	return len(j.results) == 0
}

// letGo releases the batch: no more items start, those under way go on.
func (j *job) release(ctx context.Context) {
	j.mu.Lock()
	j.released = true
	var handed []int
	for _, it := range j.items {
		it.handedOff = it.state == itemRunning || it.state == itemScoring
		if it.handedOff {
			handed = append(handed, it.index)
		}
	}
	j.mu.Unlock()
	j.logger.Info("batch released", zap.Int("under_way", len(handed)))
	if j.r.appendUntil(ctx, j.partition, batch.Released(j.submission.ID, j.r.self, handed)) != nil {
		// The watchers find a batch whose owner has ended without a word.
		return
	}
	j.mu.Lock()
	j.releaseRecorded = true
	j.mu.Unlock()
	j.giveBack(ctx)
}

// giveBack tells the next owner of the items that this one will not finish after all,
// which would otherwise be at no replica until handedPatience is over. Nothing is given
// back before the release is told: the fold would not take it.
func (j *job) giveBack(ctx context.Context) {
	j.mu.Lock()
	var items []int
	for _, it := range j.items {
		if j.releaseRecorded && it.handedOff && it.state == itemWaiting {
			it.handedOff = false
			items = append(items, it.index)
		}
	}
	j.mu.Unlock()
	if len(items) == 0 {
		return
	}
	err := j.r.appendUntil(ctx, j.partition, batch.Returned(j.submission.ID, j.r.self, items))
	j.logger.Info("items given back", zap.Ints("items", items), zap.Error(err))
}

func (j *job) waiting() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, it := range j.items {
		if it.state == itemWaiting {
			count++
		}
	}
	return count
}

// route returns the route of the batch by the configuration in force.
func (j *job) route() (*route.Configuration, *route.Route, bool) {
	configuration := j.r.operator.Configuration()
	if configuration == nil {
		return nil, nil, false
	}
	rt, ok := configuration.Find(j.submission.Host, j.submission.Path)
	return configuration, rt, ok
}

// giveUpOld lists as dead the waiting items that are older than their route
// lets them grow. A batch's age is counted from when this owner began, by its steady
// clock: that is never more than the true age, whatever time of day daemons believe.
func (j *job) giveUpTooOld() {
	_, rt, ok := j.route()
	if !ok || rt.MaxQueue <= 0 || time.Since(j.adoptedAt) < rt.MaxQueue {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.state == itemWaiting {
			j.finish(it, batch.Result{Item: it.index, Outcome: batch.Dead}, "older than allowed")
		}
	}
}

// finish hands a result to be listed. The mutex is held.
func (j *job) finish(it *item, result batch.Result, reason string) {
	it.state = itemScoring
	it.timing.enter(phaseListing, time.Now())
	j.results = append(j.results, result)
	outcome := "done"
	if result.Outcome == batch.Dead {
		outcome = "dead"
	}
	j.logger.Info("item finished", zap.String("item", it.ID), zap.String("outcome", outcome), zap.String("reason", reason),
		zap.Int("attempts", it.attempts), zap.Int64("expected", it.expectedTokens), zap.Int("bytes", len(result.Text)), zap.Duration("took", time.Since(it.startedAt)), zap.Int64("events", it.lastEvent), zap.Int64s("versions", result.Versions),
		zap.String("replica", it.lastReplica))
	select {
	case j.listWake <- struct{}{}:
	default:
	}
}

// listResults appends results to the ledger as they come, a few together.
func (j *job) listLoop() {
	for {
		select {
		case <-j.ctx.Done():
			return
		case <-j.listWake:
		}
		time.Sleep(listDelay)
		j.mu.Lock()
		results := j.results
		j.mu.Unlock()
		if len(results) == 0 {
			continue
		}
		if !j.list(results) {
			return
		}
		j.mu.Lock()
		j.results = j.results[len(results):]
		more := len(j.results) > 0
		j.mu.Unlock()
		if more {
			select {
			case j.listWake <- struct{}{}:
			default:
			}
		}
	}
}

// list appends results until it is certain that they are in the ledger.
func (j *job) list(results []batch.Result) bool {
	record := batch.Listed(j.submission.ID, results)
	failures := 0
	for j.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(j.ctx, listTimeout)
		err := j.partition.Append(ctx, record)
		cancel()
		if err == nil {
			if failures > 0 {
				j.logger.Info("results listed", zap.Int("results", len(results)), zap.Int("tries", failures+1))
			}
			return true
		}
		failures++
		if failures == 1 && j.ctx.Err() == nil {
			j.logger.Info("results not listed yet", zap.Int("results", len(results)), zap.Error(err))
		}
		select {
		case <-j.ctx.Done():
		case <-time.After(appendPause):
		}
	}
	return false
}
