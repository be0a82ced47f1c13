package runner

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/scheduling"
)

// waitReason says why a waiting item is not started. It is one of the constants below or a
// scheduling.WaitReason.
type waitReason = scheduling.WaitReason

const (
	// waitHandedOff: the item is left to the owner that released the batch.
	waitHandedOff waitReason = "left to the previous owner"
	// waitRetryDelay: the delay after a failed attempt has not passed.
	waitRetryDelay waitReason = "retry delay"
	// waitQuarantine: replicas ended under the item, which is not to run yet.
	waitQuarantine waitReason = "replicas ended while they ran it"
	// waitHeldBack: the start is left to other owners.
	waitHeldBack waitReason = "starts held back for other owners"
)

const (
	// firstWaitLine is the wait after which an item's wait is logged. It is logged again each time
	// that it has doubled.
	firstWaitLine = time.Second
	// waitLinesPerSecond bounds the lines about waits. Under load all items of a batch wait for room.
	waitLinesPerSecond = 40
)

// waitLog says how often an item's current wait was logged, and the reason that was logged last.
type waitLog struct {
	lines  int
	reason waitReason
}

// lineBudget bounds the number of log lines in a second. The zero value is ready for use.
type lineBudget struct {
	mu             sync.Mutex
	second         int64
	lines, leftOut int
}

// take reports whether a line may be written now, and how many have been left out since the last one
// that was.
func (b *lineBudget) take(now time.Time) (ok bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.lines = second, 0
	}
	if b.lines >= waitLinesPerSecond {
		b.leftOut++
		return false, 0
	}
	b.lines++
	leftOut, b.leftOut = b.leftOut, 0
	return true, leftOut
}

// waited returns how long a waiting item has been at no replica, as far as this owner knows. The job's
// mutex is held.
func (it *item) waited(now time.Time) time.Duration { return now.Sub(it.timing.since) }

// noteWait logs that an item waits, once its wait has reached firstWaitLine and each time that it has
// doubled since. The job's mutex is held.
func (r *Runner) noteWait(j *job, it *item, reason waitReason, now time.Time) {
	waited := it.waited(now)
	if waited < firstWaitLine<<it.wait.lines {
		return
	}
	it.wait.lines++
	it.wait.reason = reason
	ok, leftOut := r.waitLines.take(now)
	if !ok {
		return
	}
	j.logger.Info("item waits", zap.String("item", it.ID), zap.String("reason", string(reason)),
		zap.Duration("waited", waited), zap.Duration("at_least", max(it.notBefore.Sub(now), 0)),
		zap.Int("attempts", it.attempt), zap.String("replica", it.lastReplica),
		zap.Bool("handed_off", it.handedOff), zap.Int("left_out", leftOut))
}

// noteWaitEnd logs that an item whose wait was logged is started at a replica. The job's mutex is held.
func (r *Runner) noteWaitEnd(j *job, it *item, replicaID string) {
	if it.wait.lines == 0 {
		return
	}
	last := it.wait
	it.wait = waitLog{}
	now := time.Now()
	if ok, leftOut := r.waitLines.take(now); ok {
		j.logger.Info("item wait ended", zap.String("item", it.ID), zap.String("replica", replicaID),
			zap.Duration("waited", it.waited(now)), zap.String("reason", string(last.reason)),
			zap.Int("attempts", it.attempt), zap.Int("left_out", leftOut))
	}
}

// noteWait keeps why an item was not started. Plan calls it.
func (v *view) noteWait(item int, reason scheduling.WaitReason) {
	if reason == scheduling.WaitIsolated {
		v.routed[item].noteHeldBack()
	}
	if v.Items[item].Waited < firstWaitLine {
		return
	}
	if v.waits == nil {
		v.waits = map[int]scheduling.WaitReason{}
	}
	v.waits[item] = reason
}

// noteHeldBack tells the quarantine that the item waits for an isolated run, which bounds that wait.
func (routed routedItem) noteHeldBack() {
	routed.job.mu.Lock()
	content := routed.job.contentOf(routed.item)
	routed.job.mu.Unlock()
	routed.job.r.forwarder.Quarantine.HeldBack(content)
}

// logWaits logs the waits of the items that were not started. If the plan gave no reason, it did start the
// item, and the start was held back.
func (v *view) logWaits(now time.Time) {
	for i, routed := range v.routed {
		if v.Items[i].Engine != "" || v.Items[i].Waited < firstWaitLine {
			continue
		}
		reason, ok := v.waits[i]
		if !ok {
			reason = waitHeldBack
		}
		routed.job.mu.Lock()
		if routed.item.state == itemWaiting && routed.job.ctx.Err() == nil && !routed.job.release.begun {
			routed.job.r.noteWait(routed.job, routed.item, reason, now)
		}
		routed.job.mu.Unlock()
	}
}

// logLeft logs the attempts that the end of a job cancels although its batch is open: another owner is to
// run the items again. The mutex is held.
func (j *job) logLeft(reason string) {
	for _, it := range j.items {
		if it.state != itemRunning {
			continue
		}
		if ok, leftOut := j.r.waitLines.take(time.Now()); ok {
			j.logger.Info("item left running", zap.String("item", it.ID), zap.String("replica", it.lastReplica),
				zap.String("reason", reason), zap.Int64("events", it.lastEvent), zap.Int("left_out", leftOut))
		}
	}
}

// LongestWait returns the longest time for which an item has been waiting for a replica by now, 0 if none
// waits.
func (r *Runner) LongestWait() (longest time.Duration) {
	now := time.Now()
	for _, j := range r.jobList() {
		j.mu.Lock()
		for _, it := range j.items {
			if it.state == itemWaiting {
				longest = max(longest, it.waited(now))
			}
		}
		j.mu.Unlock()
	}
	return longest
}
