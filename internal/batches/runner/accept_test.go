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

// Accept must not create a batch if its caller has left or the deadline has passed.
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

// A batch refused because of a stop is reported as not taken, with the stop as the reason.
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

// No append may start at the deadline: it would be cut off at once and make the outcome unknown.
func TestNoAppendStartsAfterTheDeadline(t *testing.T) {
	for range 32 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := journaltest.New()
			refusals := 0
			log.SetFault(func(journaltest.Call) journaltest.Fault {
				refusals++
				return journaltest.Refuse
			})
			owner := newOwner(t.Context(), t, log, "a/1")
			bounded, cancel := context.WithTimeout(t.Context(), 3*journalRetryDelay)
			defer cancel()
			err := owner.appendWithRetry(bounded, owner.ledger.PartitionOf("x"), batch.Accepted(&twoItems, "a/1"))
			is.True(errors.Is(err, ErrNotDone))
			is.Equal(refusals, 3)
		})
	}
}

// An append interrupted by the deadline may still take effect.
func TestInterruptedAppendHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
		owner := newOwner(t.Context(), t, log, "a/1")
		bounded, cancel := context.WithTimeout(t.Context(), journalRetryDelay)
		defer cancel()
		err := owner.appendWithRetry(bounded, owner.ledger.PartitionOf("x"), batch.Accepted(&twoItems, "a/1"))
		is.True(errors.Is(err, ErrUnknown))
	})
}
