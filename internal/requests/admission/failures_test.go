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

// load has callers ask at a part of the capacity for a span. It returns the tally.
func load(part float64, span time.Duration, daemons []*daemon, admits bool) *tally {
	random, counted := rand.New(rand.NewPCG(3, 5)), &tally{}
	var all sync.WaitGroup
	for began := time.Now(); time.Since(began) < span; {
		time.Sleep(time.Duration(random.ExpFloat64() / (part * capacity) * float64(time.Second)))
		tenant, work, at := zipf(random), workOf(random), [2]int{random.IntN(len(daemons)), random.IntN(len(daemons))}
		counted.asked[tenant]++
		all.Go(func() { counted.call(daemons, tenant, work, at, admits) })
	}
	all.Wait()
	return counted
}

func fleetOf(s *service) []*daemon {
	daemons := make([]*daemon, replayDaemons)
	for i := range daemons {
		daemons[i] = newDaemon(s, replayDaemons, zap.NewNop())
	}
	return daemons
}

// One of three replicas works ten times as slowly: the others have room, and as many are served
// as without admission.
func TestAReplicaTurnsSlow(t *testing.T) {
	var served [2]float64
	for i, admits := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newService(24, false)
			daemons := fleetOf(s)
			load(0.2, 3*time.Second, daemons, admits)
			s.replicas["r0"].slow = 10
			counted := load(0.2, 5*time.Second, daemons, admits)
			t.Log(counted)
			served[i] = sum(counted.served[:])
		})
	}
	is.New(t).True(served[1] >= 0.99*served[0])
}

// Reports of load stop in the middle of a burst: fullness shows by declines and times.
func TestReportsOfLoadStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(24, true)
		daemons := fleetOf(s)
		load(0.3, 2*time.Second, daemons, true)
		load(3, time.Second, daemons, true)
		s.tells = false
		burst := load(3, 2*time.Second, daemons, true)
		t.Log(burst)
		is.True(burst.inTime() > 0.2) // a third could be served at best
		load(0.3, 5*time.Second, daemons, true)
		after := load(0.3, 3*time.Second, daemons, true)
		t.Log(after)
		is.True(sum(after.served[:]) == sum(after.asked[:]))
	})
}

// All places are taken by requests that never end: everyone is told so in its time, and all
// are served as before once they have ended.
func TestPlacesTakenForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(24, false)
		daemons := fleetOf(s)
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
		is.True(stuck.mostHeld <= replayDeadline)
		is.True(stuck.meanHeld() < replayAim)
		end()
		load(0.3, 5*time.Second, daemons, true)
		after := load(0.3, 3*time.Second, daemons, true)
		t.Log(after)
		is.True(sum(after.served[:]) == sum(after.asked[:]))
	})
}

// A daemon that has all the demand has nearly all of the places, whatever the number of daemons.
func TestOneDaemonHasAllTheDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(0, false)
		alone := fleetOf(s)[:1]
		load(0.3, 2*time.Second, alone, true)
		counted := load(2, 5*time.Second, alone, true)
		t.Log(counted)
		is.True(sum(counted.served[:]) > 0.35*sum(counted.asked[:])) // half could be served
	})
}
