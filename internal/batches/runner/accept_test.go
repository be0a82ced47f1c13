package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal/journaltest"
)

// A batch whose caller has left, or whose time was up before its body was read, was kept
// all the same: its record was sent, its fate not awaited, and the batch run for nobody.
func TestAcceptWithCancelledContextCreatesNoBatch(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwner(ctx, t, log, "a/1")
		left, leave := context.WithCancel(ctx)
		leave()
		is.True(errors.Is(owner.Accept(left, &twoItems), ErrNotDone))
		time.Sleep(time.Second)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "")
	})
}

// A batch that is turned away by a stop has not been taken, and its caller learns why.
func TestStoppingRunnerRefusesBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		owner := newOwner(ctx, t, journaltest.New(), "a/1")
		owner.Release(ctx)
		err := owner.Accept(ctx, &twoItems)
		is.True(errors.Is(err, ErrStopping))
		is.True(errors.Is(err, ErrNotDone))
	})
}

// Where the pause after a refused append ended with the time for the answer, one more was begun and
// cut at once, and the answer said that the outcome is unknown.
func TestNoAppendStartsAfterTheDeadline(t *testing.T) {
	for range 32 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := journaltest.New()
			refusals := 0
			log.SetBefall(func(journaltest.Call) journaltest.Fault {
				refusals++
				return journaltest.Refuse
			})
			owner := newOwner(t.Context(), t, log, "a/1")
			bounded, cancel := context.WithTimeout(t.Context(), 3*journalRetryDelay)
			defer cancel()
			err := owner.appendWithRetry(bounded, owner.ledger.Of("x"), batch.Accepted(&twoItems, "a/1"))
			is.True(errors.Is(err, ErrNotDone))
			is.Equal(refusals, 3)
		})
	}
}

// An append that the time for the answer cuts may still be done.
func TestInterruptedAppendHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
		owner := newOwner(t.Context(), t, log, "a/1")
		bounded, cancel := context.WithTimeout(t.Context(), journalRetryDelay)
		defer cancel()
		err := owner.appendWithRetry(bounded, owner.ledger.Of("x"), batch.Accepted(&twoItems, "a/1"))
		is.True(errors.Is(err, ErrUnknown))
	})
}
