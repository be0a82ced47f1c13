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
	// answerMargin is reserved for the final answer: attempts end this long before the request's
	// deadline.
	answerMargin = 25 * time.Millisecond
	// defaultTimeout applies to requests without a deadline, even if their route's timeout is
	// longer.
	defaultTimeout = 30 * time.Second
)

// request is the state of a client's request while it is served.
type request struct {
	handler *Handler
	w       http.ResponseWriter
	req     *http.Request
	id      string
	arrived time.Time
	// route is nil before the route is found, and for calls about batches.
	route *route.Route
	// tenant is nil if the configuration has no tenants, and on anonymous routes.
	tenant   *tenant.Tenant
	logger   *zap.Logger
	replica  string
	attempts int
	// account counts the memory held for the request.
	account *holding.Account
}

func (h *Handler) newRequest(w http.ResponseWriter, req *http.Request) *request {
	id := req.Header.Get(h.Names.RequestID)
	return &request{handler: h, w: w, req: req, arrived: h.Clock(), id: id, logger: h.Logger.With(zap.String("request", id))}
}

// elapsed returns the time since the request arrived.
func (r *request) elapsed() time.Duration { return r.handler.Clock().Sub(r.arrived) }

// clientTimeout returns how long the client waits for its answer, counted from the request's
// arrival.
func (r *request) clientTimeout() time.Duration {
	if text := r.req.Header.Get(r.handler.Names.DeadlineMs); text != "" {
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			return time.Duration(value * float64(time.Millisecond))
		}
	}
	return defaultTimeout
}

// timeLeft returns how long the request may still take, less answerMargin. It may be negative.
func (r *request) timeLeft() time.Duration {
	left := r.clientTimeout()
	if r.route != nil && r.route.Kind != route.Batch && r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	return left - r.elapsed() - answerMargin
}

// timeoutContext returns a context that ends when timeLeft has passed.
func (r *request) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.req.Context(), r.timeLeft())
}

// reportRun calls Handler.OnRun for an attempt if the request has a tenant.
func (r *request) reportRun(sentAt time.Time) {
	if r.tenant != nil {
		r.handler.OnRun(r.tenant.Name, sentAt)
	}
}

// observe reports the final answer of the request to Handler.Observe and logs it.
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
