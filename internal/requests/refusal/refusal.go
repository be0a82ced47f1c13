// Package refusal lists the reasons for which a request gets no whole answer: the status,
// whether the request may have run, and when its caller should come back. The client listener
// (ingress) and the product's own interface (gateway) take each reason from here, so that this
// list says why a caller got its 503 and its Retry-After.
//
// The package owns the list and the rule for the time to return; it relies on nothing. Who
// refuses decides that it does, and for what reason.
//
// # Usage
//
//	r.refuse(refusal.NoReplica, err.Error())
//	r.refuse(refusal.ServiceFull.In(drained), err.Error()) // a time known only in the case
package refusal

import (
	"net/http"
	"time"
)

// retryAfterDivisor is the part of the time left, one in so many, that a refused caller waits at most:
// another daemon may serve the request in the rest. Clients of the platform cap it likewise.
const retryAfterDivisor = 3

// Reason is why a request gets no whole answer. Reasons are values of this package.
type Reason struct {
	// Name is the outcome in metrics and logs at the client listener, the code of the problem
	// at /v1/.
	Name string
	// Status is the status of the answer.
	Status int
	// MayHaveRun says that the request may have run. Without it, it has not and never will.
	MayHaveRun bool
	// RetryAfter is when the caller should come back, 0 if that would not help or if it is
	// known only in the case (In).
	RetryAfter time.Duration
	// AllDaemons says that other daemons would refuse the request too, so that the time left
	// does not shorten RetryAfter.
	AllDaemons bool
}

// WithRetryAfter returns the reason with the time to return of one case.
func (r Reason) WithRetryAfter(retryAfter time.Duration) Reason {
	r.RetryAfter = retryAfter
	return r
}

// HasRetryAfter reports whether a client is told when to come back, though it be at once.
func (r Reason) HasRetryAfter() bool { return r.Status == http.StatusServiceUnavailable }

// RetryDelay returns when a caller that still waits for left should come back.
func (r Reason) RetryDelay(left time.Duration) time.Duration {
	if r.AllDaemons {
		return r.RetryAfter
	}
	return CapRetryAfter(r.RetryAfter, left)
}

// CapRetryAfter bounds a time to return by the part of the time left that a refused caller may wait.
func CapRetryAfter(retryAfter, left time.Duration) time.Duration {
	return min(retryAfter, max(left/retryAfterDivisor, 0))
}
