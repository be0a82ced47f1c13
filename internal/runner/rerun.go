package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replica"
	"woodworks/internal/scheduling"
)

const (
	// rerunFrom is how many events an item has made before a second run is thought
	// of: a shorter one is sooner at its end.
	rerunFrom = 20
	// rerunTries is how often a second run of one item is begun at most.
	rerunTries = 3
)

// rerunVersion returns the oldest version of the weights that a second run of an item
// should have, or 0 if none is wanted: the item is likely to be left when the batch
// ends, and its text too old for the batch in which it should come again. The mutex
// is held.
func (job *job) rerunVersion(each *item, remaining float64) int64 {
	if job.next == 0 || each.rerun != nil || each.reruns >= rerunTries || len(each.text) < rerunFrom {
		return 0
	}
	if remaining <= job.needed || len(each.versions) == 0 || slices.Min(each.versions) >= job.next {
		return 0
	}
	return job.next
}

// look brings the outlook of the batch up to date: which remainder the trainer will
// wait for, and which weights the next batch will allow. The mutex is held.
func (job *job) look() {
	job.next, _ = job.runner.history.nextVersion(job.submission)
	if job.next == 0 {
		return
	}
	groups := map[string]scheduling.Group{}
	for _, each := range job.items {
		group := groups[each.Group]
		group.Required = job.required[each.Group]
		if each.state == itemWaiting || each.state == itemRunning {
			group.Remaining = max(group.Remaining, job.lengths.Remaining(each.cost, len(each.text)))
		}
		groups[each.Group] = group
	}
	list := make([]scheduling.Group, 0, len(groups))
	for _, group := range groups {
		list = append(list, group)
	}
	job.needed = scheduling.Needed(list, job.submission.Desired)
}

// startRerun sends an item that runs to a second replica, from its beginning.
func (runner *Runner) startRerun(each pending, chosen replica.Replica) {
	job, first := each.job, each.item
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if first.state != itemRunning || first.rerun != nil || job.released || job.context.Err() != nil {
		return
	}
	second := &item{index: first.index, Item: first.Item, header: first.header, state: itemRunning, cost: first.cost, attempts: 1, lastReplica: chosen.ID, startedAt: time.Now()}
	first.rerun = second
	first.reruns++
	job.logger.Info("second run begun", zap.String("item", first.ID), zap.String("replica", chosen.ID), zap.Int64("least_version", job.next),
		zap.Int64("events", first.lastEvent), zap.Int64s("versions", first.versions))
	runner.table.Started(chosen.ID)
	runner.started.Add(1)
	runner.running.Add(1)
	go func() {
		defer runner.running.Done()
		job.runSecond(first, second, chosen, each)
	}()
}

// runSecond follows a second run. If it ends before the first one, its text is the
// item's.
func (job *job) runSecond(first, second *item, chosen replica.Replica, each pending) {
	ctx, cancel := context.WithCancel(job.runner.context)
	defer cancel()
	defer job.endWithBatch(second, cancel)()
	err := job.streamItem(ctx, cancel, second, chosen, each.route)
	job.runner.table.Ended(chosen.ID)
	if job.outlived(second, err) {
		return
	}
	job.mutex.Lock()
	overtakes := err == nil && job.context.Err() == nil && (first.state == itemRunning || first.state == itemWaiting)
	if overtakes {
		first.text, first.versions, first.lastEvent, first.hasEvent = second.text, second.versions, second.lastEvent, true
		first.closed = true
		if first.move != nil {
			first.move()
		}
		first.state = itemRunning
	}
	first.rerun = nil
	job.mutex.Unlock()
	job.logger.Info("second run ended", zap.String("item", first.ID), zap.Bool("first", overtakes), zap.Int64("events", second.lastEvent), zap.Error(err))
	if overtakes {
		job.scoreItem(first)
	}
	job.runner.Kick()
}

// endWithBatch lets a run end with its batch, unless it is to survive that. The
// function returned undoes this.
func (job *job) endWithBatch(each *item, cancel context.CancelFunc) func() bool {
	job.mutex.Lock()
	each.move = cancel
	job.mutex.Unlock()
	return context.AfterFunc(job.context, func() {
		job.mutex.Lock()
		defer job.mutex.Unlock()
		if !each.survives {
			cancel()
		}
	})
}

// outlived notes the end of a run, and reports whether its batch had ended before.
func (job *job) outlived(each *item, err error) bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	each.move = nil
	if !each.survives {
		return false
	}
	each.whole = err == nil
	job.logger.Info("run after its batch ended", zap.String("item", each.ID), zap.Bool("whole", each.whole), zap.Int64("events", each.lastEvent), zap.Error(err))
	return true
}
