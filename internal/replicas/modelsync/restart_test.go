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

// fixedReporter is a driver that returns a fixed report and fails the test if it gets an order.
type fixedReporter struct {
	t      *testing.T
	report engine.Report
}

func (r *fixedReporter) Report(context.Context, replica.Replica) (engine.Report, error) {
	return r.report, nil
}

func (r *fixedReporter) SubmitOrder(context.Context, replica.Replica, engine.Order) error {
	r.t.Error("unexpected order")
	return nil
}

var firstStart = time.UnixMilli(1_764_700_000_000)

func entryStartedAt(seconds int, version int64) replica.Entry {
	return replica.Entry{ID: "e", Service: "s", Slots: 4, StartedAt: firstStart.Add(time.Duration(seconds) * time.Second), Versions: map[string]int64{"m": version}}
}

// Versions and order counts reported by one incarnation must not be taken for those of another:
// an engine that restarted empty counted as changed.
func TestReportOfAnotherIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Set(entryStartedAt(0, 4))
	driver := &fixedReporter{t: t, report: engine.Report{StartedAt: entryStartedAt(1, 0).StartedAt, Versions: map[string]int64{"m": 1}}}
	syncer := New(Deps{Holder: "d", Driver: driver, Table: table, Demands: demand.NewState(zap.NewNop()), EventTime: speedUnknown}, zap.NewNop())
	due := change{replica: table.Replicas("s")[0], model: "m", version: 5}
	is.True(errors.Is(syncer.changeWeights(t.Context(), due), errRestarted))
	now := table.Replicas("s")[0]
	is.Equal(now.Incarnation(), entryStartedAt(1, 0).Incarnation())
	is.Equal(now.Versions["m"], int64(0)) // due again, as its versions are unknown
	driver.report = engine.Report{StartedAt: entryStartedAt(0, 4).StartedAt, Versions: map[string]int64{"m": 9}}
	due.replica = now
	is.True(errors.Is(syncer.changeWeights(t.Context(), due), errRestarted)) // a late answer of the earlier incarnation
	is.Equal(table.Replicas("s")[0].Versions["m"], int64(0))
}

// A new incarnation must not inherit the backoff of the earlier one, and the end of the earlier
// one's change must not end its own.
func TestStateBelongsToOneIncarnation(t *testing.T) {
	is := is.New(t)
	table := replica.NewTable(time.Second, zap.NewNop())
	driver := &fixedReporter{t: t, report: engine.Report{StartedAt: entryStartedAt(1, 0).StartedAt}}
	syncer := New(Deps{Holder: "d", Driver: driver, Table: table, Demands: demand.NewState(zap.NewNop()), EventTime: speedUnknown}, zap.NewNop())
	now := time.Now()
	table.Set(entryStartedAt(0, 4))
	syncer.updateListed(table.Replicas("s"), now)
	earlier := syncer.engines["e"]
	earlier.assignedModel, earlier.loading = "m", true
	earlier.backoff.Failed(changeBackoff, now)
	due := change{replica: table.Replicas("s")[0], model: "m", version: 5}
	table.Set(entryStartedAt(1, 1))
	syncer.updateListed(table.Replicas("s"), now)
	later := syncer.engines["e"]
	is.True(!later.loading)
	is.True(later.backoff.Over(now))
	is.Equal(later.assignedModel, "m")
	later.loading = true
	syncer.loadsInProgress = 2
	syncer.runChange(t.Context(), due, earlier)
	is.True(later.loading)
	is.True(!earlier.loading)
	is.Equal(syncer.loadsInProgress, 1)
}
