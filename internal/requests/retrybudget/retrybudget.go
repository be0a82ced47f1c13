// Package retrybudget bounds retries to a share of first tries, so that
// retries cannot multiply an overload.
package retrybudget

import (
	"sync"
	"time"
)

// maxSaved is how many retries may be saved up, in seconds' worth of the
// minimum plus this constant.
const maxSaved = 50

// Budget is a token bucket that first tries fill. It is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	filled time.Time
}

// FirstTry notes a request's first try, which earns percent/100 of a retry.
func (budget *Budget) FirstTry(percent int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.tokens = min(budget.tokens+float64(percent)/100, maxSaved)
}

// TryRetry reports whether a retry is allowed now, and spends it if so.
// At least minimum retries a second are allowed.
func (budget *Budget) TryRetry(now time.Time, minimum int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.filled.IsZero() {
		budget.filled = now
		budget.tokens += float64(minimum)
	}
	elapsed := max(now.Sub(budget.filled).Seconds(), 0)
	budget.filled = now
	budget.tokens = min(budget.tokens+elapsed*float64(minimum), maxSaved+float64(minimum))
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
