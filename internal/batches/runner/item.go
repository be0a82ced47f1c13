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
	headPatience = scheduling.MaxFirstEvent
	// gapPatience is the longest pause between events for a sound replica.
	gapPatience = 1200 * time.Millisecond
	maxPatience = 10 * time.Second
	failedPause = 20 * time.Millisecond
)

// errTooOld: the replica's weights are older than the batch allows.
var errTooOld = errors.New("runner: weights too old")

// errHandedOver: another replica goes on with the item.
var errHandedOver = errors.New("runner: handed over")

// runItem runs one attempt at an item and takes its outcome into account.
func (job *job) runItem(each *item, run int, chosen replica.Replica, found *route.Route) {
	ctx, cancel := context.WithCancel(job.context)
	defer cancel()
	job.mutex.Lock()
	each.cut = cancel
	job.mutex.Unlock()
	err := job.streamItem(ctx, cancel, each, run, chosen, found)
	job.endRun(each, run, chosen, found, err)
}

// endRun takes the outcome of an item's run into account.
func (job *job) endRun(each *item, run int, chosen replica.Replica, found *route.Route, err error) {
	job.runner.table.Ended(chosen.Start())
	job.mutex.Lock()
	current := each.run == run
	if current {
		each.cut = nil
		if heldErr := job.thaw(each); err == nil {
			err = heldErr
		}
	}
	listed := each.state == itemListed
	job.mutex.Unlock()
	if !current || listed || job.context.Err() != nil {
		return
	}
	if err == nil {
		job.scoreItem(each)
	} else {
		job.retryItem(each, chosen, found, err)
		job.giveBack(job.runner.context)
	}
	job.runner.Kick()
}

// streamItem reads an item's events until the text is whole.
func (job *job) streamItem(ctx context.Context, cancel context.CancelFunc, each *item, run int, chosen replica.Replica, found *route.Route) error {
	patience := min(headPatience<<min(each.attempts-1, 3), maxPatience)
	watchdog := time.AfterFunc(patience, cancel)
	defer watchdog.Stop()
	stream, err := job.runner.forwarder.OpenStream(ctx, job.streamRequest(each, found), chosen)
	if err != nil {
		return err
	}
	watchdog.Stop()
	return job.followStream(cancel, each, run, chosen, found, stream)
}

// followStream reads the events of an open stream until the text is whole.
func (job *job) followStream(cancel context.CancelFunc, each *item, run int, chosen replica.Replica, found *route.Route, stream *forward.Stream) error {
	defer stream.Close()
	job.runner.table.Accepted(chosen.Start())
	model := job.submission.Model
	version := stream.Version
	if version > 0 {
		job.runner.table.HoldsVersion(chosen.Start(), model, version)
	}
	patience := max(gapPatience, 4*chosen.Pace)
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
			job.runner.table.HoldsVersion(chosen.Start(), model, version)
		}
		if err := job.take(each, run, event, version, found); err != nil {
			return err
		}
		if last.IsZero() {
			job.answers(each, run, found)
		}
		now := time.Now()
		if !last.IsZero() {
			job.runner.table.Paced(chosen.Start(), now.Sub(last))
		}
		last = now
	}
}

func (job *job) streamRequest(each *item, found *route.Route) *forward.StreamRequest {
	header := each.header.Clone()
	names := job.runner.forwarder.Names
	header[http.CanonicalHeaderKey(names.RequestID)] = []string{each.ID}
	names.SetTenant(header, job.submission.Tenant)
	return &forward.StreamRequest{
		RequestID: each.ID, Method: http.MethodPost, Target: each.Path, Host: job.submission.Host,
		Header: header, Body: each.Body, Caller: job.submission.Tenant, After: each.lastEvent, HasAfter: each.hasEvent, Deadline: itemDeadline, Repeatable: true,
	}
}

// blocked reports whether the item must not run now for its content's sake. The mutex is
// held.
func (job *job) blocked(each *item) bool {
	table := job.runner.forwarder.Quarantine
	return !table.Quiet() && table.Blocked(job.contentOf(each))
}

// contentOf is what the item asks a replica for. The mutex is held.
func (job *job) contentOf(each *item) *quarantine.Content {
	if each.content == nil {
		each.content = &quarantine.Content{Caller: job.submission.Tenant, Method: http.MethodPost, Host: job.submission.Host, Target: each.Path, Body: each.Body}
	}
	return each.content
}

// take adds an event of a run to an item's text, unless another run goes on with it.
func (job *job) take(each *item, run int, event eventstream.Event, version int64, found *route.Route) error {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if each.run != run {
		return errHandedOver
	}
	made := madeEvent{event: event, version: version, single: found.SingleVersion}
	if each.holding {
		each.held = append(each.held, made)
		return nil
	}
	return job.add(each, made)
}

// madeEvent is an event with the version of the weights that made it.
type madeEvent struct {
	event   eventstream.Event
	version int64
	// single says that a text must be of one version.
	single bool
}

// add adds an event to an item's text. Events come in order without gaps, and each
// was made by a version that the batch allows. The mutex is held.
func (job *job) add(each *item, made madeEvent) error {
	event, version := made.event, made.version
	if !event.HasID || (each.hasEvent && event.ID != each.lastEvent+1) {
		return errors.Errorf("event %d after %d", event.ID, each.lastEvent)
	}
	if version < job.submission.MinVersion {
		return errTooOld
	}
	if made.single && len(each.versions) > 0 && each.versions[0] != version {
		each.startAgain()
		return errors.New("version changed within a text of one version")
	}
	if each.account.phase == phasePrompt {
		each.account.enter(phaseMaking, time.Now())
	}
	each.text = append(each.text, event.Data)
	each.lastEvent, each.hasEvent = event.ID, true
	if version > 0 && !slices.Contains(each.versions, version) {
		each.versions = append(each.versions, version)
	}
	return nil
}

// startAgain forgets an item's text.
func (each *item) startAgain() {
	each.text, each.versions, each.lastEvent, each.hasEvent, each.kept = nil, nil, 0, false, 0
}

// retryItem decides what becomes of an item whose attempt failed.
func (job *job) retryItem(each *item, chosen replica.Replica, found *route.Route, cause error) {
	table := job.runner.table
	var status *forward.StatusError
	var quarantined *forward.QuarantinedError
	pause := failedPause
	dead := ""
	switch {
	case errors.As(cause, &quarantined):
		pause = quarantined.RetryAfter
	case errors.Is(cause, forward.ErrDeclined), errors.Is(cause, errTooOld):
		table.Declined(chosen.Start())
	case errors.Is(cause, upstream.ErrFull):
		table.Busy(chosen.Start(), failedPause)
	case errors.As(cause, &status):
		dead = job.failureStatus(each, status.Status, found)
	default:
		table.Failed(chosen.Start())
	}
	job.logger.Info("item attempt failed", zap.String("item", each.ID), zap.String("replica", chosen.ID), zap.Int("attempt", each.attempts),
		zap.Int64("events", each.lastEvent), zap.Duration("after", time.Since(each.startedAt)), zap.Error(cause))
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if each.state != itemRunning {
		return
	}
	if dead != "" {
		job.finish(each, batch.Result{Item: each.index, Outcome: batch.Dead}, dead)
		return
	}
	each.state = itemWaiting
	each.account.enter(phaseWaiting, time.Now())
	each.notBefore = time.Now().Add(pause)
}

// failureStatus counts a replica's failure and returns why the item is given
// up, or "".
func (job *job) failureStatus(each *item, status int, found *route.Route) string {
	switch status {
	case http.StatusUnprocessableEntity:
		return "cannot be done"
	case http.StatusInternalServerError:
		each.failures++
		if each.failures >= max(found.MaxAttempts, 1) {
			return "failed at every attempt"
		}
	}
	return ""
}

// scoreItem has a whole text scored and hands it to be listed.
func (job *job) scoreItem(each *item) {
	job.mutex.Lock()
	if each.state != itemRunning {
		job.mutex.Unlock()
		return
	}
	each.state = itemScoring
	each.account.enter(phaseScoring, time.Now())
	job.lengths.Observe(each.cost, len(each.text))
	result := batch.Result{Item: each.index, Outcome: batch.Done, Text: bytes.Join(each.text, []byte("\n")), Versions: slices.Clone(each.versions)}
	job.mutex.Unlock()
	job.runner.Kick()
	reason := ""
	if each.Reward != nil {
		score, err := job.reward(each)
		if job.context.Err() != nil {
			return
		}
		if err != nil {
			result, reason = batch.Result{Item: each.index, Outcome: batch.Dead}, err.Error()
		}
		result.Score = score
	}
	slices.Sort(result.Versions)
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if each.state == itemScoring {
		job.finish(each, result, reason)
	}
}
