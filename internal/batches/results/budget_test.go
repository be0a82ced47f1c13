package results

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a rising fraction discarding the accumulated budget when adjust is called with a
// slightly older time than before.
func TestRisingFractionKeepsSavedTokens(t *testing.T) {
	is := is.New(t)
	budget := newReadBudget(80e6, func() int { return 84 })
	now := time.Now()
	budget.mu.Lock()
	budget.bandwidth.fraction = 0.5
	budget.mu.Unlock()
	budget.adjust(now)
	budget.adjust(now.Add(4 * time.Second))
	saved := budget.limiter.TokensAt(now.Add(4 * time.Second))
	is.True(saved > 500e3)
	budget.adjust(now.Add(4*time.Second - time.Microsecond)) // a query that read its clock earlier
	left := budget.limiter.TokensAt(now.Add(4 * time.Second))
	t.Logf("saved %.0f bytes, left %.0f", saved, left)
	is.True(left > saved/2)
}

// Guards against concurrent queries discarding the accumulated budget while the fraction rises.
func TestConcurrentAdjustKeepsSavedTokens(t *testing.T) {
	budget := newReadBudget(80e6, func() int { return 84 })
	budget.mu.Lock()
	budget.bandwidth.fraction = 0.25
	budget.mu.Unlock()
	budget.adjust(time.Now())
	time.Sleep(time.Second)
	discards := 0
	var adjusting sync.WaitGroup
	var mu sync.Mutex
	for range 8 {
		adjusting.Go(func() {
			before := budget.available()
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Microsecond) {
				budget.adjust(time.Now())
				left := budget.available()
				mu.Lock()
				if left < before/2 && before > 10000 {
					discards++
				}
				mu.Unlock()
				before = left
			}
		})
	}
	adjusting.Wait()
	t.Logf("accumulated budget discarded %d times, %d bytes left of about %d", discards, budget.available(), 428571)
	if discards > 0 {
		t.Fail()
	}
}

// Several reads that are late at the same time halve the fraction once, and it recovers steadily.
func TestLateReadHalvesFraction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBandwidthFraction(time.Now())
		is.Equal(s.current(time.Now()), 1.0)
		is.True(!s.recentlyLate(time.Now()))
		s.noteLate(time.Now())
		s.noteLate(time.Now())
		is.Equal(s.current(time.Now()), 0.5)
		is.True(s.recentlyLate(time.Now()))
		for range 20 {
			time.Sleep(minHalvingInterval)
			s.noteLate(time.Now())
		}
		is.True(s.current(time.Now()) < 3*minHalvingInterval.Seconds()/recoveryTime.Seconds())
		time.Sleep(recoveryTime)
		is.Equal(s.current(time.Now()), 1.0)
		is.True(!s.recentlyLate(time.Now()))
	})
}

// A late read reduces a daemon's budget below its part of the grant.
func TestLateReadReducesBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := newReadBudget(80e6, func() int { return 84 })
		time.Sleep(budgetBurstTime)
		full := budget.available()
		is.True(full > 0)
		budget.noteLate()
		is.True(budget.recentlyLate())
		is.True(!budget.take(full * 3 / 4))
		is.True(budget.take(full / 4))
	})
}
