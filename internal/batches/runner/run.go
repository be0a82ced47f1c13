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
func (j *job) handOver(p pending, to replica.Replica, gain time.Duration) {
	it := p.item
	j.mu.Lock()
	if it.state != itemRunning || it.cancel == nil || it.buffering || j.released || j.ctx.Err() != nil {
		j.mu.Unlock()
		return
	}
	it.buffering = true
	if !it.answered {
		// What was waited for in vain counts: where all engines get slow it becomes usual.
		j.r.firstEvents.Observe(serviceOf(p.route, it), time.Since(it.startedAt))
	}
	attempt := it.attempt
	request := j.streamRequest(it, p.route)
	j.mu.Unlock()
	j.r.table.Started(to.Start())
	j.r.started.Add(1)
	j.r.work.Add(1)
	go func() {
		defer j.r.work.Done()
		ctx, cancel := context.WithCancel(j.ctx)
		defer cancel()
		patience := time.AfterFunc(firstEventTimeout, cancel)
		stream, err := j.r.forwarder.OpenStream(ctx, request, to)
		patience.Stop()
		next, taken := j.switchAttempt(it, attempt, to, cancel, gain, err)
		if !taken {
			j.handOverFailed(stream, to, err)
			return
		}
		err = j.followStream(cancel, it, next, to, p.route, stream)
		j.endAttempt(it, next, to, p.route, err)
	}()
}

// takeRun makes the exchange with another replica the run of an item, if that replica
// has accepted it and the run before still is the one that counts. It returns the
// number of the new run.
func (j *job) switchAttempt(it *item, attempt int, to replica.Replica, cancel context.CancelFunc, gain time.Duration, err error) (next int, taken bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.attempt != attempt || !it.buffering {
		return 0, false
	}
	if err != nil || it.state != itemRunning || j.ctx.Err() != nil {
		if err := j.flushBuffered(it); err != nil {
			j.logger.Info("run cut", zap.String("item", it.ID), zap.String("replica", it.lastReplica), zap.Error(err))
			it.cancelAttempt()
		}
		return 0, false
	}
	j.logger.Info("item moved", zap.String("item", it.ID), zap.String("replica", it.lastReplica), zap.String("to", to.ID),
		zap.Int64("events", it.lastEvent), zap.Int("dropped", len(it.buffered)), zap.Duration("gain", gain),
		zap.Bool("silent", !it.answered))
	before := it.cancel
	it.stopBuffering()
	it.answered = false
	it.attempt++
	it.cancel = cancel
	it.attempts++
	it.lastReplica, it.startedAt = to.ID, time.Now()
	j.groups[it.Group] = to.Start()
	if before != nil {
		before()
	}
	return it.attempt, true
}

// answers notes the first event of a run.
func (j *job) noteFirstEvent(it *item, attempt int, rt *route.Route) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.attempt != attempt {
		return
	}
	it.answered = true
	j.r.firstEvents.Observe(serviceOf(rt, it), time.Since(it.startedAt))
}

// notTaken ends an exchange that has not become an item's run.
func (j *job) handOverFailed(stream *forward.Stream, to replica.Replica, err error) {
	if err == nil {
		stream.Close()
	}
	j.r.table.Ended(to.Start())
	if j.ctx.Err() != nil {
		// The batch ended meanwhile, which says nothing of the replica.
		return
	}
	var quarantined *forward.QuarantinedError
	switch {
	case errors.As(err, &quarantined):
	case errors.Is(err, forward.ErrDeclined):
		j.r.table.Declined(to.Start())
	case err != nil:
		j.r.table.Failed(to.Start())
	}
}

// thaw adds the events that were held back. An error says that the run under way
// cannot go on. The mutex is held.
func (j *job) flushBuffered(it *item) error {
	held := it.buffered
	it.stopBuffering()
	for _, made := range held {
		if err := j.appendEvent(it, made); err != nil {
			return err
		}
	}
	return nil
}

// release ends the holding back of events. The job's mutex is held.
func (it *item) stopBuffering() { it.buffering, it.buffered = false, nil }

// cutRun ends the run under way. The job's mutex is held.
func (it *item) cancelAttempt() {
	if it.cancel != nil {
		it.cancel()
	}
}
