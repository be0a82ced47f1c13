package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
)

// handOver lets an item go on at another replica. The attempt under way is cut only once
// the other replica has accepted the item: one that changes its weights declines, for a
// second. The events that come meanwhile are buffered, as the other replica makes them too;
// if it declines, they count.
func (j *job) handOver(routed routedItem, to replica.Replica, gain time.Duration) {
	it := routed.item
	j.mu.Lock()
	if it.state != itemRunning || it.cancel == nil || it.buffering || j.release.begun || j.ctx.Err() != nil {
		j.mu.Unlock()
		return
	}
	it.buffering = true
	if !it.answered {
		// What was waited for in vain counts: where all engines get slow it becomes usual.
		j.r.firstEvents.Observe(serviceOf(routed.route, it), time.Since(it.startedAt))
	}
	from := it.attempt
	req := j.streamRequest(it)
	j.mu.Unlock()
	next := &attempt{routedItem: routed, replica: to}
	j.r.launch(to, func() { next.continueFrom(from, req, gain) })
}

// continueFrom has the attempt's replica go on with the item after an attempt before.
func (a *attempt) continueFrom(from int, req *forward.StreamRequest, gain time.Duration) {
	ctx, cancel := context.WithCancel(a.job.ctx)
	defer cancel()
	stream, err := a.open(ctx, cancel, req, firstEventTimeout)
	if !a.replace(from, cancel, gain, err) {
		a.abandon(stream, err)
		return
	}
	a.end(a.follow(cancel, stream))
}

// replace makes the attempt the one that counts, if its replica has accepted the item and
// the attempt before still counts.
func (a *attempt) replace(from int, cancel context.CancelFunc, gain time.Duration, err error) bool {
	j, it := a.job, a.item
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.attempt != from || !it.buffering {
		return false
	}
	if err != nil || it.state != itemRunning || j.ctx.Err() != nil {
		if err := it.flushBuffered(j.submission.MinVersion); err != nil {
			j.logger.Info("attempt cancelled", zap.String("item", it.ID),
				zap.String("replica", it.lastReplica), zap.Error(err))
			it.cancelAttempt()
		}
		return false
	}
	j.logger.Info("item moved", zap.String("item", it.ID), zap.String("replica", it.lastReplica),
		zap.String("to", a.replica.ID), zap.Int64("events", it.lastEvent), zap.Int("dropped", len(it.buffered)),
		zap.Duration("gain", gain), zap.Bool("silent", !it.answered))
	cancelBefore := it.cancel
	a.number = it.beginAttempt(a.replica.ID, time.Now())
	it.cancel = cancel
	j.placement.groups[it.Group] = a.replica.Incarnation()
	if cancelBefore != nil {
		cancelBefore()
	}
	return true
}

// abandon ends an attempt that has not become the one that counts.
func (a *attempt) abandon(stream *forward.Stream, err error) {
	if err == nil {
		stream.Close()
	}
	a.job.r.table.RequestEnded(a.replica.Incarnation())
	if a.job.ctx.Err() != nil {
		// The batch ended meanwhile, which says nothing of the replica.
		return
	}
	a.job.r.noteFault(a.replica.Incarnation(), handOverFault(err))
}
