package shutdown

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pgregory.net/rapid"
	"woodworks/internal/daemon/bootclock/clocktest"
)

// Whatever the grace, there is time to take requests, time to finish them and time to
// answer the rest, in this order and within the grace.
func TestAPlanFitsItsGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(time.Hour)).Draw(t, "grace"))
		plan := PlanOf(grace)
		if plan.AsEver <= 0 || plan.Drain <= plan.AsEver || plan.Interrupt <= plan.Drain || plan.Interrupt >= grace {
			t.Fatalf("plan %+v for %v", plan, grace)
		}
		if grace-plan.Interrupt > grace/6 {
			t.Fatalf("interrupts %v before the end of %v", grace-plan.Interrupt, grace)
		}
		if plan.Answer <= 0 || plan.Resign <= 0 || plan.Interrupt+plan.Answer+plan.Resign >= grace {
			t.Fatalf("no time to end: %+v for %v", plan, grace)
		}
	})
}

func TestOnlyLateRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stop := New()
		stop.SetClock(time.Now)
		_, bounded := stop.Left()
		is.True(!bounded)
		plan := stop.Begin(8 * time.Second)
		time.Sleep(plan.AsEver - time.Millisecond)
		_, bounded = stop.Left()
		is.True(!bounded)
		time.Sleep(time.Millisecond)
		left, bounded := stop.Left()
		is.True(bounded)
		is.Equal(left, plan.Interrupt-plan.AsEver)
		is.Equal(stop.Begin(time.Second), plan)
	})
}

// The platform goes on counting a stop's grace while the machine is suspended.
func TestAStopsTimePassesInASuspension(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	stop := New()
	stop.SetClock(clock.Now)
	plan := stop.Begin(8 * time.Second)
	clock.Suspend(plan.Interrupt)
	left, bounded := stop.Left()
	is.True(bounded)
	is.True(left <= 0)
}

// A caller that leaves is told apart from a stop that ends, whichever comes first.
func TestAnInterruptionIsToldFromACallerThatLeft(t *testing.T) {
	is := is.New(t)
	stop := New()
	stop.SetClock(time.Now)
	caller, leave := context.WithCancel(context.Background())
	left, release := stop.Bound(caller)
	defer release()
	waiting, release := stop.Bound(context.Background())
	defer release()
	leave()
	<-left.Done()
	stop.Interrupt()
	<-waiting.Done()
	is.True(!Interrupted(left))
	is.True(Interrupted(waiting))
	derived, cancel := context.WithTimeout(waiting, time.Hour)
	defer cancel()
	is.True(Interrupted(derived))
	is.True(!Interrupted(context.Background()))
}
