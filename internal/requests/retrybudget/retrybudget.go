// Package retrybudget limits retries to a fraction of first attempts, so that retries can't
// multiply an overload. The caller records each first attempt and provides the rates.
//
// # Usage
//
//	budget.RecordFirstAttempt(20)                    // a hundred first attempts earn 20 retries
//	if budget.TryRetry(now, 5) { ... try again ... } // at least 5 per second are allowed
package retrybudget

import (
	"sync"
	"time"
)

// maxTokens bounds the saved retries, in addition to one second's worth of the minimum rate.
const maxTokens = 50

// Budget is a token bucket that is filled by first attempts and at a minimum rate. The zero Budget
// is ready to use. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// RecordFirstAttempt records the first attempt of a request, which earns percent/100 of a retry.
func (b *Budget) RecordFirstAttempt(percent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, maxTokens)
}

// TryRetry reports whether a retry is allowed now, and if so spends it. At least minimum retries
// per second are allowed.
func (b *Budget) TryRetry(now time.Time, minimum int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens += float64(minimum)
	}
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*float64(minimum), maxTokens+float64(minimum))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
