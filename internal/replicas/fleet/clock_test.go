package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/membership/duty"
)

// clockOffsets are by how much a predecessor's time of day is ahead of this daemon's.
var clockOffsets = map[string]time.Duration{"behind": -5 * time.Minute, "right": 0, "ahead": 5 * time.Minute}

// recordPredecessorOrders notes orders for six replicas a zone, as a predecessor whose clock is off
// did just before it ended.
func (s *fixture) recordPredecessorOrders(ctx context.Context, is *is.I, clockError time.Duration) {
	is.Helper()
	m := NewManager(Deps{Journal: s.log, Lease: s, Driver: s}, zap.NewNop())
	for _, zone := range []string{"a", "b", "c"} {
		is.NoErr(m.recordOrder(ctx, orderRecord{Service: "s", Zone: zone, Desired: 6, AtMs: time.Now().Add(clockError).UnixMilli()}))
	}
}

// withPredecessors plays what follows as a daemon succeeds such a predecessor, for each error of its clock.
func withPredecessors(t *testing.T, play func(is *is.I, s *fixture)) {
	t.Helper()
	for name, clockError := range clockOffsets {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(is *is.I, ctx context.Context) {
				s := newFixture(240)
				s.recordPredecessorOrders(ctx, is, clockError)
				s.start(ctx, zap.NewNop())
				play(is, s)
			})
		})
	}
}

// Replicas that a predecessor has just ordered are on their way, whatever its time of day:
// no zone is asked for more, and none is taken for one that brings up nothing.
func TestASuccessorWaitsForWhatWasOrderedWhateverTheClock(t *testing.T) {
	withPredecessors(t, func(is *is.I, s *fixture) {
		is.Equal(Need(Input{Slots: 6, Loads: loadsOf(240)}), 18) // six in each zone
		time.Sleep(s.boot() + bootMargin - planInterval)
		is.Equal(s.placedOrders(), []duty.Fleet(nil))
	})
}

// Replicas that never come are missed after the time that they take to start, whatever
// the time of day of the daemon that ordered them.
func TestASuccessorMissesWhatNeverComesWhateverTheClock(t *testing.T) {
	withPredecessors(t, func(is *is.I, s *fixture) {
		time.Sleep(s.boot() + bootMargin + renewInterval + planInterval)
		is.True(len(s.placedOrders()) > 0)
	})
}

// A holder whose lease lapses again and again reads the same orders each time; they
// do not become new by that.
func TestOrdersDoNotBecomeNewWithEachReading(t *testing.T) {
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

func (s *fixture) boot() time.Duration { return s.configuration().Services["s"].Scaling.Boot }
