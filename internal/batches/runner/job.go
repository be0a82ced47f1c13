package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// job is one batch that this daemon runs.
type job struct {
	r          *Runner
	submission *batch.Submission
	// partition is the fold that the batch goes by.
	partition *ledger.Partition
	adoptedAt time.Time
	logger    *zap.Logger
	ctx       context.Context
	cancel    context.CancelFunc

	// mu guards what is below, the fields of the items too.
	mu        sync.Mutex
	items     []*item
	placement placement
	results   resultQueue
	release   releaseState
	// missedHeartbeats is how many heartbeats in a row were not recorded.
	missedHeartbeats int
}

// placement is what a job knows for the scheduler beside its items.
type placement struct {
	// groups names the incarnation of the replica that last started an item of a group. A
	// later one has not read the group's prompt.
	groups map[string]replica.Incarnation
	// required are the groups that came again: the trainer waits for them.
	required map[string]bool
	// lengths forecasts the lengths of texts of the batch's model.
	lengths *scheduling.Lengths
}

// newJob makes a job of an open batch. It is called within a view of the fold.
func newJob(r *Runner, partition *ledger.Partition, b *batch.Batch) *job {
	submission := b.Submission
	j := &job{
		r:          r,
		submission: &submission,
		partition:  partition,
		adoptedAt:  time.Now(),
		logger:     r.logger.With(zap.String("batch", b.ID)),
		placement:  placement{groups: map[string]replica.Incarnation{}},
		results:    resultQueue{wake: make(chan struct{}, 1)},
	}
	j.ctx, j.cancel = context.WithCancel(r.ctx)
	j.placement.required, j.placement.lengths = r.history.begin(&submission)
	j.items = newItems(&submission, r)
	for i, it := range j.items {
		if b.Listed[i] {
			it.state = itemListed
		}
		it.resumeFrom(b.Partials[i])
		it.timing.since = j.adoptedAt
		if b.HandedOff[i] {
			it.handedOff, it.notBefore = true, j.adoptedAt.Add(handOffWait)
		}
	}
	return j
}

// logOwned logs with what the job begins. It is called before the job is shared.
func (j *job) logOwned() {
	listed, begun := 0, 0
	for _, it := range j.items {
		if it.state == itemListed {
			listed++
		}
		if len(it.events) > 0 {
			begun++
		}
	}
	s := j.submission
	j.logger.Info("batch owned", zap.Int("items", len(j.items)), zap.Int("listed", listed),
		zap.Int("begun", begun), zap.Int64("step", s.Step), zap.String("model", s.Model),
		zap.Int64("min_version", s.MinVersion), zap.Int("desired", s.Desired), zap.Inline(j.partition))
}

// run keeps the job until its batch has no more to do here.
func (j *job) run() {
	defer j.cancel()
	defer j.partition.Follow()()
	go j.listResults()
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

// finished takes the fold into account and reports whether the job is done here. If so, its
// account is closed.
func (j *job) finished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	reason := "unknown"
	j.partition.ViewBatch(j.submission.ID, func(b *batch.Batch) {
		if reason = j.reasonToLeave(b); reason == "" {
			j.markListed(b)
			j.markReturned(b)
		}
	})
	if reason == "" && j.release.begun && j.noneUnderWay() {
		reason = "released"
	}
	if reason == "" {
		return false
	}
	j.closeAccount(reason, time.Now())
	j.publishItemTime()
	j.logger.Info("batch left", zap.String("reason", reason), zap.Duration("after", time.Since(j.adoptedAt)))
	return true
}

// reasonToLeave returns why a batch has no more to do here by the fold, or "" if it has. The
// mutex is held.
func (j *job) reasonToLeave(b *batch.Batch) string {
	switch {
	case b.Ended:
		return "ended"
	case !b.Open():
		return "all listed"
	case b.Owner != j.r.self && !j.release.begun:
		return "owned by " + b.Owner
	default:
		return ""
	}
}

// markListed takes the results into account that are in the ledger. The mutex is held.
func (j *job) markListed(b *batch.Batch) {
	for i, listed := range b.Listed {
		it := j.items[i]
		if !listed || it.state == itemListed {
			continue
		}
		it.state = itemListed
		it.events, it.checkpointed = nil, 0
		it.timing.enter(phaseDone, time.Now())
		it.cancelAttempt()
	}
}

// noneUnderWay reports whether nothing is left to finish here. The mutex is held.
func (j *job) noneUnderWay() bool {
	return len(j.results.pending) == 0 && !slices.ContainsFunc(j.items, (*item).underWay)
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
func (j *job) route() (*route.Route, bool) {
	configuration := j.r.operator.Configuration()
	if configuration == nil {
		return nil, false
	}
	return configuration.Find(j.submission.Host, j.submission.Path)
}

// giveUpTooOld lists as dead the waiting items that are older than their route lets them
// grow. A batch's age is counted from when this owner began, by its steady clock: that is
// never more than the true age, whatever time of day daemons believe.
func (j *job) giveUpTooOld() {
	rt, ok := j.route()
	if !ok || !tooOld(time.Since(j.adoptedAt), rt.MaxQueueTime) {
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
