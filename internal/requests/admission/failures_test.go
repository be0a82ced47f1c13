package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// load sends requests at a fraction of the capacity for the time span and returns the tally.
func load(fraction float64, span time.Duration, daemons []*daemon, withAdmission bool) *tally {
	random, result := rand.New(rand.NewPCG(3, 5)), &tally{}
	var callers sync.WaitGroup
	for began := time.Now(); time.Since(began) < span; {
		time.Sleep(time.Duration(random.ExpFloat64() / (fraction * capacity) * float64(time.Second)))
		tenant, work, at := zipf(random), workOf(random), [2]int{random.IntN(len(daemons)), random.IntN(len(daemons))}
		result.requests[tenant]++
		callers.Go(func() { result.call(daemons, tenant, work, at, withAdmission) })
	}
	callers.Wait()
	return result
}

func newDaemons(s *service) []*daemon {
	daemons := make([]*daemon, replayDaemons)
	for i := range daemons {
		daemons[i] = newDaemon(s, replayDaemons, zap.NewNop())
	}
	return daemons
}

// One of three replicas becomes ten times slower. Admission must not reduce the number of requests
// served, since the other replicas have room.
func TestAdmissionWithOneSlowReplica(t *testing.T) {
	var served [2]float64
	for i, withAdmission := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newService(24, false)
			daemons := newDaemons(s)
			load(0.2, 3*time.Second, daemons, withAdmission)
			s.replicas["r0"].slowdown = 10
			result := load(0.2, 5*time.Second, daemons, withAdmission)
			t.Log(result)
			served[i] = sum(result.served[:])
		})
	}
	is.New(t).True(served[1] >= 0.99*served[0])
}

// Load reports stop during a burst: a full service must still be detected by declines and
// durations.
func TestFullServiceWithoutLoadReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(24, true)
		daemons := newDaemons(s)
		load(0.3, 2*time.Second, daemons, true)
		load(3, time.Second, daemons, true)
		s.reportsLoad = false
		burst := load(3, 2*time.Second, daemons, true)
		t.Log(burst)
		is.True(burst.inTime() > 0.2) // a third could be served at best
		load(0.3, 5*time.Second, daemons, true)
		after := load(0.3, 3*time.Second, daemons, true)
		t.Log(after)
		is.True(sum(after.served[:]) == sum(after.requests[:]))
	})
}

// All slots are taken by requests that never end: callers must be refused early, and be served
// again once the slots are free.
func TestSlotsTakenByRequestsThatNeverEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(24, false)
		daemons := newDaemons(s)
		ctx, end := context.WithCancel(t.Context())
		for _, each := range s.replicas {
			for range 6 + 24 {
				go each.run(ctx, far)
			}
		}
		synctest.Wait()
		stuck := load(0.5, 3*time.Second, daemons, true)
		t.Log(stuck)
		is.Equal(sum(stuck.served[:]), 0.0)
		is.True(stuck.maxWaitRefused <= replayDeadline)
		is.True(stuck.meanWaitRefused() < replayTarget)
		end()
		load(0.3, 5*time.Second, daemons, true)
		after := load(0.3, 3*time.Second, daemons, true)
		t.Log(after)
		is.True(sum(after.served[:]) == sum(after.requests[:]))
	})
}

// A daemon that receives all requests must get nearly all slots, whatever the number of daemons.
func TestOneDaemonWithAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(0, false)
		alone := newDaemons(s)[:1]
		load(0.3, 2*time.Second, alone, true)
		result := load(2, 5*time.Second, alone, true)
		t.Log(result)
		is.True(sum(result.served[:]) > 0.35*sum(result.requests[:])) // half could be served
	})
}
