package admission

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/replicas/replica"
)

// entered is the result of one call of Enter and the time it took.
type entered struct {
	ticket *Ticket
	err    error
	after  time.Duration
}

// enter calls Enter for a request of a tenant that waits at most for the time span, and sends
// the result on the returned channel.
func (d *daemon) enter(ctx context.Context, clock func() time.Time, tenant string, span time.Duration) <-chan entered {
	results := make(chan entered, 1)
	began := clock()
	go func() {
		ticket, err := d.controller.Enter(ctx, Request{ID: "q", Service: "s", Tenant: tenant, TimeLeft: func() time.Duration { return span - clock().Sub(began) }})
		results <- entered{ticket, err, clock().Sub(began)}
	}()
	synctest.Wait()
	return results
}

// fill makes a daemon detect that its service is full and spends its credit.
func (d *daemon) fill(t *testing.T) {
	t.Helper()
	ticket, err := d.controller.Enter(t.Context(), Request{Service: "s", TimeLeft: func() time.Duration { return far }})
	if err != nil {
		t.Fatal(err)
	}
	ticket.Done(Declined{})
	if _, err = d.controller.Enter(t.Context(), Request{Service: "s", TimeLeft: func() time.Duration { return far }}); err != nil {
		t.Fatal(err)
	}
}

func inBubble(t *testing.T, test func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := clocktest.New()
		d := newDaemon(newService(0, false), replayDaemons, zap.NewNop())
		d.controller.Clock = clock.Now
		test(t, is.New(t), d, clock)
	})
}

func TestRequestWaitsAtFullService(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		got := <-d.enter(t.Context(), clock.Now, "a", far)
		is.NoErr(got.err)
		is.True(got.after > 0)
		is.Equal(d.controller.Count().Waiting, 0)
		is.Equal(d.controller.Count().FullServices, 1)
	})
}

func TestRequestWithoutTimeIsRefusedImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		got := <-d.enter(t.Context(), clock.Now, "a", 60*time.Millisecond)
		var refused *RefusedError
		is.True(errors.As(got.err, &refused))
		is.Equal(refused.Reason, NoTurnInTime)
		is.Equal(got.after, time.Duration(0))
		is.True(refused.RetryAfter <= 20*time.Millisecond) // a third of its remaining time
	})
}

// Requests beyond maxWaiting are refused.
func TestQueueIsBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		ctx, cancel := context.WithCancel(t.Context())
		var results []<-chan entered
		for range maxWaiting + 3 {
			results = append(results, d.enter(ctx, clock.Now, "a", far))
		}
		is.Equal(d.controller.Count().Waiting, maxWaiting)
		refused := 0
		cancel()
		for _, each := range results {
			var why *RefusedError
			if errors.As((<-each).err, &why) && why.Reason == QueueFull {
				refused++
			}
		}
		is.Equal(refused, 3)
	})
}

func TestCancelledRequestsLeaveTheQueue(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		ctx, cancel := context.WithCancel(t.Context())
		gone, next := d.enter(ctx, clock.Now, "a", far), d.enter(t.Context(), clock.Now, "b", far)
		is.Equal(d.controller.Count().Waiting, 2)
		cancel()
		got := <-gone
		is.True(got.ticket == nil && got.err != nil)
		is.Equal(got.after, time.Duration(0))
		is.NoErr((<-next).err)
		is.Equal(d.controller.Count().Waiting, 0)
	})
}

// Without known replicas, waiting and new requests are admitted: the attempts determine the
// outcome.
func TestRequestsAreAdmittedWithoutKnownReplicas(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		var results []<-chan entered
		for range 20 {
			results = append(results, d.enter(t.Context(), clock.Now, "a", far))
		}
		d.table.Replace(nil)
		time.Sleep(2 * time.Second) // the table keeps removed replicas for a while
		for _, each := range results {
			is.NoErr((<-each).err)
		}
		got := <-d.enter(t.Context(), clock.Now, "a", far)
		is.NoErr(got.err)
		is.Equal(got.after, time.Duration(0))
	})
}

// After a suspension, waiting requests whose deadline has passed are refused, and the others run.
func TestQueueAfterSuspension(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		short, long := d.enter(t.Context(), clock.Now, "a", 2*time.Second), d.enter(t.Context(), clock.Now, "b", far)
		clock.Suspend(10 * time.Second)
		got := <-short
		var refused *RefusedError
		is.True(errors.As(got.err, &refused))
		is.Equal(refused.RetryAfter, time.Duration(0)) // no time left to wait
		is.NoErr((<-long).err)
	})
}

// The start rate follows a change of the number of slots at once.
func TestStartRateFollowsSlots(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		before := d.controller.gate("s").rate.perSecond
		for i := range 30 {
			d.table.Set(replica.Entry{ID: fmt.Sprint("more", i), Service: "s", Slots: 60})
		}
		ticket := (<-d.enter(t.Context(), clock.Now, "a", far)).ticket
		ticket.Done(Answered{Took: 20 * time.Millisecond})
		is.True(d.controller.gate("s").rate.perSecond > 2*before)
	})
}

// At a full service, further attempts are limited to about one for each admitted request.
func TestFurtherAttemptsAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		further, admitted := 0, 0
		for began := time.Now(); time.Since(began) < 2*time.Second; admitted++ {
			got := <-d.enter(t.Context(), clock.Now, "a", far)
			is.NoErr(got.err)
			for range 4 {
				if got.ticket.MayRetry() {
					further++
				}
			}
			got.ticket.Done(Declined{})
		}
		is.True(admitted > 2)
		is.True(further <= admitted+3*minRetriesPerSecond+2) // plus the minimum rate and the initial tokens
	})
}

// Each request that waited or was refused logs exactly one line with the inputs of the decision.
func TestOneLogLinePerQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logged := observer.New(zapcore.InfoLevel)
		d := newDaemon(newService(0, false), replayDaemons, zap.New(core))
		d.fill(t)
		is.NoErr((<-d.enter(t.Context(), time.Now, "a", far)).err)
		is.True((<-d.enter(t.Context(), time.Now, "a", time.Millisecond)).err != nil)
		lines := logged.FilterMessage("admission").All()
		is.Equal(len(lines), 2)
		for i, outcome := range []string{outcomeStarted, outcomeRefused} {
			fields := lines[i].ContextMap()
			is.Equal(fields["outcome"], outcome)
			for _, key := range []string{"request", "service", "tenant", "rank", "queue", "places", "drain", "waited", "left", "full_age", "come_back"} {
				_, there := fields[key]
				is.True(there)
			}
		}
		is.Equal(logged.FilterMessage("service full").Len(), 1)
	})
}
