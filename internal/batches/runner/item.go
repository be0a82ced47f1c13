package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/eventstream"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

const (
	// itemDeadline is how long a replica may work on an item in one go.
	itemDeadline = 60 * time.Second
	// headPatience is how long the first sign of an answer may take, for the
	// first attempt; it doubles with each further one.
	firstEventTimeout = scheduling.MaxFirstEvent
	// gapPatience is the longest pause between events for a sound replica.
	eventTimeout         = 1200 * time.Millisecond
	maxFirstEventTimeout = 10 * time.Second
	failurePause         = 20 * time.Millisecond
)

// errTooOld: the replica's weights are older than the batch allows.
var errTooOld = errors.New("runner: weights too old")

// errHandedOver: another replica goes on with the item.
var errHandedOver = errors.New("runner: handed over")

// runItem runs one attempt at an item and takes its outcome into account.
func (j *job) runAttempt(it *item, attempt int, rep replica.Replica, rt *route.Route) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	j.mu.Lock()
	it.cancel = cancel
	j.mu.Unlock()
	err := j.stream(ctx, cancel, it, attempt, rep, rt)
	j.endAttempt(it, attempt, rep, rt, err)
}

// endRun takes the outcome of an item's run into account.
func (j *job) endAttempt(it *item, attempt int, rep replica.Replica, rt *route.Route, err error) {
	j.r.table.Ended(rep.Start())
	j.mu.Lock()
	current := it.attempt == attempt
	if current {
		it.cancel = nil
		if heldErr := j.flushBuffered(it); err == nil {
			err = heldErr
		}
	}
	listed := it.state == itemListed
	j.mu.Unlock()
	if !current || listed || j.ctx.Err() != nil {
		return
	}
	if err == nil {
		j.scoreItem(it)
	} else {
		j.retryItem(it, rep, rt, err)
		j.giveBack(j.r.ctx)
	}
	j.r.Kick()
}

// streamItem reads an item's events until the text is whole.
func (j *job) stream(ctx context.Context, cancel context.CancelFunc, it *item, attempt int, rep replica.Replica, rt *route.Route) error {
	patience := min(firstEventTimeout<<min(it.attempts-1, 3), maxFirstEventTimeout)
	watchdog := time.AfterFunc(patience, cancel)
	defer watchdog.Stop()
	stream, err := j.r.forwarder.OpenStream(ctx, j.streamRequest(it, rt), rep)
	if err != nil {
		return err
	}
	watchdog.Stop()
	return j.followStream(cancel, it, attempt, rep, rt, stream)
}

// followStream reads the events of an open stream until the text is whole.
func (j *job) followStream(cancel context.CancelFunc, it *item, attempt int, rep replica.Replica, rt *route.Route, stream *forward.Stream) error {
	defer stream.Close()
	j.r.table.Accepted(rep.Start())
	model := j.submission.Model
	version := stream.Version
	if version > 0 {
		j.r.table.HoldsVersion(rep.Start(), model, version)
	}
	patience := max(eventTimeout, 4*rep.Pace)
	watchdog := time.AfterFunc(patience, cancel)
	defer watchdog.Stop()
	var last time.Time
	for {
		watchdog.Reset(patience)
		event, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if event.Version > 0 {
			version = event.Version
			j.r.table.HoldsVersion(rep.Start(), model, version)
		}
		if err := j.receive(it, attempt, event, version, rt); err != nil {
			return err
		}
		if last.IsZero() {
			j.noteFirstEvent(it, attempt, rt)
		}
		now := time.Now()
		if !last.IsZero() {
			j.r.table.Paced(rep.Start(), now.Sub(last))
		}
		last = now
	}
}

func (j *job) streamRequest(it *item, rt *route.Route) *forward.StreamRequest {
	header := it.header.Clone()
	names := j.r.forwarder.Names
	header[http.CanonicalHeaderKey(names.RequestID)] = []string{it.ID}
	names.SetTenant(header, j.submission.Tenant)
	return &forward.StreamRequest{
		RequestID: it.ID, Method: http.MethodPost, Target: it.Path, Host: j.submission.Host,
		Header: header, Body: it.Body, Caller: j.submission.Tenant, After: it.lastEvent, HasAfter: it.hasEvent, Deadline: itemDeadline, Repeatable: true,
	}
}

// blocked reports whether the item must not run now for its content's sake. The mutex is
// held.
func (j *job) blocked(it *item) bool {
	table := j.r.forwarder.Quarantine
	return !table.Quiet() && table.Blocked(j.contentOf(it))
}

// contentOf is what the item asks a replica for. The mutex is held.
func (j *job) contentOf(it *item) *quarantine.Content {
	if it.content == nil {
		it.content = &quarantine.Content{Caller: j.submission.Tenant, Method: http.MethodPost, Host: j.submission.Host, Target: it.Path, Body: it.Body}
	}
	return it.content
}

// take adds an event of a run to an item's text, unless another run goes on with it.
func (j *job) receive(it *item, attempt int, event eventstream.Event, version int64, rt *route.Route) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.attempt != attempt {
		return errHandedOver
	}
	made := receivedEvent{event: event, version: version, single: rt.SingleVersion}
	if it.buffering {
		it.buffered = append(it.buffered, made)
		return nil
	}
	return j.appendEvent(it, made)
}

// madeEvent is an event with the version of the weights that made it.
type receivedEvent struct {
	event   eventstream.Event
	version int64
	// single says that a text must be of one version.
	single bool
}

// add adds an event to an item's text. Events come in order without gaps, and each
// was made by a version that the batch allows. The mutex is held.
func (j *job) appendEvent(it *item, made receivedEvent) error {
	event, version := made.event, made.version
	if !event.HasID || (it.hasEvent && event.ID != it.lastEvent+1) {
		return errors.Errorf("event %d after %d", event.ID, it.lastEvent)
	}
	if version < j.submission.MinVersion {
		return errTooOld
	}
	if made.single && len(it.versions) > 0 && it.versions[0] != version {
		it.forgetEvents()
		return errors.New("version changed within a text of one version")
	}
	if it.timing.phase == phasePrompt {
		it.timing.enter(phaseGenerating, time.Now())
	}
	it.events = append(it.events, event.Data)
	it.lastEvent, it.hasEvent = event.ID, true
	if version > 0 && !slices.Contains(it.versions, version) {
		it.versions = append(it.versions, version)
	}
	return nil
}

// startAgain forgets an item's text.
func (it *item) forgetEvents() {
	it.events, it.versions, it.lastEvent, it.hasEvent, it.checkpointed = nil, nil, 0, false, 0
}

// retryItem decides what becomes of an item whose attempt failed.
func (j *job) retryItem(it *item, rep replica.Replica, rt *route.Route, cause error) {
	table := j.r.table
	var status *forward.StatusError
	var quarantined *forward.QuarantinedError
	pause := failurePause
	dead := ""
	switch {
	case errors.As(cause, &quarantined):
		pause = quarantined.RetryAfter
	case errors.Is(cause, forward.ErrDeclined), errors.Is(cause, errTooOld):
		table.Declined(rep.Start())
	case errors.Is(cause, upstream.ErrFull):
		table.Busy(rep.Start(), failurePause)
	case errors.As(cause, &status):
		dead = j.failureStatus(it, status.Status, rt)
	default:
		table.Failed(rep.Start())
	}
	j.logger.Info("item attempt failed", zap.String("item", it.ID), zap.String("replica", rep.ID), zap.Int("attempt", it.attempts),
		zap.Int64("events", it.lastEvent), zap.Duration("after", time.Since(it.startedAt)), zap.Error(cause))
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state != itemRunning {
		return
	}
	if dead != "" {
		j.finish(it, batch.Result{Item: it.index, Outcome: batch.Dead}, dead)
		return
	}
	it.state = itemWaiting
	it.timing.enter(phaseWaiting, time.Now())
	it.notBefore = time.Now().Add(pause)
}

// failureStatus counts a replica's failure and returns why the item is given
// up, or "".
func (j *job) failureStatus(it *item, status int, rt *route.Route) string {
	switch status {
	case http.StatusUnprocessableEntity:
		return "cannot be done"
	case http.StatusInternalServerError:
		it.failures++
		if it.failures >= max(rt.MaxAttempts, 1) {
			return "failed at every attempt"
		}
	}
	return ""
}

// scoreItem has a whole text scored and hands it to be listed.
func (j *job) scoreItem(it *item) {
	j.mu.Lock()
	if it.state != itemRunning {
		j.mu.Unlock()
		return
	}
	it.state = itemScoring
	it.timing.enter(phaseScoring, time.Now())
	j.lengths.Observe(it.expectedTokens, len(it.events))
	result := batch.Result{Item: it.index, Outcome: batch.Done, Text: bytes.Join(it.events, []byte("\n")), Versions: slices.Clone(it.versions)}
	j.mu.Unlock()
	j.r.Kick()
	reason := ""
	if it.Reward != nil {
		score, err := j.reward(it)
		if j.ctx.Err() != nil {
			return
		}
		if err != nil {
			result, reason = batch.Result{Item: it.index, Outcome: batch.Dead}, err.Error()
		}
		result.Score = score
	}
	slices.Sort(result.Versions)
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state == itemScoring {
		j.finish(it, result, reason)
	}
}
