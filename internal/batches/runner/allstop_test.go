package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/replicas/replica"
)

// Guards against an accepted batch that nobody runs, as the daemon that accepted it and the owner that it
// chose stop together: all others stop too, and the daemon runs it on until one has started.
func TestABatchAcceptedAsAllStopIsRun(t *testing.T) {
	const (
		grace = 8 * time.Second
		delay = 300 * time.Millisecond
	)
	released := func(ctx context.Context, t *testing.T, log *journaltest.Journal) {
		t.Helper()
		partition := ledger.New(ctx, log, zap.NewNop()).PartitionOf("x")
		is.New(t).NoErr(partition.Append(ctx, batch.Released("x", "a/1", nil)))
	}
	for name, c := range map[string]struct {
		owner    string
		accepted func(ctx context.Context, t *testing.T, log *journaltest.Journal)
		// slow delays the append that accepts the batch beyond the beginning of the stop.
		slow time.Duration
	}{
		"the owner has ended":                  {"a/1", func(context.Context, *testing.T, *journaltest.Journal) {}, 0},
		"the owner releases it":                {"a/1", released, 0},
		"the owner has ended, slow acceptance": {"a/1", func(context.Context, *testing.T, *journaltest.Journal) {}, delay},
		"it is the owner, slow acceptance":     {"b/1", func(context.Context, *testing.T, *journaltest.Journal) {}, delay},
	} {
		t.Run(name, func(t *testing.T) {
			withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
				slow, group := &slowJournal{Journal: log}, &changingGroup{}
				slow.appends.Store(int64(c.slow))
				table := replica.NewTable(time.Second, zap.NewNop())
				table.Replace([]replica.Entry{{ID: "engine", Service: "s", Slots: 4}})
				accepter := newRunner(ctx, slow, "b/1", c.owner, operatorWithMaxQueue(t, time.Minute), table)
				group.others.Store(&[]string{})
				accepter.SetGroup(group)
				go func() { _ = accepter.Accept(ctx, &twoItems) }() // the outcome is read from the journal below
				time.Sleep(delay / 2)
				c.accepted(ctx, t, log)
				bounded, cancel := context.WithTimeout(ctx, grace)
				defer cancel()
				go accepter.Release(bounded)
				time.Sleep(5*delay + takeBackDelay)
				is.Equal(ownerInJournal(ctx, t, log, "x"), "b/1")
				is.Equal(startable(accepter), 2)
				group.others.Store(&[]string{"c/1"}) // one has started
				time.Sleep(2*successorInterval + delay)
				is.Equal(ownerInJournal(ctx, t, log, "x"), "")
				is.Equal(startable(accepter), 0)
			})
		})
	}
}
