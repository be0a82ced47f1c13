// Package retrybudget bounds retries to a part of first tries, so that
// retries cannot multiply an overload. A Budget owns what is saved up, and relies on its
// user to note each first try; the user has the rates.
//
// # Usage
//
//	budget.FirstTry(20)                            // each hundred first tries earn 20 retries
//	if budget.TryRetry(now, 5) { ... try again ... } // 5 a second in any case
package retrybudget

import (
	"sync"
	"time"
)

// maxTokens is how many retries may be saved up, in seconds' worth of the
// minimum plus this constant.
const maxTokens = 50

// Budget is a token bucket that first tries fill. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// RecordFirstAttempt notes a request's first try, which earns percent/100 of a retry.
func (b *Budget) RecordFirstAttempt(percent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, maxTokens)
}

// TryRetry reports whether a retry is allowed now, and spends it if so.
// At least minimum retries a second are allowed.
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
