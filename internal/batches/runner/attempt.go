package runner

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/eventstream"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
)

// attemptTimeout is the deadline given to a replica for one attempt at an item.
const attemptTimeout = 60 * time.Second

var (
	// errTooOld says that the replica's weights are older than the batch allows.
	errTooOld = errors.New("runner: weights older than the batch allows")
	// errHandedOver says that the item was handed over to another replica.
	errHandedOver = errors.New("runner: item handed over to another replica")
)

// attempt is one attempt at running an item at a replica. The current attempt is the one whose
// number equals the item's attempt; only the current attempt changes the item.
type attempt struct {
	routedItem
	number  int
	replica replica.Replica
}

// run makes the attempt and handles its outcome.
func (a *attempt) run() {
	ctx, cancel := context.WithCancel(a.job.ctx)
	defer cancel()
	a.job.mu.Lock()
	a.item.cancel = cancel
	req := a.job.streamRequest(a.item)
	timeout := firstEventTimeoutOf(a.item.silentAttempts)
	a.job.mu.Unlock()
	stream, err := a.open(ctx, cancel, req, timeout)
	if err == nil {
		err = a.follow(cancel, stream)
	}
	a.handleOutcome(err)
}

// open requests the item's event stream from the replica. If the replica does not answer within
// the timeout, open cancels the attempt.
func (a *attempt) open(
	ctx context.Context, cancel context.CancelFunc, req *forward.StreamRequest, timeout time.Duration,
) (*forward.Stream, error) {
	watchdog := time.AfterFunc(timeout, func() {
		a.noteSilence()
		cancel()
	})
	defer watchdog.Stop()
	return a.job.r.forwarder.OpenStream(ctx, req, a.replica)
}

// noteSilence counts an attempt that got no response in time, if it is the current one.
func (a *attempt) noteSilence() {
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	if a.item.attempt == a.number {
		a.item.silentAttempts++
	}
}

// handleOutcome handles the end of an attempt; a nil err means that the text is complete. The item
// is scored, tried again or given up. It does not change if the attempt is no longer the current
// one, the item's result is in the ledger or the job has ended.
func (a *attempt) handleOutcome(err error) {
	j, it := a.job, a.item
	j.r.table.RequestEnded(a.replica.Incarnation())
	j.mu.Lock()
	current := it.attempt == a.number
	if current {
		it.cancel = nil
		if flushErr := it.flushBuffered(j.submission.MinVersion); err == nil {
			err = flushErr
		}
	}
	listed := it.state == itemListed
	j.mu.Unlock()
	if !current || listed || j.ctx.Err() != nil {
		return
	}
	if err == nil {
		j.score(it)
	} else {
		a.logFailure(err)
		j.recordSuspicion(it, a.content())
		a.handleFailure(err)
		j.returnItems(j.r.ctx)
	}
	j.r.WakeDispatcher()
}

// content returns the content of the item's request.
func (a *attempt) content() *quarantine.Content {
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	return a.job.contentOf(a.item)
}

// follow reads the events of an open stream. It returns nil at the end of the text.
func (a *attempt) follow(cancel context.CancelFunc, stream *forward.Stream) error {
	defer stream.Close()
	a.job.r.table.RequestAccepted(a.replica.Incarnation())
	version := stream.Version
	a.recordVersion(version)
	timeout := eventTimeoutOf(a.replica.EventTime)
	watchdog := time.AfterFunc(timeout, cancel)
	defer watchdog.Stop()
	var last time.Time
	for {
		watchdog.Reset(timeout)
		event, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if event.Version > 0 {
			version = event.Version
			a.recordVersion(version)
		}
		if err := a.receive(event, version); err != nil {
			return err
		}
		last = a.recordEventTime(last)
	}
}

// recordVersion records in the replica table which version of the weights the replica holds. A
// version of 0, which means that the replica did not report one, is ignored.
func (a *attempt) recordVersion(version int64) {
	if version > 0 {
		a.job.r.table.ObserveVersion(a.replica.Incarnation(), a.job.submission.Model, version)
	}
}

// recordEventTime records the time since the attempt's previous event, which arrived at last, or
// the time to the first event if last is zero. It returns the current time.
func (a *attempt) recordEventTime(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		a.recordFirstEvent()
	} else {
		a.job.r.table.ObserveEvent(a.replica.Incarnation(), now.Sub(last))
	}
	return now
}

// receive adds an event to the item's text, or to its buffer during a hand-over. It returns
// errHandedOver if the attempt is no longer the current one.
func (a *attempt) receive(event eventstream.Event, version int64) error {
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	if a.item.attempt != a.number {
		return errHandedOver
	}
	e := receivedEvent{event: event, version: version, singleVersion: a.route.SingleVersion}
	if a.item.buffering {
		return a.item.buffer(e)
	}
	return a.item.appendEvent(e, a.job.submission.MinVersion)
}

// recordFirstEvent records that the attempt has received its first event and how long that took.
func (a *attempt) recordFirstEvent() {
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	if a.item.attempt != a.number {
		return
	}
	a.item.hasFirstEvent, a.item.silentAttempts = true, 0
	a.job.r.firstEventLatency.Observe(serviceOf(a.route, a.item), time.Since(a.item.startedAt))
}

// logFailure logs the failure of the attempt, before the records that the next one waits for.
func (a *attempt) logFailure(cause error) {
	j, it := a.job, a.item
	j.mu.Lock()
	defer j.mu.Unlock()
	j.logger.Info("item attempt failed", zap.String("item", it.ID), zap.String("replica", a.replica.ID),
		zap.Int("attempt", it.attempt), zap.Int64("events", it.lastEvent),
		zap.Duration("after", time.Since(it.startedAt)), zap.Error(cause))
}

// handleFailure schedules another attempt at the item or gives the item up.
func (a *attempt) handleFailure(cause error) {
	j, it := a.job, a.item
	j.mu.Lock()
	next := decideRetry(cause, it.failures.Item, a.route.MaxAttempts)
	if next.countsAsFailure {
		it.failures.Item++
	}
	j.mu.Unlock()
	if next.countsAsFailure && next.deadReason == "" {
		j.recordFailures(it)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.r.recordFault(a.replica.Incarnation(), next.fault)
	if it.state != itemRunning {
		return
	}
	if next.deadReason != "" {
		j.finishItem(it, batch.Result{Item: it.index, Outcome: batch.Dead}, next.deadReason)
		return
	}
	it.state = itemWaiting
	it.timing.enter(phaseWaiting, time.Now())
	it.notBefore = time.Now().Add(next.delay)
}

// streamRequest returns the request for the rest of an item's text. The mutex is held.
func (j *job) streamRequest(it *item) *forward.StreamRequest {
	header := it.header.Clone()
	names := j.r.forwarder.Names
	header[http.CanonicalHeaderKey(names.RequestID)] = []string{it.ID}
	names.SetTenant(header, j.submission.Tenant)
	return &forward.StreamRequest{
		Request: forward.Request{
			RequestID: it.ID,
			Method:    http.MethodPost,
			Target:    it.Path,
			Host:      j.submission.Host,
			Header:    header,
			Body:      it.Body,
			Caller:    j.submission.Tenant,
			Owed:      true,
		},
		LastEventID:    it.lastEvent,
		HasLastEventID: it.hasEvent,
		Deadline:       attemptTimeout,
		Repeatable:     true,
	}
}

// recordFault records the fault of a replica in the replica table.
func (r *Runner) recordFault(incarnation replica.Incarnation, f fault) {
	switch f {
	case noFault:
	case faultDeclined:
		r.table.RequestDeclined(incarnation)
	case faultFull:
		r.table.AvoidFor(incarnation, retryDelay)
	case faultFailed:
		r.table.RequestFailed(incarnation)
	}
}
