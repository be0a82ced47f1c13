// Package gateway serves the HTTP API for callers and operators, /v1/. It authenticates callers by
// their keys, checks their rights, and translates their requests into batch jobs and into requests
// to the ingress.
//
// The package owns the counts of requests in flight per caller and per traffic class at this
// daemon. It relies on policy for callers and their rights, on delivery for batches, on permit for
// the keys of requests, on operator for changes of the configuration, on the ingress for all
// requests to replicas, and on refusal for the reasons, statuses and retry delays of refused
// requests.
//
// # Usage
//
//	gw := gateway.New(gateway.Deps{...}, gateway.Limits{...})
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

// Limits bounds the requests that the gateway accepts, and lists the operators of the settings.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxConfirmationAge is the maximum age of the last confirmation that the configuration in force
	// is the newest; if it is older, new work is refused.
	MaxConfirmationAge time.Duration
	// Operators may call the internal listener even if no policy declares them.
	Operators []settings.OperatorKey
}

// Configuration is the configuration in force with its policies.
type Configuration struct {
	Version  int64
	Policies *policy.Set
	// NewestVersions maps each model to the newest version announced for it.
	NewestVersions map[string]int64
	// Age is the time since the configuration was last confirmed to be the newest.
	Age time.Duration
}

// Deps are the dependencies of a gateway. All are required.
type Deps struct {
	// Configuration returns the configuration in force, or false if there is none yet.
	Configuration func() (Configuration, bool)
	Delivery      *delivery.Service
	Permits       *permit.Permits
	Operator      *operator.Store
	Replicas      *replica.Table
	// Ingress serves the requests that go to one replica. They use the headers, hosts and paths
	// given by the next four fields.
	Ingress       http.Handler
	Headers       headers.Names
	SamplesHost   func(trainer string) string
	ServiceHost   func(service string) string
	OperationPath func(operation string) string
	Metrics       *metrics.Metrics
	Logger        *zap.Logger
	// NewID returns a request ID that is unique across all daemons.
	NewID func() string
	// Identity names this daemon in Status.
	Identity string
	// Ready reports whether this daemon is ready, and the reason if it is not.
	Ready func() (bool, string)
	// Stopping is cancelled when a planned stop begins.
	Stopping context.Context
}

// Gateway serves the API on the public and the internal listener. It is safe for concurrent use.
type Gateway struct {
	deps     Deps
	limits   Limits
	inFlight inFlightCounter
}

// New returns a gateway.
func New(parts Deps, limits Limits) *Gateway {
	return &Gateway{deps: parts, limits: limits, inFlight: inFlightCounter{counts: map[string]int64{}}}
}

// stopping reports whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.deps.Stopping.Err() != nil }

// Handler returns the handler of the listener for an audience. The paths for operators exist on the
// internal listener only.
func (g *Gateway) Handler(audience policy.Audience) http.Handler {
	r := router.NewRouter()
	r.SetNotFoundHandler(problemHandler(Problem{status: http.StatusNotFound, Code: "not_found", Message: "no such path"}))
	r.SetNotAllowedHandler(problemHandler(Problem{status: http.StatusMethodNotAllowed, Code: "method_not_allowed",
		Message: "the path does not take this method"}))
	add := func(method, path string, next http.HandlerFunc) {
		if err := r.Handle(method, path, g.withMetrics(method+" "+path, next)); err != nil {
			panic(err) // the methods and paths are constants
		}
	}
	add(http.MethodGet, "/healthz", g.health)
	add(http.MethodGet, "/readyz", g.ready)
	add(http.MethodPost, "/v1/rollouts", g.withChecks(audience, true, g.submitRollout))
	add(http.MethodGet, "/v1/rollouts/:trainer/:name", g.withChecks(audience, false, g.withTrainer(g.rolloutStatus)))
	add(http.MethodDelete, "/v1/rollouts/:trainer/:name", g.withChecks(audience, false, g.withTrainer(g.endRollout)))
	add(http.MethodGet, "/v1/rollouts/:trainer/:name/samples", g.withChecks(audience, false, g.withTrainer(g.pullSamples)))
	add(http.MethodPost, "/v1/samples", g.withChecks(audience, true, g.streamSample))
	add(http.MethodPost, "/v1/trainers/:trainer/versions", g.withChecks(audience, false, g.withTrainer(g.announceVersion)))
	add(http.MethodPost, "/v1/services/:service/:operation", g.withChecks(audience, true, g.callService(audience)))
	if audience == policy.Internal {
		add(http.MethodGet, "/metrics", g.deps.Metrics.Handler().ServeHTTP)
		add(http.MethodGet, "/v1/status", g.withChecks(audience, false, g.operatorOnly(g.status)))
		add(http.MethodGet, "/v1/policies", g.withChecks(audience, false, g.operatorOnly(g.policies)))
		add(http.MethodPost, "/v1/policies", g.withChecks(audience, false, g.operatorOnly(g.publishPolicy)))
		add(http.MethodPost, "/v1/drains", g.withChecks(audience, true, g.operatorOnly(g.drain)))
	}
	return r
}

// problemHandler returns a handler that answers every request with a problem.
func problemHandler(problem Problem) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, problem) })
}

// recorder is an http.ResponseWriter that records the status for the metrics and whether the
// request has a key, which decides the outcome of a refusal (see writeProblem).
type recorder struct {
	http.ResponseWriter
	status int
	hasKey bool
}

// WriteHeader implements http.ResponseWriter.
func (rec *recorder) WriteHeader(status int) {
	rec.status = status
	rec.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (rec *recorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// withMetrics returns a handler that records the status, outcome and duration of each answer of
// next under a path.
func (g *Gateway) withMetrics(path string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		rec := &recorder{ResponseWriter: w, status: http.StatusOK, hasKey: r.Header.Get(RequestKeyHeader) != ""}
		next(rec, r)
		g.deps.Metrics.Request(path, strconv.Itoa(rec.status), w.Header().Get(OutcomeHeader), time.Since(began))
	})
}

// health answers that the process is alive.
func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, statusResponse{Status: "alive"})
}

// statusResponse is the answer to health and readiness checks, and to the end of a batch.
type statusResponse struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
	// ConfigurationVersion is the version of the configuration in force at a readiness check, 0 in
	// other answers.
	ConfigurationVersion int64 `json:"configuration_version"`
}

// ready answers 200 if this daemon is ready, and otherwise 503 with the reason.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	// Read the version first: the answer then never has a newer version than its status refers to.
	configuration, _ := g.deps.Configuration()
	ready, reason := g.deps.Ready()
	status := statusResponse{Status: "ready", Reason: reason, ConfigurationVersion: configuration.Version}
	if !ready {
		status.Status = "not_ready"
		writeJSON(w, http.StatusServiceUnavailable, status)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
