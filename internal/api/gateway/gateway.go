// Package gateway is the product's own HTTP interface to callers and operators,
// /v1/. It finds the caller of a key, checks what it may do, and turns its
// requests into batch jobs and into requests of the ingress.
//
// The package owns the requests in flight of each caller and traffic class at this daemon. It
// relies on policy for callers and their rights, on delivery for batches, on permit for keys of
// requests, on operator for changes, on the ingress for all that goes to a replica, and on
// refusal for what a refused caller is told.
//
// # Usage
//
//	gw := gateway.New(gateway.Parts{...})
//	http.Serve(public, gw.Handler(policy.Public))
//	http.Serve(internal, gw.Handler(policy.Internal))
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/router"
	"go.uber.org/zap"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/operator"
	"woodworks/internal/api/permit"
	"woodworks/internal/api/policy"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/headers"
)

// Limits bounds what the gateway takes in.
type Limits struct {
	MaxBodyBytes int64
	// ConfirmBound is how old the last confirmation of the policies may be
	// before new work is refused.
	ConfirmBound time.Duration
	// Operators are those of the settings.
	Operators []settings.OperatorKey
}

// Configuration is the configuration in force with its policies.
type Configuration struct {
	Version  int64
	Policies *policy.Set
	// Named is the newest version named of each model.
	Named map[string]int64
	// Age is how long ago it was last confirmed.
	Age time.Duration
}

// Parts are what the gateway relies on. All are required.
type Parts struct {
	// Configuration returns what is in force, or false before the first.
	Configuration func() (Configuration, bool)
	Delivery      *delivery.Service
	Permits       *permit.Permits
	Operator      *operator.Store
	Replicas      *replica.Table
	// Ingress takes the requests that go to one replica, under these headers, hosts and paths.
	Ingress       http.Handler
	Headers       headers.Names
	SamplesHost   func(trainer string) string
	ServiceHost   func(service string) string
	OperationPath func(operation string) string
	Metrics       *metrics.Metrics
	Logger        *zap.Logger
	// NewID returns another text at each call, on all daemons together.
	NewID    func() string
	Identity string
	Ready    func() (bool, string)
	// Stopping ends when a planned stop begins.
	Stopping context.Context
}

// Gateway serves both listeners.
type Gateway struct {
	parts   Parts
	limits  Limits
	flights inFlight
}

// New returns a gateway.
func New(parts Parts, limits Limits) *Gateway {
	return &Gateway{parts: parts, limits: limits, flights: inFlight{counts: map[string]int64{}}}
}

func (g *Gateway) stopping() bool { return g.parts.Stopping.Err() != nil }

// Handler returns the interface of one listener. Operators' paths exist on the
// internal listener only.
func (g *Gateway) Handler(audience policy.Audience) http.Handler {
	r := router.NewRouter()
	r.SetNotFoundHandler(always(Problem{status: http.StatusNotFound, Code: "not_found", Message: "no such path"}))
	r.SetNotAllowedHandler(always(Problem{status: http.StatusMethodNotAllowed, Code: "method_not_allowed",
		Message: "the path does not take this method"}))
	add := func(method, path string, next http.HandlerFunc) {
		if err := r.Handle(method, path, g.observed(method+" "+path, next)); err != nil {
			panic(err) // the paths are fixed
		}
	}
	add(http.MethodGet, "/healthz", g.health)
	add(http.MethodGet, "/readyz", g.ready)
	add(http.MethodPost, "/v1/rollouts", g.checked(audience, true, g.submitRollout))
	add(http.MethodGet, "/v1/rollouts/:trainer/:name", g.checked(audience, false, g.ofTrainer(g.rolloutStatus)))
	add(http.MethodDelete, "/v1/rollouts/:trainer/:name", g.checked(audience, false, g.ofTrainer(g.endRollout)))
	add(http.MethodGet, "/v1/rollouts/:trainer/:name/samples", g.checked(audience, false, g.ofTrainer(g.pullSamples)))
	add(http.MethodPost, "/v1/samples", g.checked(audience, true, g.streamSample))
	add(http.MethodPost, "/v1/trainers/:trainer/versions", g.checked(audience, false, g.ofTrainer(g.announceVersion)))
	add(http.MethodPost, "/v1/services/:service/:operation", g.checked(audience, true, g.callService(audience)))
	if audience == policy.Internal {
		add(http.MethodGet, "/metrics", g.parts.Metrics.Handler().ServeHTTP)
		add(http.MethodGet, "/v1/status", g.checked(audience, false, g.operatorOnly(g.status)))
		add(http.MethodGet, "/v1/policies", g.checked(audience, false, g.operatorOnly(g.policies)))
		add(http.MethodPost, "/v1/policies", g.checked(audience, false, g.operatorOnly(g.publishPolicy)))
		add(http.MethodPost, "/v1/drains", g.checked(audience, true, g.operatorOnly(g.drain)))
	}
	return r
}

// always answers every request with a problem.
func always(problem Problem) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, problem) })
}

// recorder is an http.ResponseWriter that remembers the status for the metrics, and whether
// the request carries a key, which a refusal must take into account.
type recorder struct {
	http.ResponseWriter
	status int
	keyed  bool
}

func (rec *recorder) WriteHeader(status int) {
	rec.status = status
	rec.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the real writer.
func (rec *recorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// observed counts the answers of a path.
func (g *Gateway) observed(path string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		rec := &recorder{ResponseWriter: w, status: http.StatusOK, keyed: r.Header.Get(KeyHeader) != ""}
		next(rec, r)
		g.parts.Metrics.Request(path, strconv.Itoa(rec.status), w.Header().Get(OutcomeHeader), time.Since(began))
	})
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, statusWord{Status: "alive"})
}

type statusWord struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
	// ConfigurationVersion is the configuration in force when that was so.
	ConfigurationVersion int64 `json:"configuration_version"`
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	// The version is read first: it can only be older than the status.
	configuration, _ := g.parts.Configuration()
	ready, reason := g.parts.Ready()
	status := statusWord{Status: "ready", Reason: reason, ConfigurationVersion: configuration.Version}
	if !ready {
		status.Status = "not_ready"
		writeJSON(w, http.StatusServiceUnavailable, status)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
