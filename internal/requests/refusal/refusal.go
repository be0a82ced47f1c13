// Package refusal lists the reasons for which a request gets no complete answer, each with its
// status, whether the request may have run, and the delay after which the caller should retry. Both
// the client listener (ingress) and the product's own interface (gateway) use these reasons, so the
// list explains every 503 and Retry-After.
//
// The package owns the list and the rule that caps the delay. Its users decide when to refuse a
// request, and for which reason.
//
// # Usage
//
//	r.refuse(refusal.NoReplica, err.Error())
//	r.refuse(refusal.ServiceFull.WithRetryAfter(delay), err.Error()) // a delay computed for this request
package refusal

import (
	"net/http"
	"time"
)

// retryAfterDivisor caps the delay of a refused caller: the time left of the request divided by it.
// Another daemon may serve the request in the rest. Clients of the platform apply the same cap.
const retryAfterDivisor = 3

// Reason is a reason for which a request gets no complete answer. All reasons are variables of this
// package, or derived from them by WithRetryAfter.
type Reason struct {
	// Name is the outcome in metrics and logs at the client listener, and the code of the problem
	// at /v1/.
	Name   string
	Status int
	// MayHaveRun reports that the request may have run. If false, it has not run and never will.
	MayHaveRun bool
	// RetryAfter is the delay after which the caller should retry; 0 if a retry would not help, or
	// if the delay is computed for each request (WithRetryAfter).
	RetryAfter time.Duration
	// AllDaemons reports that other daemons would refuse the request too, so RetryAfter is not
	// capped by the time left.
	AllDaemons bool
}

// WithRetryAfter returns a copy of the reason with the given RetryAfter.
func (r Reason) WithRetryAfter(retryAfter time.Duration) Reason {
	r.RetryAfter = retryAfter
	return r
}

// HasRetryAfter reports whether the answer tells the client when to retry. The delay may be 0.
func (r Reason) HasRetryAfter() bool { return r.Status == http.StatusServiceUnavailable }

// RetryDelay returns the delay after which a caller should retry whose request has left remaining.
func (r Reason) RetryDelay(left time.Duration) time.Duration {
	if r.AllDaemons {
		return r.RetryAfter
	}
	return CapRetryAfter(r.RetryAfter, left)
}

// CapRetryAfter caps a delay at the fraction of the time left that a refused caller may wait.
func CapRetryAfter(retryAfter, left time.Duration) time.Duration {
	return min(retryAfter, max(left/retryAfterDivisor, 0))
}
