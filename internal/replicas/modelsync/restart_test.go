package modelsync

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
)

// reporting is an engine that says what it is told to, and fails the test at an order.
type reporting struct {
	t      *testing.T
	report engine.Report
}

func (r *reporting) Report(context.Context, replica.Replica) (engine.Report, error) {
	return r.report, nil
}

func (r *reporting) SubmitOrder(context.Context, replica.Replica, engine.Order) error {
	r.t.Error("order given")
	return nil
}

var firstBorn = time.UnixMilli(1_764_700_000_000)

func startOf(seconds int, version int64) replica.Entry {
	return replica.Entry{ID: "e", Service: "s", Slots: 4, StartedAt: firstBorn.Add(time.Duration(seconds) * time.Second), Versions: map[string]int64{"m": version}}
}

// The versions and the count of orders that an engine reports were taken for those of the
// start that was listed: one that had come back empty counted as changed.
func TestAReportOfAnotherStartChangesNothing(t *testing.T) {
	is := is.New(t)
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Set(startOf(0, 4))
	driver := &reporting{t: t, report: engine.Report{StartedAt: startOf(1, 0).StartedAt, Versions: map[string]int64{"m": 1}}}
	syncer := New(Parts{Holder: "d", Driver: driver, Table: table, Demands: demand.NewState(zap.NewNop()), EventTime: speedUnknown}, zap.NewNop())
	due := change{replica: table.Replicas("s")[0], model: "m", version: 5}
	is.True(errors.Is(syncer.changeWeights(t.Context(), due), errStartedAgain))
	now := table.Replicas("s")[0]
	is.Equal(now.Incarnation(), startOf(1, 0).Incarnation())
	is.Equal(now.Versions["m"], int64(0)) // to be changed, as nothing is known of it
	driver.report = engine.Report{StartedAt: startOf(0, 4).StartedAt, Versions: map[string]int64{"m": 9}}
	due.replica = now
	is.True(errors.Is(syncer.changeWeights(t.Context(), due), errStartedAgain)) // a late answer of before
	is.Equal(table.Replicas("s")[0].Versions["m"], int64(0))
}

// A start that comes back is not left alone for the failures of the one before, and the
// end of the change of that one ends none of its own.
func TestNotesBelongToOneStart(t *testing.T) {
	is := is.New(t)
	table := replica.NewTable(time.Second, zap.NewNop())
	driver := &reporting{t: t, report: engine.Report{StartedAt: startOf(1, 0).StartedAt}}
	syncer := New(Parts{Holder: "d", Driver: driver, Table: table, Demands: demand.NewState(zap.NewNop()), EventTime: speedUnknown}, zap.NewNop())
	now := time.Now()
	table.Set(startOf(0, 4))
	syncer.noteListed(table.Replicas("s"), now)
	before := syncer.notes["e"]
	before.model, before.loading = "m", true
	before.rest.Failed(changePauses, now)
	due := change{replica: table.Replicas("s")[0], model: "m", version: 5}
	table.Set(startOf(1, 1))
	syncer.noteListed(table.Replicas("s"), now)
	n := syncer.notes["e"]
	is.True(!n.loading)
	is.True(n.rest.Over(now))
	is.Equal(n.model, "m")
	n.loading = true
	syncer.loading = 2
	syncer.carryOut(t.Context(), due, before)
	is.True(n.loading)
	is.True(!before.loading)
	is.Equal(syncer.loading, 1)
}
