// Package ingress serves the requests of clients: it finds the route of each request, and
// forwards the request, accepts it as a batch, or refuses it with a status that tells whether it
// may have run.
//
// The package owns a client's request from its arrival to its final answer: its timeout, the
// memory it uses, its answer and its log line. It relies on route for the configuration in force,
// on forward and admission for plain requests and streams, on runner and results for batches, on
// holding for the memory budget, on shutdown for planned stops, and on refusal for the status of
// requests that get no other answer.
//
// # Usage
//
//	http.Serve(listener, &ingress.Handler{...}) // all fields are required
package ingress

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
)

// RetryPolicy can forbid further attempts of plain requests that forward.AttemptState allows.
type RetryPolicy interface {
	// RequestStarted is called once for each plain request, before its first attempt.
	RequestStarted(rt *route.Route)
	// MayRetry reports whether a request that has had the given number of attempts may have
	// another one. It may consume a retry budget.
	MayRetry(rt *route.Route, attempts int) bool
}

// NoRetryPolicy is a RetryPolicy that allows every retry.
type NoRetryPolicy struct{}

// RequestStarted implements RetryPolicy.
func (NoRetryPolicy) RequestStarted(*route.Route) {}

// MayRetry implements RetryPolicy.
func (NoRetryPolicy) MayRetry(*route.Route, int) bool { return true }

// Handler serves the requests of clients. It is safe for concurrent use.
type Handler struct {
	Names headers.Names
	Codec Codec
	// Configuration returns the configuration in force, or nil before the first configuration is
	// read.
	Configuration func() *route.Configuration
	// ConfigurationAge returns the time since the configuration was last confirmed to be
	// the newest.
	ConfigurationAge func() time.Duration
	// Keys bounds the age of the configuration at which API keys are checked against it.
	Keys KeyPolicy
	// Forwarder sends plain requests and streams to replicas.
	Forwarder *forward.Forwarder
	Runner    *runner.Runner
	Results   *results.Reader
	// OnRun is called for each attempt of a tenant's request that ran or may have run at a
	// replica, with the time at which it was sent.
	OnRun func(tenant string, sentAt time.Time)
	// Observe is called with each final answer and the time from the request's arrival to its
	// answer. The status is "0" if the client left or a stream was broken off.
	Observe func(route, status, outcome string, took time.Duration)
	Logger  *zap.Logger
	// Clock measures the time that clients have waited. It must advance while the machine is
	// suspended.
	Clock bootclock.Clock
	// Retries decides on attempts at further replicas.
	Retries RetryPolicy
	// Admission decides whether plain requests are sent, wait or are refused while a service
	// is full.
	Admission *admission.Controller
	// Stop is the planned stop of the daemon.
	Stop *shutdown.Stop
	// MemoryBudget bounds the memory held for clients.
	MemoryBudget *holding.Budget
	// WriteTimeout is how long a client may take to read each chunk that is written to it. A
	// timeout of a few seconds tolerates a paused client or lost packets.
	WriteTimeout time.Duration

	inFlight atomic.Int64
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	r := h.newRequest(w, req)
	if !r.reserveMemory() {
		return
	}
	defer r.releaseMemory()
	cfg := h.Configuration()
	if cfg == nil {
		r.refuse(refusal.NoConfiguration, "no configuration is known yet")
		return
	}
	r.serve(cfg)
}

// serve finds the route of the request and answers it by the route's kind.
func (r *request) serve(cfg *route.Configuration) {
	path, _, _ := strings.Cut(r.req.RequestURI, "?")
	rt, ok := cfg.Find(r.req.Host, path)
	if !ok {
		r.serveWithoutRoute(cfg, path)
		return
	}
	r.route = rt
	if !rt.Anonymous && !r.authenticate(cfg) {
		return
	}
	if !r.fitsBeforeStop() {
		return
	}
	body, ok := r.readBody(cfg.Limits.MaxBodyBytes)
	if !ok {
		return
	}
	switch rt.Kind {
	case route.Batch:
		r.serveSubmission(body)
	case route.Stream:
		r.serveStream(cfg, body)
	default:
		r.servePlain(cfg, body)
	}
}

// serveWithoutRoute answers a call about a batch, or refuses a path that has no route.
func (r *request) serveWithoutRoute(cfg *route.Configuration, path string) {
	call, ok, err := r.handler.Codec.ParseCall(r.req)
	switch {
	case ok && err != nil:
		r.refuse(refusal.Malformed, err.Error())
	case ok && !r.authenticateCall(cfg):
	case ok:
		r.serveCall(call)
	default:
		r.logger.Info("no route", zap.String("host", r.req.Host), zap.String("path", path), zap.Int64("configuration", cfg.Version))
		r.refuse(refusal.NoRoute, "no route has this host and path")
	}
}
