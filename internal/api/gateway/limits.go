package gateway

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"sync"

	"woodworks/internal/api/policy"
	"woodworks/internal/callers/apikey"
	"woodworks/internal/requests/refusal"
)

// inFlight counts each caller's requests in this daemon.
type inFlight struct {
	mu     sync.Mutex
	counts map[string]int64
}

// enter counts a request in, unless the bound is reached; a bound of 0 is none.
func (f *inFlight) enter(name string, bound int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bound > 0 && f.counts[name] >= bound {
		return false
	}
	f.counts[name]++
	return true
}

func (f *inFlight) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]--
	if f.counts[name] == 0 {
		delete(f.counts, name)
	}
}

// classCounter names the count of a traffic class, apart from those of callers.
func classCounter(class string) string { return "class " + class }

// enterClass counts a request into its traffic class, or refuses it.
func (g *Gateway) enterClass(w http.ResponseWriter, class policy.Class) bool {
	if g.flights.enter(classCounter(class.Name), class.QueueLimit) {
		return true
	}
	refuse(w, refusal.V1QueueFull, fmt.Sprintf("traffic class %q has %d requests at this daemon, its bound", class.Name, class.QueueLimit))
	return false
}

// handler is a request handler that knows its caller.
type handler func(w http.ResponseWriter, r *http.Request, caller policy.Caller)

// checked wraps a handler with what every request passes: the key, the caller's
// audience and bound, and, for new work, a confirmed configuration.
func (g *Gateway) checked(audience policy.Audience, newWork bool, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := g.parts.Configuration(); !ok && audience == policy.Public {
			refuse(w, refusal.V1NoConfiguration, "this daemon knows no policies yet")
			return
		}
		caller, ok := g.authenticate(r, audience)
		if !ok || (caller.Audience == policy.Internal && audience == policy.Public) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, Problem{Code: "unauthorized", Message: "a valid bearer key is required"})
			return
		}
		if newWork && !g.mayTakeWork(w) {
			return
		}
		if !g.flights.enter(caller.Name, caller.MaxInFlight) {
			refuse(w, refusal.V1TooManyInFlight, fmt.Sprintf("caller %q has %d requests in flight, its bound", caller.Name, caller.MaxInFlight))
			return
		}
		defer g.flights.leave(caller.Name)
		r.Body = http.MaxBytesReader(w, r.Body, g.limits.MaxBodyBytes)
		next(w, r, caller)
	}
}

// authenticate finds the caller of a bearer key: in the policies, or, on the
// internal listener, among the operators of the settings.
func (g *Gateway) authenticate(r *http.Request, audience policy.Audience) (policy.Caller, bool) {
	key, sent := apikey.FromHeader(r.Header)
	if !sent {
		return policy.Caller{}, false
	}
	if configuration, ok := g.parts.Configuration(); ok {
		if caller, ok := configuration.Policies.CallerOf(key); ok {
			return caller, true
		}
	}
	if audience == policy.Public {
		return policy.Caller{}, false
	}
	digest := []byte(apikey.DigestOf(key).String())
	for _, operator := range g.limits.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(operator.KeySHA256)) == 1 {
			return policy.Caller{Name: operator.Name, Audience: policy.Internal, Operator: true}, true
		}
	}
	return policy.Caller{}, false
}

// mayTakeWork refuses new work while this daemon stops, or cannot confirm that
// its configuration is the newest.
func (g *Gateway) mayTakeWork(w http.ResponseWriter) bool {
	if g.stopping() {
		refuse(w, refusal.V1Stopping, "this daemon is being stopped; use another")
		return false
	}
	configuration, ok := g.parts.Configuration()
	if !ok || configuration.Age > g.limits.ConfirmBound {
		refuse(w, refusal.V1NotConfirmed, "this daemon cannot confirm that its configuration is the newest")
		return false
	}
	return true
}
