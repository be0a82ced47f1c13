package results

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A share that rises gives nothing up of what was saved, also where several questions bring the
// budget up to date at the same time: one whose moment is a little older than the last one's
// takes the rise for a fall, and throws all away.
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
	budget.adjust(now.Add(4*time.Second - time.Microsecond)) // a question that looked at its clock before
	left := budget.limiter.TokensAt(now.Add(4 * time.Second))
	t.Logf("saved %.0f bytes, left %.0f", saved, left)
	is.True(left > saved/2)
}

// The same with real questions: many at a time look whether the budget allows their read.
func TestConcurrentAdjustKeepsSavedTokens(t *testing.T) {
	budget := newReadBudget(80e6, func() int { return 84 })
	budget.mu.Lock()
	budget.bandwidth.fraction = 0.25
	budget.mu.Unlock()
	budget.adjust(time.Now())
	time.Sleep(time.Second)
	drained := 0
	var looking sync.WaitGroup
	var mu sync.Mutex
	for range 8 {
		looking.Go(func() {
			before := budget.available()
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Microsecond) {
				budget.adjust(time.Now())
				left := budget.available()
				mu.Lock()
				if left < before/2 && before > 10000 {
					drained++
				}
				mu.Unlock()
				before = left
			}
		})
	}
	looking.Wait()
	t.Logf("all saved up was thrown away at %d looks, %d bytes left, of some %d", drained, budget.available(), 428571)
	if drained > 0 {
		t.Fail()
	}
}

// A read that was given up as late halves what a daemon reads for questions, once for all that are
// late at the same time, and it comes back steadily.
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

// A daemon whose reads are late reads less for questions than its part of the grant.
func TestLateReadReducesBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := newReadBudget(80e6, func() int { return 84 })
		time.Sleep(budgetBurstTime)
		whole := budget.available()
		is.True(whole > 0)
		budget.noteLate()
		is.True(budget.recentlyLate())
		is.True(!budget.take(whole * 3 / 4))
		is.True(budget.take(whole / 4))
	})
}
