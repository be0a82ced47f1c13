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
)

// itemDeadline is how long a replica may work on an item in one attempt.
const itemDeadline = 60 * time.Second

var (
	// errTooOld: the replica's weights are older than the batch allows.
	errTooOld = errors.New("runner: weights too old")
	// errHandedOver: another replica goes on with the item.
	errHandedOver = errors.New("runner: handed over")
)

// attempt is one try of an item at a replica. It counts until the item has a newer one.
type attempt struct {
	routedItem
	number  int
	replica replica.Replica
}

// run makes the attempt and takes its outcome into account.
func (a *attempt) run() {
	ctx, cancel := context.WithCancel(a.job.ctx)
	defer cancel()
	a.job.mu.Lock()
	a.item.cancel = cancel
	req := a.job.streamRequest(a.item)
	a.job.mu.Unlock()
	stream, err := a.open(ctx, cancel, req, firstEventTimeoutOf(a.number))
	if err == nil {
		err = a.follow(cancel, stream)
	}
	a.end(err)
}

// open asks the attempt's replica for the item's events, and cancels that after the timeout.
func (a *attempt) open(
	ctx context.Context, cancel context.CancelFunc, req *forward.StreamRequest, timeout time.Duration,
) (*forward.Stream, error) {
	watchdog := time.AfterFunc(timeout, cancel)
	defer watchdog.Stop()
	return a.job.r.forwarder.OpenStream(ctx, req, a.replica)
}

func (a *attempt) end(err error) {
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
		a.failed(err)
		j.giveBack(j.r.ctx)
	}
	j.r.Kick()
}

// follow reads the events of an open stream until the text is whole.
func (a *attempt) follow(cancel context.CancelFunc, stream *forward.Stream) error {
	defer stream.Close()
	a.job.r.table.RequestAccepted(a.replica.Incarnation())
	version := stream.Version
	a.noteVersion(version)
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
			a.noteVersion(version)
		}
		if err := a.receive(event, version); err != nil {
			return err
		}
		last = a.noteEvent(last)
	}
}

// noteVersion tells the table which version of the weights the replica holds, 0 if it did not say.
func (a *attempt) noteVersion(version int64) {
	if version > 0 {
		a.job.r.table.ObserveVersion(a.replica.Incarnation(), a.job.submission.Model, version)
	}
}

// noteEvent notes how long an event took after the last one, which was at a time that is zero before
// the first, and returns its own time.
func (a *attempt) noteEvent(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		a.noteFirstEvent()
	} else {
		a.job.r.table.ObserveEvent(a.replica.Incarnation(), now.Sub(last))
	}
	return now
}

// receive adds an event to the item's text, unless another attempt goes on with it.
func (a *attempt) receive(event eventstream.Event, version int64) error {
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	if a.item.attempt != a.number {
		return errHandedOver
	}
	e := receivedEvent{event: event, version: version, single: a.route.SingleVersion}
	if a.item.buffering {
		a.item.buffered = append(a.item.buffered, e)
		return nil
	}
	return a.item.appendEvent(e, a.job.submission.MinVersion)
}

// noteFirstEvent notes that the attempt has brought an event, and after how long.
func (a *attempt) noteFirstEvent() {
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	if a.item.attempt != a.number {
		return
	}
	a.item.answered = true
	a.job.r.firstEvents.Observe(serviceOf(a.route, a.item), time.Since(a.item.startedAt))
}

// failed lets the item wait for another attempt, or gives it up.
func (a *attempt) failed(cause error) {
	j, it := a.job, a.item
	j.mu.Lock()
	defer j.mu.Unlock()
	next := retryAfter(cause, it.failures, a.route.MaxAttempts)
	if next.counts {
		it.failures++
	}
	j.r.noteFault(a.replica.Incarnation(), next.fault)
	j.logger.Info("item attempt failed", zap.String("item", it.ID), zap.String("replica", a.replica.ID),
		zap.Int("attempt", it.attempt), zap.Int64("events", it.lastEvent),
		zap.Duration("after", time.Since(it.startedAt)), zap.Error(cause))
	if it.state != itemRunning {
		return
	}
	if next.dead != "" {
		j.finish(it, batch.Result{Item: it.index, Outcome: batch.Dead}, next.dead)
		return
	}
	it.state = itemWaiting
	it.timing.enter(phaseWaiting, time.Now())
	it.notBefore = time.Now().Add(next.pause)
}

// streamRequest asks a replica for the rest of an item's text. The mutex is held.
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
		},
		After:      it.lastEvent,
		HasAfter:   it.hasEvent,
		Deadline:   itemDeadline,
		Repeatable: true,
	}
}

func (r *Runner) noteFault(incarnation replica.Incarnation, f fault) {
	switch f {
	case noFault:
	case faultDeclined:
		r.table.RequestDeclined(incarnation)
	case faultFull:
		r.table.AvoidFor(incarnation, failurePause)
	case faultFailed:
		r.table.RequestFailed(incarnation)
	}
}
