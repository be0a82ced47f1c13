// Package ingress answers clients: it finds the route of a request and has it forwarded, kept
// as a batch, or refused with what is certain.
//
// The package owns a client's request from its arrival to its final answer: the time it has,
// the bytes held for it, its answer and its log line. It relies on the configuration in force
// (route), forward and admission for plain requests and streams, runner and results for
// batches, holding for memory, shutdown for a planned stop, and refusal for what to answer
// when there is nothing to pass on.
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

// RetryPolicy decides on attempts at further replicas, beyond what forward.AttemptState allows.
type RetryPolicy interface {
	// RequestStarted is told of each request.
	RequestStarted(rt *route.Route)
	// MayRetry reports whether a request may have another attempt after some.
	MayRetry(rt *route.Route, attempts int) bool
}

// NoRetryPolicy is the Retries of a platform without policies: it adds no bound.
type NoRetryPolicy struct{}

// RequestStarted implements Retries.
func (NoRetryPolicy) RequestStarted(*route.Route) {}

// MayRetry implements Retries.
func (NoRetryPolicy) MayRetry(*route.Route, int) bool { return true }

// Handler answers the requests of clients. It is safe for concurrent use.
type Handler struct {
	Names headers.Names
	Codec Codec
	// Configuration returns the one in force, nil before the first.
	Configuration func() *route.Configuration
	// ConfigurationAge is how long ago it was last confirmed that the configuration is
	// the newest.
	ConfigurationAge func() time.Duration
	// Keys says how long keys are trusted without news of the configuration.
	Keys KeyPolicy
	// Forwarder sends plain requests and streams to replicas.
	Forwarder *forward.Forwarder
	Runner    *runner.Runner
	Results   *results.Reader
	// OnRun is told of each request of a tenant that a replica ran or may have run, with when
	// it was sent there.
	OnRun func(tenant string, sentAt time.Time)
	// Observe is told of each final answer and how long it took.
	Observe func(route, status, outcome string, took time.Duration)
	Logger  *zap.Logger
	// Clock is the clock by which clients wait.
	Clock bootclock.Clock
	// Retries bounds attempts at further replicas.
	Retries RetryPolicy
	// Admission decides which plain requests wait or are refused while a service is full.
	Admission *admission.Controller
	// Stop is the planned stop of the daemon.
	Stop *shutdown.Stop
	// MemoryBudget bounds what is held on behalf of clients.
	MemoryBudget *holding.Budget
	// WriteTimeout is how long what is written may stay unread: with some seconds a client that
	// was paused, or whose network lost some packets, is not cut off.
	WriteTimeout time.Duration

	inFlight atomic.Int64
}

// InFlight is how many requests are being answered.
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

// serve finds what the request is for and answers it.
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

// serveWithoutRoute answers a call about a batch, or refuses a path that no route has.
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
