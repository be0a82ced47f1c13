package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/calls"
	"woodworks/internal/catalog"
	"woodworks/internal/delivery"
	"woodworks/internal/fleet"
	"woodworks/internal/httpserver"
	"woodworks/internal/membership"
	"woodworks/internal/metrics"
	"woodworks/internal/operator"
	"woodworks/internal/policy"
	"woodworks/internal/samplestream"
	"woodworks/internal/settings"
)

// Catalog is what this package needs of the configuration.
type Catalog interface {
	State() catalog.State
	Policy() *policy.Set
	ConfirmationAge() (time.Duration, bool)
}

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	Members() []membership.Member
	Announce(announcements ...announce.Announcement)
}

// Limits bounds what the gateway takes in.
type Limits struct {
	MaxBodyBytes int64
	ConfirmBound time.Duration
	// Operators are those of the settings.
	Operators []settings.OperatorKey
}

// Parts are the components that the gateway fronts.
type Parts struct {
	Catalog  Catalog
	Peers    Peers
	Desk     *delivery.Desk
	Calls    *calls.Sender
	Streamer *samplestream.Streamer
	Operator *operator.Operator
	Table    *fleet.Table
	Board    *announce.Board
	Metrics  *metrics.Metrics
	Logger   *zap.Logger
	// Ready reports whether the daemon can serve, and why not.
	Ready func() (bool, string)
	// Status builds the operators' view of this daemon.
	Status func() any
}

// Gateway serves both listeners.
type Gateway struct {
	parts    Parts
	catalog  Catalog
	limits   Limits
	flights  *inFlight
	stopping atomic.Bool
	servers  []*httpserver.Server
}

// New returns a gateway that does not listen yet.
func New(parts Parts, limits Limits) *Gateway {
	return &Gateway{parts: parts, catalog: parts.Catalog, limits: limits, flights: newInFlight()}
}

// Listen serves one listener in the background.
func (gateway *Gateway) Listen(address string, audience policy.Audience) error {
	server, err := httpserver.Start(address, gateway.routes(audience), http.HandlerFunc(notFound), http.HandlerFunc(notAllowed))
	if err != nil {
		return errors.Wrapf(err, "gateway: %s listener", audience)
	}
	gateway.servers = append(gateway.servers, server)
	return nil
}

func notFound(writer http.ResponseWriter, _ *http.Request) {
	writeProblem(writer, http.StatusNotFound, Problem{Code: "not_found", Message: "no such path"})
}

func notAllowed(writer http.ResponseWriter, _ *http.Request) {
	writeProblem(writer, http.StatusMethodNotAllowed, Problem{Code: "method_not_allowed", Message: "the path does not take this method"})
}

// routes returns the routes of one listener. Operators' routes exist on the
// internal listener only.
func (gateway *Gateway) routes(audience policy.Audience) []rest.Route {
	routes := []rest.Route{
		gateway.route(http.MethodGet, "/healthz", gateway.health),
		gateway.route(http.MethodGet, "/readyz", gateway.ready),
		gateway.route(http.MethodPost, "/v1/rollouts", gateway.admit(audience, true, gateway.submitRollout)),
		gateway.route(http.MethodGet, "/v1/rollouts/:trainer/:name", gateway.admit(audience, false, gateway.rolloutStatus)),
		gateway.route(http.MethodGet, "/v1/rollouts/:trainer/:name/samples", gateway.admit(audience, false, gateway.pullSamples)),
		gateway.route(http.MethodPost, "/v1/samples", gateway.admit(audience, true, gateway.streamSample)),
		gateway.route(http.MethodPost, "/v1/trainers/:trainer/versions", gateway.admit(audience, false, gateway.announceVersion)),
		gateway.route(http.MethodPost, "/v1/services/:service/:operation", gateway.admit(audience, true, gateway.callService(audience))),
	}
	if audience == policy.Internal {
		routes = append(routes,
			gateway.route(http.MethodGet, "/metrics", gateway.parts.Metrics.Handler().ServeHTTP),
			gateway.route(http.MethodGet, "/v1/status", gateway.admit(audience, false, gateway.operatorOnly(gateway.status))),
			gateway.route(http.MethodGet, "/v1/policies", gateway.admit(audience, false, gateway.operatorOnly(gateway.policies))),
			gateway.route(http.MethodPost, "/v1/policies", gateway.admit(audience, false, gateway.operatorOnly(gateway.publishPolicy))),
			gateway.route(http.MethodPost, "/v1/gone", gateway.admit(audience, false, gateway.operatorOnly(gateway.declareGone))),
			gateway.route(http.MethodPost, "/v1/drains", gateway.admit(audience, true, gateway.operatorOnly(gateway.drain))),
		)
	}
	return routes
}

// recorder remembers the status for the metrics, and whether the request
// carries a key, which a refusal must take into account.
type recorder struct {
	http.ResponseWriter
	status int
	keyed  bool
}

// WriteHeader implements http.ResponseWriter.
func (recorder *recorder) WriteHeader(status int) {
	recorder.status = status
	recorder.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the real writer.
func (recorder *recorder) Unwrap() http.ResponseWriter { return recorder.ResponseWriter }

// Flush implements http.Flusher.
func (recorder *recorder) Flush() {
	_ = http.NewResponseController(recorder.ResponseWriter).Flush()
}

func (gateway *Gateway) route(method, path string, next http.HandlerFunc) rest.Route {
	return rest.Route{Method: method, Path: path, Handler: func(writer http.ResponseWriter, request *http.Request) {
		startedAt := time.Now()
		recorded := &recorder{ResponseWriter: writer, status: http.StatusOK, keyed: request.Header.Get(KeyHeader) != ""}
		next(recorded, request)
		outcome := writer.Header().Get(OutcomeHeader)
		gateway.parts.Metrics.Request(method+" "+path, strconv.Itoa(recorded.status), outcome, time.Since(startedAt))
	}}
}

func (gateway *Gateway) health(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, statusWord{Status: "alive"})
}

type statusWord struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
	// ConfigOffset is the configuration in force when the word was true.
	ConfigOffset uint64 `json:"config_offset"`
}

func (gateway *Gateway) ready(writer http.ResponseWriter, _ *http.Request) {
	// The offset is read first: it can only be older than the word.
	offset := gateway.catalog.State().Offset
	ready, reason := gateway.parts.Ready()
	if gateway.stopping.Load() {
		ready, reason = false, "stopping"
	}
	if !ready {
		writeJSON(writer, http.StatusServiceUnavailable, statusWord{Status: "not_ready", Reason: reason, ConfigOffset: offset})
		return
	}
	writeJSON(writer, http.StatusOK, statusWord{Status: "ready", ConfigOffset: offset})
}

// InFlight returns the number of requests being answered.
func (gateway *Gateway) InFlight() int64 { return gateway.flights.Total() }

// StopAdmitting refuses new work from now on; requests in flight go on.
func (gateway *Gateway) StopAdmitting() { gateway.stopping.Store(true) }

// Shutdown closes the listeners and waits for requests in flight to end.
func (gateway *Gateway) Shutdown(ctx context.Context) error {
	for _, server := range gateway.servers {
		if err := server.Shutdown(ctx); err != nil {
			return errors.Wrap(err, "gateway: shutdown")
		}
	}
	return nil
}
