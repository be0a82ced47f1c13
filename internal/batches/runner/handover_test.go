package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/eventstream"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// newMovingJob returns a job whose item is being handed over from replica "from" to "to".
func newMovingJob(t *testing.T) (*job, *item) {
	t.Helper()
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Replace([]replica.Entry{{ID: "from", Service: "s", Slots: 4}, {ID: "to", Service: "s", Slots: 4}})
	j := &job{
		r:          &Runner{table: table},
		submission: &batch.Submission{},
		placement:  placement{groups: map[string]replica.Incarnation{}},
		logger:     zap.NewNop(),
	}
	j.ctx, j.cancel = context.WithCancel(t.Context())
	it := &item{state: itemRunning, attempt: 1, lastReplica: "from", cancel: func() {}, buffering: true}
	j.items = []*item{it}
	return j, it
}

// event returns the event with the given id.
func event(id int64) eventstream.Event {
	return eventstream.Event{ID: id, HasID: true, Data: []byte{byte('a' + id)}}
}

// attemptAt returns an attempt at a replica; with number 0 it is not yet the current one.
func attemptAt(replicaID string, j *job, it *item, number int, rt *route.Route) *attempt {
	return &attempt{
		routedItem: routedItem{job: j, item: it, route: rt},
		number:     number,
		replica:    replica.Replica{Entry: replica.Entry{ID: replicaID}},
	}
}

// currentAttempt returns an attempt at the replica that runs the item.
func currentAttempt(j *job, it *item, number int, rt *route.Route) *attempt {
	return attemptAt("from", j, it, number, rt)
}

// handOverAttempt returns an attempt at the replica that was asked to continue the item.
func handOverAttempt(j *job, it *item) *attempt { return attemptAt("to", j, it, 0, &route.Route{}) }

// Events that arrive during a hand-over are buffered: they are dropped if the other replica accepts
// the item and added if it declines.
func TestEventsAreBufferedDuringHandOver(t *testing.T) {
	is := is.New(t)
	rt := &route.Route{}
	for _, accepted := range []bool{true, false} {
		j, it := newMovingJob(t)
		it.buffering = false
		is.NoErr(currentAttempt(j, it, 1, rt).receive(event(1), 1))
		it.buffering = true
		is.NoErr(currentAttempt(j, it, 1, rt).receive(event(2), 1))
		is.NoErr(currentAttempt(j, it, 1, rt).receive(event(3), 1))
		is.Equal(it.lastEvent, int64(1))
		cause := errors.New("declined")
		if accepted {
			cause = nil
		}
		next := handOverAttempt(j, it)
		taken := next.replace(1, func() {}, 0, cause)
		is.Equal(taken, accepted)
		if !accepted {
			is.Equal(it.lastEvent, int64(3))
			is.NoErr(currentAttempt(j, it, 1, rt).receive(event(4), 1))
			continue
		}
		is.Equal(it.lastReplica, "to")
		is.True(errors.Is(currentAttempt(j, it, 1, rt).receive(event(4), 1), errHandedOver))
		is.NoErr(next.receive(event(2), 2))
		is.Equal(it.lastEvent, int64(2))
		is.Equal(it.versions, []int64{1, 2})
	}
}

// An attempt that ends during a hand-over keeps its events, and the attempt at the other replica
// does not become the current one.
func TestAttemptEndingDuringHandOverKeepsItsEvents(t *testing.T) {
	is := is.New(t)
	j, it := newMovingJob(t)
	it.state = itemListed // the outcome was handled elsewhere
	is.NoErr(currentAttempt(j, it, 1, &route.Route{}).receive(event(1), 1))
	currentAttempt(j, it, 1, &route.Route{}).handleOutcome(nil)
	is.Equal(it.lastEvent, int64(1))
	is.True(!handOverAttempt(j, it).replace(1, func() {}, 0, nil))
}

// A hand-over that is cancelled because its batch ended must not mark the replica as failed.
func TestEndOfBatchDuringHandOverIsNoReplicaFault(t *testing.T) {
	is := is.New(t)
	for _, ended := range []bool{true, false} {
		j, it := newMovingJob(t)
		if ended {
			j.cancel()
		}
		handOverAttempt(j, it).abandon(nil, context.Canceled)
		rep, _ := j.r.table.Get("to")
		is.Equal(rep.AvoidUntil.IsZero(), ended)
	}
}

// A single-version text must not be moved once it has events: an engine with other weights would
// start it over.
func TestSingleVersionTextIsPinned(t *testing.T) {
	is := is.New(t)
	j, it := newMovingJob(t)
	j.placement.lengths, it.buffering = scheduling.NewLengthEstimator(), false
	pinned := func(singleVersion bool) bool {
		return j.describe(it, &route.Route{SingleVersion: singleVersion}, 0, time.Now()).Pinned
	}
	is.True(!pinned(true))
	is.NoErr(currentAttempt(j, it, 1, &route.Route{SingleVersion: true}).receive(event(1), 1))
	is.True(pinned(true))
	is.True(!pinned(false))
}

// A hand-over that finds no free connection must make batches avoid the replica for retryDelay only:
// the replica was not asked.
func TestHandOverWithoutAConnectionAvoidsTheReplicaBriefly(t *testing.T) {
	is := is.New(t)
	j, it := newMovingJob(t)
	before := time.Now()
	handOverAttempt(j, it).abandon(nil, errors.Wrap(upstream.ErrPoolExhausted, "test"))
	rep, _ := j.r.table.Get("to")
	is.True(rep.AvoidUntil.After(before))
	is.True(!rep.AvoidUntil.After(time.Now().Add(retryDelay)))
}
