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

// entered is what became of one request at the gate.
type entered struct {
	ticket *Ticket
	err    error
	after  time.Duration
}

// enter has a request of a tenant with so much time enter, and tells in a channel how it went on.
func (d *daemon) enter(ctx context.Context, clock func() time.Time, tenant string, span time.Duration) <-chan entered {
	told := make(chan entered, 1)
	began := clock()
	go func() {
		ticket, err := d.controller.Enter(ctx, Request{ID: "q", Service: "s", Tenant: tenant, TimeLeft: func() time.Duration { return span - clock().Sub(began) }})
		told <- entered{ticket, err, clock().Sub(began)}
	}()
	synctest.Wait()
	return told
}

// fill has a daemon see that its service is full, and spend its credit.
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

func TestARequestWaitsForItsTurn(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		got := <-d.enter(t.Context(), clock.Now, "a", far)
		is.NoErr(got.err)
		is.True(got.after > 0)
		is.Equal(d.controller.Count().Waiting, 0)
		is.Equal(d.controller.Count().FullServices, 1)
	})
}

func TestARequestWithoutTimeIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		got := <-d.enter(t.Context(), clock.Now, "a", 60*time.Millisecond)
		var refused *RefusedError
		is.True(errors.As(got.err, &refused))
		is.Equal(refused.Reason, NoTurnInTime)
		is.Equal(got.after, time.Duration(0))
		is.True(refused.RetryAfter <= 20*time.Millisecond) // a third of its time
	})
}

// Many wait at most; those that come then are refused.
func TestTheQueueIsBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		ctx, cancel := context.WithCancel(t.Context())
		var told []<-chan entered
		for range maxWaiting + 3 {
			told = append(told, d.enter(ctx, clock.Now, "a", far))
		}
		is.Equal(d.controller.Count().Waiting, maxWaiting)
		refused := 0
		cancel()
		for _, each := range told {
			var why *RefusedError
			if errors.As((<-each).err, &why) && why.Reason == QueueFull {
				refused++
			}
		}
		is.Equal(refused, 3)
	})
}

func TestClientsThatLeaveAreLetGo(t *testing.T) {
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

// Beliefs of replicas go with them: what is sent then says what is certain.
func TestReplicasVanish(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		var told []<-chan entered
		for range 20 {
			told = append(told, d.enter(t.Context(), clock.Now, "a", far))
		}
		d.table.Replace(nil)
		time.Sleep(2 * time.Second) // they count as just removed for a while
		for _, each := range told {
			is.NoErr((<-each).err)
		}
		got := <-d.enter(t.Context(), clock.Now, "a", far)
		is.NoErr(got.err)
		is.Equal(got.after, time.Duration(0))
	})
}

// The requests of a daemon that slept are refused as it wakes if their time has passed, and
// run if not.
func TestADaemonIsSuspended(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		short, long := d.enter(t.Context(), clock.Now, "a", 2*time.Second), d.enter(t.Context(), clock.Now, "b", far)
		clock.Suspend(10 * time.Second)
		got := <-short
		var refused *RefusedError
		is.True(errors.As(got.err, &refused))
		is.Equal(refused.RetryAfter, time.Duration(0)) // it has no time left to wait in
		is.NoErr((<-long).err)
	})
}

// With fewer slots than before less starts, with more more, at once.
func TestTheSlotsChange(t *testing.T) {
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

// A full service is offered at most one more replica for each request in the long run.
func TestFurtherOffersAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, d *daemon, clock *clocktest.Clock) {
		d.fill(t)
		offers, starts := 0, 0
		for began := time.Now(); time.Since(began) < 2*time.Second; starts++ {
			got := <-d.enter(t.Context(), clock.Now, "a", far)
			is.NoErr(got.err)
			for range 4 {
				if got.ticket.MayRetry() {
					offers++
				}
			}
			got.ticket.Done(Declined{})
		}
		is.True(starts > 2)
		is.True(offers <= starts+3*minRetriesPerSecond+2) // and so many a second
	})
}

// Each request that waited or was refused has one line, with what decided it.
func TestOneLineForEachRequestThatWaited(t *testing.T) {
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
