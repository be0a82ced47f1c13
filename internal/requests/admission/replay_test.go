package admission

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

const (
	replayAim      = 150 * time.Millisecond
	replayDeadline = 2 * time.Second
	replayDaemons  = 67
	replayTenants  = 88
	replaySpan     = 5 * time.Second
	// replayCalm comes before, at calmLoad of the capacity.
	replayCalm = 5 * time.Second
	calmLoad   = 0.3
	// capacity is what the replicas can serve, in requests a second.
	capacity = 18 / 0.025
)

// tally is what callers saw, by tenant.
type tally struct {
	mu                          sync.Mutex
	asked, inAim, served, again [replayTenants]int
	refusals                    int
	// worth counts 1 for an answer in aim, less for one that is late, or that came in aim
	// only after a refusal, and less than nothing for a caller that is refused twice.
	worth                 float64
	heldRefused, mostHeld time.Duration
}

func sum(counts []int) float64 {
	total := 0
	for _, count := range counts {
		total += count
	}
	return float64(total)
}

// small are the tenants that ask least: all but the eight largest.
const small = 8

func (t *tally) String() string {
	return fmt.Sprintf("worth %.3f, asked %.0f, in aim %.3f, in aim at the second try %.3f, served %.3f, small tenants in time %.3f, refusals %d held %v in the mean, %v at most",
		t.worth/sum(t.asked[:]), sum(t.asked[:]), t.inAimShare(), sum(t.again[:])/sum(t.asked[:]), sum(t.served[:])/sum(t.asked[:]), t.smallShare(), t.refusals, t.meanHeld().Round(time.Millisecond/10), t.mostHeld.Round(time.Millisecond))
}

func (t *tally) inAimShare() float64 { return sum(t.inAim[:]) / sum(t.asked[:]) }
func (t *tally) smallShare() float64 {
	return (sum(t.inAim[small:]) + sum(t.again[small:])) / sum(t.asked[small:])
}
func (t *tally) meanHeld() time.Duration {
	return t.heldRefused / time.Duration(max(t.refusals, 1))
}

// zipf returns a tenant, the first being the largest.
func zipf(random *rand.Rand) int {
	total := 0.0
	for i := range replayTenants {
		total += math.Pow(float64(i+1), -1.2)
	}
	drawn := random.Float64() * total
	for i := range replayTenants {
		if drawn -= math.Pow(float64(i+1), -1.2); drawn < 0 {
			return i
		}
	}
	return replayTenants - 1
}

// call is one caller: it comes back once after a refusal, to any daemon.
func (t *tally) call(daemons []*daemon, tenant int, work time.Duration, at [2]int, admits bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), replayDeadline)
	defer cancel()
	early := true
	for try, which := range at {
		tried := time.Now()
		outcome, comeBack := daemons[which].answer(ctx, tenant, work, began, admits)
		t.mu.Lock()
		took := time.Since(began)
		if _, answered := outcome.(Answered); answered {
			t.served[tenant]++
			switch {
			case took <= replayAim:
				t.inAim[tenant]++
				t.worth++
			case time.Since(tried) <= replayAim:
				t.again[tenant]++
				t.worth += 0.25
				if early {
					t.worth += 0.375
				}
			default:
				t.worth += 0.25
			}
			t.mu.Unlock()
			return
		}
		held := time.Since(tried)
		t.refusals++
		t.heldRefused += held
		t.mostHeld = max(t.mostHeld, held)
		early = early && held <= replayAim/4
		t.worth -= 0.3 * float64(try)
		t.mu.Unlock()
		wait(ctx, comeBack)
		if ctx.Err() != nil {
			return
		}
	}
}

func (d *daemon) answer(ctx context.Context, tenant int, work time.Duration, began time.Time, admits bool) (Outcome, time.Duration) {
	if !admits {
		return d.send(ctx, work, func() bool { return true }), 250 * time.Millisecond
	}
	tried := time.Now()
	req := func() Request {
		return Request{ID: "q", Service: "s", Tenant: fmt.Sprint(tenant), TargetLatency: replayAim, Age: time.Since(tried),
			TimeLeft: func() time.Duration { return replayDeadline - time.Since(began) - 25*time.Millisecond }}
	}
	for range 3 {
		ticket, err := d.controller.Enter(ctx, req())
		var refused *RefusedError
		if errors.As(err, &refused) {
			return Declined{}, refused.RetryAfter
		}
		outcome := d.send(ctx, work, ticket.MayRetry)
		ticket.Done(outcome)
		if _, declined := outcome.(Declined); !declined {
			return outcome, 0
		}
	}
	return Declined{}, d.controller.RefuseDeclined(req()).RetryAfter
}

// replay has many callers ask some times as much as the replicas can serve.
func replay(times float64, queue int, tells, admits bool) (*tally, *service) {
	random := rand.New(rand.NewPCG(11, 7))
	s := newService(queue, tells)
	var daemons []*daemon
	for range replayDaemons {
		daemons = append(daemons, newDaemon(s, replayDaemons, zap.NewNop()))
	}
	counted := &tally{}
	var all sync.WaitGroup
	burst := func(times float64, span time.Duration, counted *tally) {
		for began := time.Now(); time.Since(began) < span; {
			time.Sleep(time.Duration(random.ExpFloat64() / (times * capacity) * float64(time.Second)))
			tenant, work, at := zipf(random), workOf(random), [2]int{random.IntN(replayDaemons), random.IntN(replayDaemons)}
			counted.asked[tenant]++
			all.Go(func() { counted.call(daemons, tenant, work, at, admits) })
		}
	}
	burst(calmLoad, replayCalm, &tally{})
	burst(times, replaySpan, counted)
	all.Wait()
	return counted, s
}

// offers are how often the replicas were asked.
func (s *service) offers() float64 {
	req := 0
	for _, each := range s.replicas {
		req += each.asked
	}
	return float64(req)
}

// inTime is the part that was answered within its aim, at the first or the second try.
func (t *tally) inTime() float64 { return (sum(t.inAim[:]) + sum(t.again[:])) / sum(t.asked[:]) }

// The load that the package answers: three times what the replicas can serve, for seconds,
// without admission and with it. The bounds leave room for chance: replicas are picked at random.
func TestABurstIsServedAsWellFairlyAndWithFewerOffers(t *testing.T) {
	for _, c := range []struct {
		name      string
		queue     int
		tells     bool
		smallGain float64
	}{{"full replicas decline", 0, false, 1.1}, {"full replicas queue", 24, false, 0.9}, {"full replicas queue and tell", 24, true, 0.9}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, sentBefore := played(t, 3, c.queue, c.tells, false)
			after, sentAfter := played(t, 3, c.queue, c.tells, true)
			is.True(after.inTime() > 0.8*before.inTime())                 // the places are used as well
			is.True(after.smallShare() > c.smallGain*before.smallShare()) // small tenants have their part
			is.True(sentAfter < sentBefore/3)                             // the overload is not multiplied
			is.True(after.meanHeld() < replayAim/4)                       // callers hear early
		})
	}
}

// With room nothing waits, and nothing is refused that was served before.
func TestWithRoomNothingChanges(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue int
		tells bool
	}{{"full replicas decline", 0, false}, {"full replicas queue and tell", 24, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, _ := played(t, 0.5, c.queue, c.tells, false)
			after, _ := played(t, 0.5, c.queue, c.tells, true)
			is.True(after.inTime() > before.inTime()-0.01)
			is.True(sum(after.served[:]) >= sum(before.served[:])-1)
		})
	}
}

// played replays a load in virtual time, and says what came of it.
func played(t *testing.T, times float64, queue int, tells, admits bool) (counted *tally, offers float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var s *service
		counted, s = replay(times, queue, tells, admits)
		offers = s.offers()
		t.Logf("admission %v: %v; offers %.0f", admits, counted, offers)
	})
	return counted, offers
}
