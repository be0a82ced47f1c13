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
	replayTarget   = 150 * time.Millisecond
	replayDeadline = 2 * time.Second
	replayDaemons  = 67
	replayTenants  = 88
	replaySpan     = 5 * time.Second
	// replayWarmup is the time before the burst, in which callers send warmupLoad of the
	// capacity.
	replayWarmup = 5 * time.Second
	warmupLoad   = 0.3
	// capacity is what the replicas can serve, in requests per second.
	capacity = 18 / 0.025
)

// tally counts the results that callers saw, by tenant.
type tally struct {
	mu                                        sync.Mutex
	requests, inTarget, served, inTargetRetry [replayTenants]int
	refusals                                  int
	// score is the sum over all requests: 1 for an answer within the target latency, less for an
	// answer that is late or that came within the target only after a refusal, and a deduction
	// for a second refusal.
	score                            float64
	totalWaitRefused, maxWaitRefused time.Duration
}

func sum(counts []int) float64 {
	total := 0
	for _, count := range counts {
		total += count
	}
	return float64(total)
}

// firstSmall is the index of the first small tenant: all but the eight largest are small.
const firstSmall = 8

func (t *tally) String() string {
	return fmt.Sprintf("score %.3f, requests %.0f, within target %.3f, within target on retry %.3f, served %.3f, small tenants within target %.3f, refusals %d after %v on average, %v at most",
		t.score/sum(t.requests[:]), sum(t.requests[:]), t.inTargetFraction(), sum(t.inTargetRetry[:])/sum(t.requests[:]), sum(t.served[:])/sum(t.requests[:]), t.smallTenantFraction(), t.refusals, t.meanWaitRefused().Round(time.Millisecond/10), t.maxWaitRefused.Round(time.Millisecond))
}

func (t *tally) inTargetFraction() float64 { return sum(t.inTarget[:]) / sum(t.requests[:]) }
func (t *tally) smallTenantFraction() float64 {
	return (sum(t.inTarget[firstSmall:]) + sum(t.inTargetRetry[firstSmall:])) / sum(t.requests[firstSmall:])
}
func (t *tally) meanWaitRefused() time.Duration {
	return t.totalWaitRefused / time.Duration(max(t.refusals, 1))
}

// zipf draws a tenant from a Zipf distribution; tenant 0 is the largest.
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

// call simulates one caller, which retries once after a refusal, at another random daemon.
func (t *tally) call(daemons []*daemon, tenant int, work time.Duration, daemonIndexes [2]int, withAdmission bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), replayDeadline)
	defer cancel()
	refusedEarly := true
	for try, which := range daemonIndexes {
		tried := time.Now()
		outcome, comeBack := daemons[which].answer(ctx, tenant, work, began, withAdmission)
		t.mu.Lock()
		took := time.Since(began)
		if _, answered := outcome.(Answered); answered {
			t.served[tenant]++
			switch {
			case took <= replayTarget:
				t.inTarget[tenant]++
				t.score++
			case time.Since(tried) <= replayTarget:
				t.inTargetRetry[tenant]++
				t.score += 0.25
				if refusedEarly {
					t.score += 0.375
				}
			default:
				t.score += 0.25
			}
			t.mu.Unlock()
			return
		}
		waited := time.Since(tried)
		t.refusals++
		t.totalWaitRefused += waited
		t.maxWaitRefused = max(t.maxWaitRefused, waited)
		refusedEarly = refusedEarly && waited <= replayTarget/4
		t.score -= 0.3 * float64(try)
		t.mu.Unlock()
		wait(ctx, comeBack)
		if ctx.Err() != nil {
			return
		}
	}
}

func (d *daemon) answer(ctx context.Context, tenant int, work time.Duration, began time.Time, withAdmission bool) (Outcome, time.Duration) {
	if !withAdmission {
		return d.send(ctx, work, func() bool { return true }), 250 * time.Millisecond
	}
	tried := time.Now()
	req := func() Request {
		return Request{ID: "q", Service: "s", Tenant: fmt.Sprint(tenant), TargetLatency: replayTarget, Age: time.Since(tried),
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

// replay simulates callers that send times as many requests as the replicas can serve.
func replay(times float64, queue int, reportsLoad, withAdmission bool) (*tally, *service) {
	random := rand.New(rand.NewPCG(11, 7))
	s := newService(queue, reportsLoad)
	var daemons []*daemon
	for range replayDaemons {
		daemons = append(daemons, newDaemon(s, replayDaemons, zap.NewNop()))
	}
	result := &tally{}
	var callers sync.WaitGroup
	burst := func(times float64, span time.Duration, result *tally) {
		for began := time.Now(); time.Since(began) < span; {
			time.Sleep(time.Duration(random.ExpFloat64() / (times * capacity) * float64(time.Second)))
			tenant, work, at := zipf(random), workOf(random), [2]int{random.IntN(replayDaemons), random.IntN(replayDaemons)}
			result.requests[tenant]++
			callers.Go(func() { result.call(daemons, tenant, work, at, withAdmission) })
		}
	}
	burst(warmupLoad, replayWarmup, &tally{})
	burst(times, replaySpan, result)
	callers.Wait()
	return result, s
}

// attempts returns the number of attempts that reached the replicas.
func (s *service) attempts() float64 {
	total := 0
	for _, each := range s.replicas {
		total += each.attempts
	}
	return float64(total)
}

// inTime returns the fraction of requests that were answered within the target latency at the
// first or second try.
func (t *tally) inTime() float64 {
	return (sum(t.inTarget[:]) + sum(t.inTargetRetry[:])) / sum(t.requests[:])
}

// A sustained burst of three times the capacity, without and with admission. The bounds leave room
// for chance, since replicas are picked at random.
func TestBurstWithAdmission(t *testing.T) {
	for _, c := range []struct {
		name          string
		queue         int
		reportsLoad   bool
		minSmallRatio float64
	}{{"full replicas decline", 0, false, 1.1}, {"full replicas queue", 24, false, 0.9}, {"full replicas queue and report load", 24, true, 0.9}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			without, attemptsWithout := runReplay(t, 3, c.queue, c.reportsLoad, false)
			with, attemptsWith := runReplay(t, 3, c.queue, c.reportsLoad, true)
			is.True(with.inTime() > 0.8*without.inTime())                                       // the slots are used about as well
			is.True(with.smallTenantFraction() > c.minSmallRatio*without.smallTenantFraction()) // small tenants get their share
			is.True(attemptsWith < attemptsWithout/3)                                           // retries do not multiply the overload
			is.True(with.meanWaitRefused() < replayTarget/4)                                    // callers are refused early
		})
	}
}

// Below capacity, admission must not delay or refuse requests that would be served without it.
func TestAdmissionBelowCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		queue       int
		reportsLoad bool
	}{{"full replicas decline", 0, false}, {"full replicas queue and report load", 24, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			without, _ := runReplay(t, 0.5, c.queue, c.reportsLoad, false)
			with, _ := runReplay(t, 0.5, c.queue, c.reportsLoad, true)
			is.True(with.inTime() > without.inTime()-0.01)
			is.True(sum(with.served[:]) >= sum(without.served[:])-1)
		})
	}
}

// runReplay runs replay in virtual time and returns its tally and the number of attempts.
func runReplay(t *testing.T, times float64, queue int, reportsLoad, withAdmission bool) (result *tally, attempts float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var s *service
		result, s = replay(times, queue, reportsLoad, withAdmission)
		attempts = s.attempts()
		t.Logf("admission %v: %v; attempts %.0f", withAdmission, result, attempts)
	})
	return result, attempts
}
