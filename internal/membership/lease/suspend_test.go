package lease

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// write appends a record by a holder on another machine.
func write(t *testing.T, log journal.Journal, kind recordKind) {
	t.Helper()
	encoded, err := cbor.Marshal(record{Kind: kind, Holder: "other/1", Machine: "other", Active: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), journal.Append{Partition: dutyPartition, Records: [][]byte{encoded}}); err != nil {
		t.Fatal(err)
	}
}

// count returns the number of acts.
func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acts)
}

// A holder whose machine was suspended for longer than its lease must not act after it resumes,
// as a successor may act by then.
func TestSuspendedHolderStopsActing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log, acts := journaltest.New(), &history{}
		holder := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(2 * time.Second)
		is.True(mayAct(holder))
		acted := acts.count()
		write(t, log, claimed)
		holder.clock.Suspend(Duration + safetyMargin + quietPeriod)
		is.True(!mayAct(holder))
		_, err := Do(ctx, holder.lease, time.Second, func(context.Context, int64) error { return nil })
		is.True(errors.Is(err, ErrNotHeld))
		time.Sleep(Duration)
		is.True(!holder.lease.Held())
		is.True(acts.count() <= acted+1) // one act may have been due when the machine was suspended
		holder.kill()
	})
}

// A candidate whose machine was suspended must read the partition again before it claims the
// lease, as the holder may have renewed the lease in the meantime.
func TestSuspendedCandidateReadsBeforeClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log, acts := journaltest.New(), &history{}
		write(t, log, claimed)
		candidate := startDaemon(ctx, log, "a", 1, acts, true)
		for range 20 {
			time.Sleep(renewInterval)
			write(t, log, renewed)
			candidate.clock.Suspend(Duration + safetyMargin + quietPeriod)
		}
		is.Equal(acts.count(), 0)
		is.True(!candidate.lease.Held())
		candidate.kill()
	})
}
