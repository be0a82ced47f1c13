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
	handedPatience = 5 * time.Second
	// gatherTime is how long a result waits for others to be listed with.
	gatherTime = 10 * time.Millisecond
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
	cost int64
	// notBefore delays an item, for example after a failure.
	notBefore time.Time
	// handed says that the item is left to the owner that released it. At that owner it
	// says that the record which does so names it.
	handed bool
	// text are the data of the events so far; lastEvent is the last one's id.
	text      [][]byte
	lastEvent int64
	hasEvent  bool
	versions  []int64
	// kept is how many of the events are in the journal.
	kept int
	// failures counts answers of the replica that say that the item failed.
	failures       int
	rewardFailures int
	attempts       int
	// lastReplica ran the item last.
	lastReplica string
	// run numbers the run whose events count. A run that was handed over to another
	// replica has a lower number.
	run int
	// answered says that the run has brought an event.
	answered bool
	// cut, if not nil, ends the run under way.
	cut func()
	// holding says that events are held back in held, while another replica is asked
	// to go on after the last one before.
	holding   bool
	held      []madeEvent
	startedAt time.Time
	account   account
}

// job is one batch that this daemon runs.
type job struct {
	runner        *Runner
	partition     *ledger.Partition
	submission    *batch.Submission
	adoptedAt     time.Time
	listedAtStart int
	// begunAtStart is how many items go on after a beginning that was kept.
	begunAtStart int
	logger       *zap.Logger

	context context.Context
	cancel  context.CancelFunc

	mutex    sync.Mutex
	items    []*item
	released bool
	// releaseTold says that the record of the release is in the journal.
	releaseTold bool
	// groups names the start of the replica that last started an item of a group. Another
	// start has not read the group's prompt.
	groups map[string]replica.Start
	// required are the groups that came again: the trainer waits for them.
	required map[string]bool
	// lengths forecasts the lengths of texts of the batch's model.
	lengths *scheduling.Lengths
	results []batch.Result
	newList chan struct{}
}

// newJob makes a job of an open batch. It is called within a view of the fold.
func newJob(runner *Runner, partition *ledger.Partition, known *batch.Batch) *job {
	submission := known.Submission
	made := &job{
		runner: runner, partition: partition, submission: &submission, adoptedAt: time.Now(),
		logger: runner.logger.With(zap.String("batch", known.ID)), newList: make(chan struct{}, 1),
		groups: map[string]replica.Start{},
	}
	made.context, made.cancel = context.WithCancel(runner.context)
	made.required, made.lengths = runner.history.begin(&submission)
	made.items = makeItems(&submission, runner)
	for i, each := range made.items {
		if known.Listed[i] {
			each.state = itemListed
			made.listedAtStart++
		}
		if each.goOnFrom(known.Partials[i]) {
			made.begunAtStart++
		}
		each.account.since = made.adoptedAt
		if known.Handed[i] {
			each.handed, each.notBefore = true, made.adoptedAt.Add(handedPatience)
		}
	}
	return made
}

func makeItems(submission *batch.Submission, runner *Runner) []*item {
	items := make([]*item, len(submission.Items))
	for i := range submission.Items {
		items[i] = &item{index: i, Item: submission.Items[i], header: headerOf(submission.Items[i].Headers)}
		items[i].cost = runner.expectedLength(items[i].header, items[i].Tokens)
	}
	return items
}

func headerOf(list []batch.Header) http.Header {
	header := make(http.Header, len(list)+4)
	for _, each := range list {
		name := http.CanonicalHeaderKey(each.Name)
		header[name] = append(header[name], each.Value)
	}
	return header
}

// expectedLength is the number of tokens that an item's answer should have, by
// its headers, or else by its tokens in all.
func (runner *Runner) expectedLength(header http.Header, tokens int64) int64 {
	names := runner.forwarder.Names
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
func (job *job) run() {
	defer job.cancel()
	release := job.partition.Follow()
	defer release()
	go job.listResults()
	go job.beat()
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		changed := job.partition.Changed()
		if job.over() {
			return
		}
		select {
		case <-job.context.Done():
			return
		case <-changed:
		case <-beat.C:
			job.giveUpOld()
			go job.beat()
		}
	}
}

// over takes the fold into account and reports whether the job is done here.
func (job *job) over() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	over, reason := false, ""
	job.partition.View(func(state *batch.State) {
		known, found := state.Get(job.submission.ID)
		switch {
		case !found:
			over, reason = true, "unknown"
		case known.Ended:
			over, reason = true, "ended"
		case !known.Open():
			over, reason = true, "all listed"
		case known.Owner != job.runner.self && !job.released:
			over, reason = true, "owned by "+known.Owner
		default:
			job.markListed(known)
			job.markReturned(known)
		}
	})
	if job.released && !over && job.noneUnderWay() {
		over, reason = true, "released"
	}
	if over {
		job.giveAccount(reason, time.Now())
		job.logger.Info("batch left", zap.String("reason", reason), zap.Duration("after", time.Since(job.adoptedAt)))
	}
	return over
}

func (job *job) markListed(known *batch.Batch) {
	for i, listed := range known.Listed {
		if listed && job.items[i].state != itemListed {
			job.items[i].state = itemListed
			job.items[i].text, job.items[i].kept = nil, 0
			job.items[i].account.enter(phaseDone, time.Now())
			job.items[i].cutRun()
		}
	}
}

// markReturned lets the items start that the owner before has given back. The mutex is
// held.
func (job *job) markReturned(known *batch.Batch) {
	if job.released {
		return
	}
	for i, each := range job.items {
		if each.handed && !known.Handed[i] {
			each.handed, each.notBefore = false, time.Time{}
			job.runner.Kick()
		}
	}
}

func (job *job) noneUnderWay() bool {
	for _, each := range job.items {
		if each.state == itemRunning || each.state == itemScoring {
			return false
		}
	}
	return len(job.results) == 0
}

// letGo releases the batch: no more items start, those under way go on.
func (job *job) letGo(ctx context.Context) {
	job.mutex.Lock()
	job.released = true
	var handed []int
	for _, each := range job.items {
		each.handed = each.state == itemRunning || each.state == itemScoring
		if each.handed {
			handed = append(handed, each.index)
		}
	}
	job.mutex.Unlock()
	job.logger.Info("batch released", zap.Int("under_way", len(handed)))
	if job.runner.appendUntil(ctx, job.partition, batch.Released(job.submission.ID, job.runner.self, handed)) != nil {
		// The watchers find a batch whose owner has ended without a word.
		return
	}
	job.mutex.Lock()
	job.releaseTold = true
	job.mutex.Unlock()
	job.giveBack(ctx)
}

// giveBack tells the next owner of the items that this one will not finish after all,
// which would otherwise be at no replica until handedPatience is over. Nothing is given
// back before the release is told: the fold would not take it.
func (job *job) giveBack(ctx context.Context) {
	job.mutex.Lock()
	var items []int
	for _, each := range job.items {
		if job.releaseTold && each.handed && each.state == itemWaiting {
			each.handed = false
			items = append(items, each.index)
		}
	}
	job.mutex.Unlock()
	if len(items) == 0 {
		return
	}
	err := job.runner.appendUntil(ctx, job.partition, batch.Returned(job.submission.ID, job.runner.self, items))
	job.logger.Info("items given back", zap.Ints("items", items), zap.Error(err))
}

func (job *job) waiting() int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	count := 0
	for _, each := range job.items {
		if each.state == itemWaiting {
			count++
		}
	}
	return count
}

// route returns the route of the batch by the configuration in force.
func (job *job) route() (*route.Configuration, *route.Route, bool) {
	configuration := job.runner.operator.Configuration()
	if configuration == nil {
		return nil, nil, false
	}
	found, ok := configuration.Find(job.submission.Host, job.submission.Path)
	return configuration, found, ok
}

// giveUpOld lists as dead the waiting items that are older than their route
// lets them grow. A batch's age is counted from when this owner began, by its steady
// clock: that is never more than the true age, whatever time of day daemons believe.
func (job *job) giveUpOld() {
	_, found, ok := job.route()
	if !ok || found.MaxQueue <= 0 || time.Since(job.adoptedAt) < found.MaxQueue {
		return
	}
	job.mutex.Lock()
	defer job.mutex.Unlock()
	for _, each := range job.items {
		if each.state == itemWaiting {
			job.finish(each, batch.Result{Item: each.index, Outcome: batch.Dead}, "older than allowed")
		}
	}
}

// finish hands a result to be listed. The mutex is held.
func (job *job) finish(each *item, result batch.Result, reason string) {
	each.state = itemScoring
	each.account.enter(phaseListing, time.Now())
	job.results = append(job.results, result)
	outcome := "done"
	if result.Outcome == batch.Dead {
		outcome = "dead"
	}
	job.logger.Info("item finished", zap.String("item", each.ID), zap.String("outcome", outcome), zap.String("reason", reason),
		zap.Int("attempts", each.attempts), zap.Int64("expected", each.cost), zap.Int("bytes", len(result.Text)), zap.Duration("took", time.Since(each.startedAt)), zap.Int64("events", each.lastEvent), zap.Int64s("versions", result.Versions),
		zap.String("replica", each.lastReplica))
	select {
	case job.newList <- struct{}{}:
	default:
	}
}

// listResults appends results to the ledger as they come, a few together.
func (job *job) listResults() {
	for {
		select {
		case <-job.context.Done():
			return
		case <-job.newList:
		}
		time.Sleep(gatherTime)
		job.mutex.Lock()
		results := job.results
		job.mutex.Unlock()
		if len(results) == 0 {
			continue
		}
		if !job.list(results) {
			return
		}
		job.mutex.Lock()
		job.results = job.results[len(results):]
		more := len(job.results) > 0
		job.mutex.Unlock()
		if more {
			select {
			case job.newList <- struct{}{}:
			default:
			}
		}
	}
}

// list appends results until it is certain that they are in the ledger.
func (job *job) list(results []batch.Result) bool {
	record := batch.Listed(job.submission.ID, results)
	failures := 0
	for job.context.Err() == nil {
		ctx, cancel := context.WithTimeout(job.context, listTimeout)
		err := job.partition.Append(ctx, record)
		cancel()
		if err == nil {
			if failures > 0 {
				job.logger.Info("results listed", zap.Int("results", len(results)), zap.Int("tries", failures+1))
			}
			return true
		}
		failures++
		if failures == 1 && job.context.Err() == nil {
			job.logger.Info("results not listed yet", zap.Int("results", len(results)), zap.Error(err))
		}
		select {
		case <-job.context.Done():
		case <-time.After(retryPause):
		}
	}
	return false
}
