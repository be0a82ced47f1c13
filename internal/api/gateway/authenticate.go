package gateway

import (
	"crypto/subtle"
	"fmt"
	"net/http"

	"woodworks/internal/api/policy"
	"woodworks/internal/callers/apikey"
	"woodworks/internal/requests/refusal"
)

// handler serves a request of an authenticated caller.
type handler func(w http.ResponseWriter, r *http.Request, caller policy.Caller)

// withChecks returns a handler that authenticates the caller, limits its requests in flight and the
// size of the request body, and then calls next. The public listener rejects callers of internal
// audience, and refuses all requests until a configuration is in force. If newWork is set, requests
// must also pass admitNewWork.
func (g *Gateway) withChecks(audience policy.Audience, newWork bool, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := g.deps.Configuration(); !ok && audience == policy.Public {
			refuse(w, refusal.V1NoConfiguration, "this daemon knows no policies yet")
			return
		}
		caller, ok := g.authenticate(r, audience)
		if !ok || (caller.Audience == policy.Internal && audience == policy.Public) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, Problem{status: http.StatusUnauthorized,
				Code: "unauthorized", Message: "a valid bearer key is required"})
			return
		}
		if newWork && !g.admitNewWork(w) {
			return
		}
		if !g.inFlight.acquire(caller.Name, caller.MaxInFlight) {
			refuse(w, refusal.V1TooManyInFlight,
				fmt.Sprintf("caller %q has %d requests in flight, its bound", caller.Name, caller.MaxInFlight))
			return
		}
		defer g.inFlight.release(caller.Name)
		r.Body = http.MaxBytesReader(w, r.Body, g.limits.MaxBodyBytes)
		next(w, r, caller)
	}
}

// authenticate returns the caller that owns the bearer key of a request, or false if there is none.
// Callers are those of the policies and, on the internal listener, also the operators of the
// settings, who can call without a configuration.
func (g *Gateway) authenticate(r *http.Request, audience policy.Audience) (policy.Caller, bool) {
	key, sent := apikey.FromHeader(r.Header)
	if !sent {
		return policy.Caller{}, false
	}
	if configuration, ok := g.deps.Configuration(); ok {
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

// operatorOnly returns a handler that answers 403 to callers that are not operators.
func (g *Gateway) operatorOnly(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
		if !caller.Operator {
			writeProblem(w, Problem{status: http.StatusForbidden,
				Code: "operators_only", Message: "caller is not an operator"})
			return
		}
		next(w, r, caller)
	}
}

// admitNewWork reports whether this daemon accepts new work. It writes a refusal and returns false
// while the daemon is stopping, or if its configuration was last confirmed longer ago than
// MaxConfirmationAge.
func (g *Gateway) admitNewWork(w http.ResponseWriter) bool {
	if g.stopping() {
		refuse(w, refusal.V1Stopping, "this daemon is being stopped; use another")
		return false
	}
	configuration, ok := g.deps.Configuration()
	if !ok || configuration.Age > g.limits.MaxConfirmationAge {
		refuse(w, refusal.V1ConfigurationNotConfirmed, "this daemon cannot confirm that its configuration is the newest")
		return false
	}
	return true
}
