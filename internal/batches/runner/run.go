package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

// handOver lets an item go on at another replica. The run under way is cut only once
// the other replica has accepted the item: one that changes its weights declines, for
// a second. The events that are made meanwhile are held back, as the other replica
// makes them too; if it declines, they count.
func (job *job) handOver(moved pending, to replica.Replica, gain time.Duration) {
	each := moved.item
	job.mutex.Lock()
	if each.state != itemRunning || each.cut == nil || each.holding || job.released || job.context.Err() != nil {
		job.mutex.Unlock()
		return
	}
	each.holding = true
	if !each.answered {
		// What was waited for in vain counts: where all engines get slow it becomes usual.
		job.runner.firsts.Observe(serviceOf(moved.route, each), time.Since(each.startedAt))
	}
	run := each.run
	request := job.streamRequest(each, moved.route)
	job.mutex.Unlock()
	job.runner.table.Started(to.Start())
	job.runner.started.Add(1)
	job.runner.running.Add(1)
	go func() {
		defer job.runner.running.Done()
		ctx, cancel := context.WithCancel(job.context)
		defer cancel()
		patience := time.AfterFunc(headPatience, cancel)
		stream, err := job.runner.forwarder.OpenStream(ctx, request, to)
		patience.Stop()
		next, taken := job.takeRun(each, run, to, cancel, gain, err)
		if !taken {
			job.notTaken(stream, to, err)
			return
		}
		err = job.followStream(cancel, each, next, to, moved.route, stream)
		job.endRun(each, next, to, moved.route, err)
	}()
}

// takeRun makes the exchange with another replica the run of an item, if that replica
// has accepted it and the run before still is the one that counts. It returns the
// number of the new run.
func (job *job) takeRun(each *item, run int, to replica.Replica, cancel context.CancelFunc, gain time.Duration, err error) (next int, taken bool) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if each.run != run || !each.holding {
		return 0, false
	}
	if err != nil || each.state != itemRunning || job.context.Err() != nil {
		if err := job.thaw(each); err != nil {
			job.logger.Info("run cut", zap.String("item", each.ID), zap.String("replica", each.lastReplica), zap.Error(err))
			each.cutRun()
		}
		return 0, false
	}
	job.logger.Info("item moved", zap.String("item", each.ID), zap.String("replica", each.lastReplica), zap.String("to", to.ID),
		zap.Int64("events", each.lastEvent), zap.Int("dropped", len(each.held)), zap.Duration("gain", gain),
		zap.Bool("silent", !each.answered))
	before := each.cut
	each.release()
	each.answered = false
	each.run++
	each.cut = cancel
	each.attempts++
	each.lastReplica, each.startedAt = to.ID, time.Now()
	job.groups[each.Group] = to.Start()
	if before != nil {
		before()
	}
	return each.run, true
}

// answers notes the first event of a run.
func (job *job) answers(each *item, run int, found *route.Route) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if each.run != run {
		return
	}
	each.answered = true
	job.runner.firsts.Observe(serviceOf(found, each), time.Since(each.startedAt))
}

// notTaken ends an exchange that has not become an item's run.
func (job *job) notTaken(stream *forward.Stream, to replica.Replica, err error) {
	if err == nil {
		stream.Close()
	}
	job.runner.table.Ended(to.Start())
	if job.context.Err() != nil {
		// The batch ended meanwhile, which says nothing of the replica.
		return
	}
	var quarantined *forward.QuarantinedError
	switch {
	case errors.As(err, &quarantined):
	case errors.Is(err, forward.ErrDeclined):
		job.runner.table.Declined(to.Start())
	case err != nil:
		job.runner.table.Failed(to.Start())
	}
}

// thaw adds the events that were held back. An error says that the run under way
// cannot go on. The mutex is held.
func (job *job) thaw(each *item) error {
	held := each.held
	each.release()
	for _, made := range held {
		if err := job.add(each, made); err != nil {
			return err
		}
	}
	return nil
}

// release ends the holding back of events. The job's mutex is held.
func (each *item) release() { each.holding, each.held = false, nil }

// cutRun ends the run under way. The job's mutex is held.
func (each *item) cutRun() {
	if each.cut != nil {
		each.cut()
	}
}
