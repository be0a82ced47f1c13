package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/membership/duty"
)

// clockOffsets are how far a predecessor's clock is ahead of this daemon's.
var clockOffsets = map[string]time.Duration{"behind": -5 * time.Minute, "right": 0, "ahead": 5 * time.Minute}

// recordPredecessorOrders records orders for six replicas in each zone, as a predecessor with
// the given clock offset does just before it ends.
func (s *fixture) recordPredecessorOrders(ctx context.Context, is *is.I, clockOffset time.Duration) {
	is.Helper()
	m := NewManager(Deps{Journal: s.log, Lease: s, Driver: s}, zap.NewNop())
	for _, zone := range []string{"a", "b", "c"} {
		is.NoErr(m.recordOrder(ctx, orderRecord{Service: "s", Zone: zone, Desired: 6, AtMs: time.Now().Add(clockOffset).UnixMilli()}))
	}
}

// withPredecessors runs a test on a successor of such a predecessor, once for each clock offset.
func withPredecessors(t *testing.T, run func(is *is.I, s *fixture)) {
	t.Helper()
	for name, clockOffset := range clockOffsets {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(is *is.I, ctx context.Context) {
				s := newFixture(240)
				s.recordPredecessorOrders(ctx, is, clockOffset)
				s.start(ctx, zap.NewNop())
				run(is, s)
			})
		})
	}
}

// Replicas just ordered by a predecessor must count as starting, whatever its clock: no further
// order is made, and no zone is taken to fail.
func TestSuccessorWaitsForOrderedReplicasDespiteClockOffset(t *testing.T) {
	withPredecessors(t, func(is *is.I, s *fixture) {
		is.Equal(Need(Input{Slots: 6, Loads: loadsOf(240)}), 18) // six in each zone
		time.Sleep(s.boot() + bootMargin - planInterval)
		is.Equal(s.placedOrders(), []duty.FleetOrder(nil))
	})
}

// Ordered replicas that never start must be replaced after the start time, whatever the clock of
// the daemon that ordered them.
func TestSuccessorReplacesMissingReplicasDespiteClockOffset(t *testing.T) {
	withPredecessors(t, func(is *is.I, s *fixture) {
		time.Sleep(s.boot() + bootMargin + renewInterval + planInterval)
		is.True(len(s.placedOrders()) > 0)
	})
}

// A lease that is lost and acquired repeatedly must not reset the age of the orders, or missing
// replicas would never be replaced.
func TestReadingOrdersAgainDoesNotRenewThem(t *testing.T) {
	withPredecessors(t, func(is *is.I, s *fixture) {
		end := time.Now().Add(s.boot() + bootMargin + renewInterval + planInterval)
		for time.Now().Before(end) {
			s.set(func() { s.held = true })
			time.Sleep(4 * planInterval)
			s.set(func() { s.held = false })
			time.Sleep(2 * planInterval)
		}
		s.set(func() { s.held = true })
		time.Sleep(2 * planInterval)
		is.True(len(s.placedOrders()) > 0)
	})
}

func (s *fixture) boot() time.Duration { return s.configuration().Services["s"].Scaling.StartupTime }
