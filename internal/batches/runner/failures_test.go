package runner

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/forward"
)

// Guards against an item that always fails and gets its attempts anew from each owner of its batch.
func TestTheNextOwnerGoesOnCountingFailures(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwnerOfTwo(ctx, t, log)
		j := markRunning(owner, 1)
		rt, ok := j.route()
		is.True(ok)
		failing := &attempt{routedItem: routedItem{job: j, item: j.items[0], route: rt}, number: 1}
		failing.route.MaxAttempts = 3
		failing.handleFailure(&forward.StatusError{Status: http.StatusInternalServerError})
		is.Equal(j.items[0].state, itemWaiting)
		j.recordFailures(j.items[1]) // of none, which changes nothing
		is.Equal(j.countRewardFailure(j.items[1]), 1)
		j.recordFailures(j.items[1])
		owner.Release(ctx)
		next := newOwner(ctx, t, log, "b/1")
		is.NoErr(next.TakeOver(ctx, "x", ""))
		synctest.Wait()
		items := next.jobList()[0].items
		is.Equal(items[0].failures, batch.Failures{Item: 1})
		is.Equal(items[1].failures, batch.Failures{Reward: 1})
	})
}

// An item goes on if its failure can't be recorded: the journal may be away for long.
func TestAFailureThatIsNotRecordedHoldsNoItem(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwnerOfTwo(ctx, t, log)
		j := markRunning(owner, 1)
		rt, _ := j.route()
		refuse(log, journaltest.Append)
		rt.MaxAttempts = 3
		failing := &attempt{routedItem: routedItem{job: j, item: j.items[0], route: rt}, number: 1}
		failing.handleFailure(&forward.StatusError{Status: http.StatusInternalServerError})
		is.Equal(j.items[0].state, itemWaiting)
		is.Equal(j.items[0].failures.Item, 1)
	})
}
