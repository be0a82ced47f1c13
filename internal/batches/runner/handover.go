package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
)

// handOver moves a running item to another replica. The current attempt is cancelled only once the
// other replica has accepted the item, since a replica that is changing its weights declines.
// Until then, events of the current attempt are buffered. If the other replica accepts, the
// buffered events are dropped, since that replica generates this part of the text too; if it
// declines, they are added to the text.
func (j *job) handOver(routed routedItem, to replica.Replica, gain time.Duration) {
	it := routed.item
	j.mu.Lock()
	if it.state != itemRunning || it.cancel == nil || it.buffering || j.release.begun || j.ctx.Err() != nil {
		j.mu.Unlock()
		return
	}
	it.buffering = true
	if !it.hasFirstEvent {
		// The time waited so far counts as a latency although no event has arrived, so that the
		// expected latency grows when all engines become slow.
		j.r.firstEventLatency.Observe(serviceOf(routed.route, it), time.Since(it.startedAt))
	}
	from := it.attempt
	req := j.streamRequest(it)
	j.mu.Unlock()
	next := &attempt{routedItem: routed, replica: to}
	j.r.launch(to, func() { next.continueFrom(from, req, gain) })
}

// continueFrom asks the attempt's replica to continue the item after attempt number from and, if it
// accepts, follows the stream.
func (a *attempt) continueFrom(from int, req *forward.StreamRequest, gain time.Duration) {
	ctx, cancel := context.WithCancel(a.job.ctx)
	defer cancel()
	stream, err := a.open(ctx, cancel, req, firstEventTimeout)
	if !a.replace(from, cancel, gain, err) {
		a.abandon(stream, err)
		return
	}
	a.handleOutcome(a.follow(cancel, stream))
}

// replace makes the attempt the current one if its replica has accepted the item and attempt number
// from is still the current one. It reports whether it did.
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
		zap.Duration("gain", gain), zap.Bool("silent", !it.hasFirstEvent))
	cancelBefore := it.cancel
	a.number = it.beginAttempt(a.replica.ID, time.Now())
	it.cancel = cancel
	j.placement.groups[it.Group] = a.replica.Incarnation()
	if cancelBefore != nil {
		cancelBefore()
	}
	return true
}

// abandon ends an attempt that did not become the current one.
func (a *attempt) abandon(stream *forward.Stream, err error) {
	if err == nil {
		stream.Close()
	}
	a.job.r.table.RequestEnded(a.replica.Incarnation())
	if a.job.ctx.Err() != nil {
		// The request was cancelled with its batch, which is no fault of the replica.
		return
	}
	a.job.logger.Info("item not moved", zap.String("item", a.item.ID), zap.String("to", a.replica.ID), zap.Error(err))
	a.job.r.recordFault(a.replica.Incarnation(), handOverFault(err))
}
