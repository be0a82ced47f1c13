package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/route"
)

// scheduledItems returns the items of newOwner's batch in the form that the scheduler gets.
func scheduledItems(owner *Runner) []scheduling.Item { return owner.views(time.Now())["s"].Items }

// An item whose first event is overdue is reported as such until the event arrives.
func TestOverdueFirstEventIsReportedToScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		owner := newOwnerOfTwo(ctx, t, journaltest.New())
		j := markRunning(owner, 1)
		j.items[0].startedAt = time.Now()
		for range 100 {
			owner.firstEventLatency.Observe("s", 20*time.Millisecond)
		}
		expected := owner.firstEventLatency.OverdueAfter("s")
		is.True(expected < scheduling.MaxFirstEventTimeout)
		time.Sleep(expected)
		is.Equal(scheduledItems(owner)[0].Overdue, time.Duration(0))
		time.Sleep(time.Second)
		is.Equal(scheduledItems(owner)[0].Overdue, time.Second)
		first := runningAttempt(j, 0)
		first.route = &route.Route{Shares: []route.Share{{Service: "s", Weight: 1}}}
		first.recordFirstEvent()
		is.Equal(scheduledItems(owner)[0].Overdue, time.Duration(0))
	})
}

// Only items that were never started may be deferred.
func TestFailedItemsAreNotDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		owner := newOwnerOfTwo(ctx, t, journaltest.New())
		owner.jobList()[0].items[0].attempt = 1
		time.Sleep(time.Second)
		items := scheduledItems(owner)
		is.Equal(items[0].MaxRemainingEvents, 0.0)
		is.True(items[1].MaxRemainingEvents > items[1].RemainingEvents)
		is.Equal(items[1].BatchAge, time.Second)
	})
}
