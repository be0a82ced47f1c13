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

// scheduledItems are the items of newOwner's batch as the scheduler gets them.
func scheduledItems(owner *Runner) []scheduling.Item { return owner.views(time.Now())["s"].Items }

// An item whose first event takes longer than is usual is told to be silent, until its
// run brings one.
func TestTheSchedulerHearsOfOverdueFirstEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		owner := newOwnerOfTwo(ctx, t, journaltest.New())
		begun := running(owner, 1)
		begun.items[0].startedAt = time.Now()
		for range 100 {
			owner.firstEvents.Observe("s", 20*time.Millisecond)
		}
		usual := owner.firstEvents.OverdueAfter("s")
		is.True(usual < scheduling.MaxFirstEventTimeout)
		time.Sleep(usual)
		is.Equal(scheduledItems(owner)[0].Overdue, time.Duration(0))
		time.Sleep(time.Second)
		is.Equal(scheduledItems(owner)[0].Overdue, time.Second)
		first := attemptOf(begun, 0)
		first.route = &route.Route{Shares: []route.Share{{Service: "s", Weight: 1}}}
		first.noteFirstEvent()
		is.Equal(scheduledItems(owner)[0].Overdue, time.Duration(0))
	})
}

// Only items that were never begun may be deferred for their step's sake.
func TestItemsThatFailedAreNotHeldBack(t *testing.T) {
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
