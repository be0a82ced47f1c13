package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/callers/tenant"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/route"
)

const (
	// answerMargin is how long before a request's last moment it gets its
	// final answer.
	answerMargin = 25 * time.Millisecond
	// defaultTimeout holds for requests that name no deadline, also where their route's
	// timeout is longer.
	defaultTimeout = 30 * time.Second
)

// request is one request of a client on its way.
type request struct {
	handler *Handler
	w       http.ResponseWriter
	req     *http.Request
	id      string
	arrived time.Time
	// route is nil until it is found, and for calls about batches.
	route *route.Route
	// tenant is nil where there are no tenants, and on anonymous routes.
	tenant   *tenant.Tenant
	logger   *zap.Logger
	replica  string
	attempts int
	// account counts what is held for the request.
	account *holding.Account
}

func (h *Handler) newRequest(w http.ResponseWriter, req *http.Request) *request {
	id := req.Header.Get(h.Names.RequestID)
	return &request{handler: h, w: w, req: req, arrived: h.Clock(), id: id, logger: h.Logger.With(zap.String("request", id))}
}

// elapsed is how long ago the request came.
func (r *request) elapsed() time.Duration { return r.handler.Clock().Sub(r.arrived) }

// clientTimeout is how long the client waits, from its request on.
func (r *request) clientTimeout() time.Duration {
	if text := r.req.Header.Get(r.handler.Names.DeadlineMs); text != "" {
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			return time.Duration(value * float64(time.Millisecond))
		}
	}
	return defaultTimeout
}

// timeLeft is how long the request may still be held.
func (r *request) timeLeft() time.Duration {
	left := r.clientTimeout()
	if r.route != nil && r.route.Kind != route.Batch && r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	return left - r.elapsed() - answerMargin
}

// timeoutContext returns a context that ends with the request's time.
func (r *request) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.req.Context(), r.timeLeft())
}

// reportRun has a run of the request counted for its tenant.
func (r *request) reportRun(sentAt time.Time) {
	if r.tenant != nil {
		r.handler.OnRun(r.tenant.Name, sentAt)
	}
}

// observe counts and logs the end of a request.
func (r *request) observe(status int, outcome, reason string) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	took := r.elapsed()
	r.handler.Observe(name, strconv.Itoa(status), outcome, took)
	r.logger.Info("request", zap.String("route", name), zap.String("tenant", r.tenantName()), zap.Int("status", status),
		zap.String("outcome", outcome),
		zap.String("reason", reason), zap.String("replica", r.replica), zap.Int("attempts", r.attempts), zap.Duration("took", took))
}
