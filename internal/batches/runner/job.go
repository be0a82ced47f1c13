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
	"woodworks/internal/membership/identity"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// job is a batch that this daemon runs.
type job struct {
	r          *Runner
	submission *batch.Submission
	// partition is the fold by which the job follows its batch: the fold of the whole partition,
	// or one that starts at the batch.
	partition *ledger.Partition
	adoptedAt time.Time
	// takenOver says that the batch had another owner before.
	takenOver bool
	logger    *zap.Logger
	ctx       context.Context
	cancel    context.CancelFunc

	// mu guards the fields below and the mutable fields of the items.
	mu        sync.Mutex
	items     []*item
	placement placement
	results   resultQueue
	release   releaseState
	// handOffSignals is the number of heartbeats seen of the owner that released the batch before.
	handOffSignals int64
	// missedHeartbeats is the number of consecutive heartbeats that the journal did not
	// acknowledge.
	missedHeartbeats int
}

// placement holds what the scheduler needs to know of a job besides its items.
type placement struct {
	// groups maps a group to the incarnation of the replica that last started one of its items and
	// therefore has the group's prompt cached. A later incarnation of the replica does not have
	// it.
	groups map[string]replica.Incarnation
	// required holds the groups that an earlier batch contained too: the trainer waits for these
	// groups to be complete.
	required map[string]bool
	// lengths estimates the lengths of the texts of the batch's model.
	lengths *scheduling.LengthEstimator
}

// newJob returns a job of an open batch. It is called within a view of the fold.
func newJob(r *Runner, partition *ledger.Partition, b *batch.Batch) *job {
	submission := b.Submission
	j := &job{
		r:          r,
		submission: &submission,
		partition:  partition,
		adoptedAt:  time.Now(),
		takenOver:  b.LivenessSignals > 0,
		logger:     r.logger.With(zap.String("batch", b.ID)),
		placement:  placement{groups: map[string]replica.Incarnation{}},
		results:    resultQueue{wake: make(chan struct{}, 1)},
	}
	j.ctx, j.cancel = context.WithCancel(r.ctx)
	j.placement.required, j.placement.lengths = r.history.recordBatch(&submission)
	j.items = newItems(&submission, r)
	for i, it := range j.items {
		if b.HasResult[i] {
			it.state = itemListed
		}
		it.resumeFrom(b.Partials[i])
		it.failures = b.Failures[i]
		it.timing.since = j.adoptedAt
		if b.HandedOffItems[i] && !replacedHere(b.HandedOffBy, r.self) {
			it.handedOff, it.notBefore = true, j.adoptedAt.Add(unsignalledHandOff)
		}
	}
	j.observeHandOff(b, j.adoptedAt)
	return j
}

// replacedHere reports whether an owner is another incarnation on the machine of this one, and has ended.
func replacedHere(owner, self string) bool {
	return owner != self && identity.Machine(owner) == identity.Machine(self)
}

// logOwned logs the state in which the job starts. It is called before other goroutines see the
// job.
func (j *job) logOwned() {
	listed, started := 0, 0
	for _, it := range j.items {
		if it.state == itemListed {
			listed++
		}
		if len(it.events) > 0 {
			started++
		}
	}
	s := j.submission
	j.logger.Info("batch owned", zap.Int("items", len(j.items)), zap.Int("listed", listed),
		zap.Int("begun", started), zap.Int64("step", s.Step), zap.String("model", s.Model),
		zap.Int64("min_version", s.MinVersion), zap.Int("desired", s.DesiredGroups), zap.Inline(j.partition))
}

// run runs the job until its batch needs nothing more from this daemon.
func (j *job) run() {
	defer j.cancel()
	defer j.partition.Follow()()
	go j.listResults()
	go j.heartbeat()
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	for {
		changed := j.partition.Changed()
		if j.applyFold() {
			return
		}
		select {
		case <-j.ctx.Done():
			return
		case <-changed:
		case <-heartbeats.C:
			j.giveUpExpired()
			go j.heartbeat()
		}
	}
}

// applyFold applies the state of the fold to the job and reports whether the job has ended. If so,
// it logs how the time was spent and publishes the mean item time.
func (j *job) applyFold() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	reason, owed := "unknown", true
	var suspected [][]byte
	j.partition.ViewBatch(j.submission.ID, func(b *batch.Batch) {
		owed = b.IsOpen()
		if reason = j.reasonToEnd(b); reason == "" {
			j.markListed(b)
			suspected = j.markReturned(b)
		}
	})
	j.mergeSuspicions(suspected, 0)
	if reason == "" && j.release.begun && !j.release.waits && j.noneInProgress() {
		reason = "released"
	}
	if reason == "" {
		return false
	}
	j.logTimeBreakdown(reason, time.Now())
	j.publishItemTime()
	running, waiting := j.count(itemRunning), j.count(itemWaiting)
	j.logger.Info("batch job ended", zap.String("reason", reason), zap.Duration("after", time.Since(j.adoptedAt)),
		zap.Int("running", running), zap.Int("waiting", waiting))
	if owed {
		j.logLeft(reason)
	}
	return true
}

// reasonToEnd returns why the job ends according to the fold, or "" if it continues. The mutex is
// held.
func (j *job) reasonToEnd(b *batch.Batch) string {
	switch {
	case b.HasEnded():
		return "ended"
	case !b.IsOpen():
		return "all listed"
	case b.Owner != j.r.self && !j.release.begun:
		return "owned by " + b.Owner
	default:
		return ""
	}
}

// markListed marks the items whose results are in the ledger, and cancels their attempts. The mutex
// is held.
func (j *job) markListed(b *batch.Batch) {
	for i, listed := range b.HasResult {
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

// noneInProgress reports whether no item is in progress and no result waits to be appended. The
// mutex is held.
func (j *job) noneInProgress() bool {
	return len(j.results.pending) == 0 && !slices.ContainsFunc(j.items, (*item).inProgress)
}

func (j *job) waiting() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.count(itemWaiting)
}

// count returns the number of items in a state. The mutex is held.
func (j *job) count(state itemState) int {
	count := 0
	for _, it := range j.items {
		if it.state == state {
			count++
		}
	}
	return count
}

// route returns the batch's route in the configuration in force.
func (j *job) route() (*route.Route, bool) {
	configuration := j.r.operator.Configuration()
	if configuration == nil {
		return nil, false
	}
	return configuration.Find(j.submission.Host, j.submission.Path)
}

// giveUpExpired gives up the waiting items once the batch is older than its route allows. The age
// is measured on the monotonic clock from the time this owner adopted the batch. It is therefore
// never more than the true age, whatever the wall clocks of daemons show.
func (j *job) giveUpExpired() {
	rt, ok := j.route()
	if !ok || !expired(time.Since(j.adoptedAt), rt.MaxQueueTime) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.state == itemWaiting {
			j.finishItem(it, batch.Result{Item: it.index, Outcome: batch.Dead}, "exceeded the queue time limit")
		}
	}
}
