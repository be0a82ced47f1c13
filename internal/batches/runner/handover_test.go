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
)

func movedJob(t *testing.T) (*job, *item) {
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

func event(id int64) eventstream.Event {
	return eventstream.Event{ID: id, HasID: true, Data: []byte{byte('a' + id)}}
}

// attemptAt is an attempt of an item at a replica, with number 0 one that does not count yet.
func attemptAt(replicaID string, j *job, it *item, number int, rt *route.Route) *attempt {
	return &attempt{
		routedItem: routedItem{job: j, item: it, route: rt},
		number:     number,
		replica:    replica.Replica{Entry: replica.Entry{ID: replicaID}},
	}
}

// tryOf is an attempt at the replica that an item is at.
func tryOf(j *job, it *item, number int, rt *route.Route) *attempt {
	return attemptAt("from", j, it, number, rt)
}

// nextTryOf is an attempt at another replica, which was asked to go on.
func nextTryOf(j *job, it *item) *attempt { return attemptAt("to", j, it, 0, &route.Route{}) }

// Events that come while another replica is asked are buffered: dropped if that one
// goes on after the last event before, and added if it does not.
func TestEventsAreHeldBackWhileAnotherReplicaIsAsked(t *testing.T) {
	is := is.New(t)
	rt := &route.Route{}
	for _, accepted := range []bool{true, false} {
		j, it := movedJob(t)
		it.buffering = false
		is.NoErr(tryOf(j, it, 1, rt).receive(event(1), 1))
		it.buffering = true
		is.NoErr(tryOf(j, it, 1, rt).receive(event(2), 1))
		is.NoErr(tryOf(j, it, 1, rt).receive(event(3), 1))
		is.Equal(it.lastEvent, int64(1))
		cause := errors.New("declined")
		if accepted {
			cause = nil
		}
		next := nextTryOf(j, it)
		taken := next.replace(1, func() {}, 0, cause)
		is.Equal(taken, accepted)
		if !accepted {
			is.Equal(it.lastEvent, int64(3))
			is.NoErr(tryOf(j, it, 1, rt).receive(event(4), 1))
			continue
		}
		is.Equal(it.lastReplica, "to")
		is.True(errors.Is(tryOf(j, it, 1, rt).receive(event(4), 1), errHandedOver))
		is.NoErr(next.receive(event(2), 2))
		is.Equal(it.lastEvent, int64(2))
		is.Equal(it.versions, []int64{1, 2})
	}
}

// A run that ended while another replica was asked keeps all its events, and that
// replica's exchange does not become the item's.
func TestARunThatEndsMeanwhileIsWhole(t *testing.T) {
	is := is.New(t)
	j, it := movedJob(t)
	it.state = itemListed // the outcome of the run is taken into account elsewhere
	is.NoErr(tryOf(j, it, 1, &route.Route{}).receive(event(1), 1))
	tryOf(j, it, 1, &route.Route{}).end(nil)
	is.Equal(it.lastEvent, int64(1))
	is.True(!nextTryOf(j, it).replace(1, func() {}, 0, nil))
}

// An exchange that is cut as the batch ends says nothing of its replica, which would
// otherwise be avoided for up to three seconds by the batches that go on.
func TestTheEndOfABatchIsNoFailureOfTheReplicaAsked(t *testing.T) {
	is := is.New(t)
	for _, ended := range []bool{true, false} {
		j, it := movedJob(t)
		if ended {
			j.cancel()
		}
		nextTryOf(j, it).abandon(nil, context.Canceled)
		rep, _ := j.r.table.Get("to")
		is.Equal(rep.AvoidUntil.IsZero(), ended)
	}
}

// A text that must be of one version is not moved once it has begun: another engine
// may hold other weights, and the text would begin anew.
func TestATextOfOneVersionStaysWhereItBegan(t *testing.T) {
	is := is.New(t)
	j, it := movedJob(t)
	j.placement.lengths, it.buffering = scheduling.NewLengthEstimator(), false
	fixed := func(single bool) bool {
		return j.describe(it, &route.Route{SingleVersion: single}, 0, time.Now()).Pinned
	}
	is.True(!fixed(true))
	is.NoErr(tryOf(j, it, 1, &route.Route{SingleVersion: true}).receive(event(1), 1))
	is.True(fixed(true))
	is.True(!fixed(false))
}
