// Package ingress answers clients: it finds the route of a request and has it
// forwarded, kept as a batch, or refused with what is certain.
package ingress

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/callers/tenant"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/route"
)

const (
	// answerMargin is how long before a request's last moment it gets its
	// final answer.
	answerMargin = 25 * time.Millisecond
	// defaultTimeout holds for requests that name no deadline on routes that
	// name no timeout.
	defaultTimeout = 30 * time.Second
	defaultBody    = 32 << 20
	// retryAfter is when a refused client should come back, if nothing better
	// is known.
	retryAfter = 250 * time.Millisecond
	// comeBackPart is the part of the time left, one in so many, that a refused client
	// waits at most. Clients of the platform cap it so by themselves.
	comeBackPart = 3
	// bodyGrace is how long beyond its request's time a body that stalls is awaited: a
	// body that is whole by then has long been read, so that its connection's watch for
	// the client's leaving does not meet the bound. A route's time is held to be kept
	// within a quarter of a second.
	bodyGrace = 200 * time.Millisecond
)

// Observer counts final answers.
type Observer interface {
	Request(route, status, outcome string, took time.Duration)
}

// Sender gets plain requests answered, as a forward.Forwarder does.
type Sender interface {
	Do(ctx context.Context, call *forward.Call) (*forward.Answer, error)
}

// Retries decides on offers to further replicas.
type Retries interface {
	// Began is told of each request.
	Began(found *route.Route)
	// May reports whether a request that was offered some times may be again.
	May(found *route.Route, offers int) bool
}

// Handler answers the requests of clients. It is safe for concurrent use.
type Handler struct {
	Names         headers.Names
	Codec         Codec
	Configuration func() *route.Configuration
	Forwarder     *forward.Forwarder
	// Plain, if not nil, gets plain requests answered in place of the Forwarder.
	Plain    Sender
	Runner   *runner.Runner
	Results  *results.Reader
	Observer Observer
	Logger   *zap.Logger
	// Ran, if not nil, is told of each request of a tenant that a replica ran or may
	// have run, with when it was sent there.
	Ran func(tenant string, sentAt time.Time)
	// Keys says how long keys are trusted without news of the configuration.
	Keys KeyPolicy
	// ConfigurationAge is how long ago it was last confirmed that the configuration is
	// the newest.
	ConfigurationAge func() time.Duration
	// Clock is the clock by which clients wait, nil for that of the machine.
	Clock bootclock.Clock
	// Retries, if not nil, bounds offers to further replicas.
	Retries Retries
	// Admission, if not nil, decides which plain requests wait or are refused while a
	// service is full.
	Admission *admission.Controller
	// Stop, if not nil, is the planned stop of the daemon.
	Stop *shutdown.Stop
	// Holding, if not nil, bounds what is held on behalf of clients.
	Holding *holding.Budget
	// Unread is how long what is written may stay unread, 0 for defaultUnread.
	Unread time.Duration

	inFlight atomic.Int64
}

// InFlight is how many requests are being answered.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// request is one request of a client on its way.
type request struct {
	handler *Handler
	w       http.ResponseWriter
	req     *http.Request
	id      string
	arrived time.Time
	route   *route.Route
	// tenant is nil where there are no tenants, and on anonymous routes.
	tenant   *tenant.Tenant
	logger   *zap.Logger
	replica  string
	attempts int
	// holder counts what is held for the request.
	account *holding.Account
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	r := &request{handler: h, w: w, req: req, arrived: h.now(), id: req.Header.Get(h.Names.RequestID)}
	r.logger = h.Logger.With(zap.String("request", r.id))
	if !r.beginHolding() {
		return
	}
	defer r.endHolding()
	cfg := h.Configuration()
	if cfg == nil {
		r.refuse("no configuration is known yet", retryAfter)
		return
	}
	r.serve(cfg)
}

func (r *request) serve(cfg *route.Configuration) {
	path, _, _ := strings.Cut(r.req.RequestURI, "?")
	found, ok := cfg.Find(r.req.Host, path)
	if !ok {
		call, recognised, err := r.handler.Codec.ParseCall(r.req)
		switch {
		case recognised && err != nil:
			r.fail(http.StatusBadRequest, "malformed", err.Error())
		case recognised && !r.authenticateCall(cfg):
		case recognised:
			r.serveCall(call)
		default:
			r.logger.Info("no route", zap.String("host", r.req.Host), zap.String("path", path), zap.Int64("configuration", cfg.Version))
			r.fail(http.StatusNotFound, "no route", "no route has this host and path")
		}
		return
	}
	r.route = found
	if !found.Anonymous && !r.authenticate(cfg) {
		return
	}
	if !r.endsInTime() {
		return
	}
	body, ok := r.readBody(cfg.Limits.MaxBodyBytes)
	if !ok {
		return
	}
	switch found.Kind {
	case route.Batch:
		r.serveSubmission(body)
	case route.Stream:
		r.serveStream(cfg, body)
	default:
		r.serveForwarded(cfg, body)
	}
}

// readBody reads the whole body, or answers why it could not. The body has the time of its
// request: one that stalls is not held for as long as its client likes.
func (r *request) readBody(limit int64) ([]byte, bool) {
	if limit <= 0 {
		limit = defaultBody
	}
	late := time.AfterFunc(max(r.timeLeft(), 0)+bodyGrace, func() { r.setReadDeadline(time.Now()) })
	defer func() {
		if !late.Stop() {
			r.setReadDeadline(time.Time{})
		}
	}()
	body, err := r.takeBody(http.MaxBytesReader(r.w, r.req.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r.fail(http.StatusRequestEntityTooLarge, "too large", "the body is longer than the limit")
		return nil, false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The rest of the body, if it comes, is no request.
		r.w.Header().Set("Connection", "close")
		r.refuse("the body did not come in time", retryAfter)
		return nil, false
	}
	if errors.Is(err, errNoRoom) {
		r.w.Header().Set("Connection", "close")
		r.refuse(err.Error(), noRoomRetryAfter)
		return nil, false
	}
	if err != nil {
		r.fail(http.StatusBadRequest, "cut off", "the body could not be read")
		return nil, false
	}
	return body, true
}

// setReadDeadline bounds reads of the client's connection, which must be without bound again
// once the body is read: the server watches it for the client's leaving.
func (r *request) setReadDeadline(until time.Time) {
	if err := http.NewResponseController(r.w).SetReadDeadline(until); err != nil {
		r.logger.Debug("reads of the client's connection are not bounded", zap.Error(err))
	}
}

// now reads the clock by which clients wait.
func (h *Handler) now() time.Time {
	if h.Clock == nil {
		return bootclock.Now()
	}
	return h.Clock()
}

// held is how long ago the request came.
func (r *request) held() time.Duration { return r.handler.now().Sub(r.arrived) }

// deadline is how long the client waits, from its request on.
func (r *request) deadline() time.Duration {
	if text := r.req.Header.Get(r.handler.Names.DeadlineMs); text != "" {
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			return time.Duration(value * float64(time.Millisecond))
		}
	}
	return defaultTimeout
}

// timeLeft is how long the request may still be held.
func (r *request) timeLeft() time.Duration {
	left := r.deadline()
	if r.route != nil && r.route.Kind != route.Batch && r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	return left - r.held() - answerMargin
}

func (r *request) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.req.Context(), r.timeLeft())
}

// serveForwarded sends a request to a replica and passes the answer on.
func (r *request) serveForwarded(cfg *route.Configuration, body []byte) {
	ctx, cancel := r.bounded()
	defer cancel()
	repeatable := r.route.Kind == route.Safe
	call := &forward.Call{
		RequestID: r.id, Method: r.req.Method, Target: r.req.RequestURI, Host: r.req.Host,
		Header: r.headerOnward(cfg), Body: body, Caller: r.tenantName(), Services: r.route.Order(r.id),
		Repeatable: repeatable, MaxAttempts: max(r.route.MaxAttempts, 1), Hedge: repeatable, HedgeAfter: r.route.HedgeAfter,
	}
	call.ConnectionUntil = time.Now().Add(r.route.ConnectionWait())
	call.Left, call.Ran, call.Account = r.timeLeft, r.ran, r.account
	if retries := r.handler.Retries; retries != nil {
		retries.Began(r.route)
		call.MayRetry = func(offers int) bool { return retries.May(r.route, offers) }
	}
	answer, err := r.doAdmitted(ctx, cfg, call)
	if err != nil {
		r.explain(err)
		return
	}
	defer answer.Close()
	r.replica = answer.Replica
	r.passOn(answer)
}

// plain returns what gets plain requests answered.
func (h *Handler) plain() Sender {
	if h.Plain == nil {
		return h.Forwarder
	}
	return h.Plain
}

// ran has a run of the request counted for its tenant.
func (r *request) ran(sentAt time.Time) {
	if r.tenant != nil && r.handler.Ran != nil {
		r.handler.Ran(r.tenant.Name, sentAt)
	}
}

// explain gives the final answer to a request without a replica's answer.
func (r *request) explain(err error) {
	if r.clientLeft() {
		r.observe(0, "client left", err.Error())
		panic(http.ErrAbortHandler)
	}
	var refused *admission.Refused
	if errors.As(err, &refused) {
		r.refuseAdmission(refused)
		return
	}
	var failure *forward.Failure
	if !errors.As(err, &failure) {
		r.fail(http.StatusBadGateway, "failed", err.Error())
		return
	}
	r.attempts, r.replica = failure.Attempts, strings.Join(failure.Tried, ",")
	switch {
	case failure.Certainty == forward.NotRun && failure.Quarantined != nil:
		r.refuseQuarantined(failure.Quarantined)
	case failure.Certainty == forward.NotRun:
		r.refuse(failure.Reason, r.comeBack())
	case r.interrupted():
		r.fail(http.StatusBadGateway, "interrupted", shutdown.ErrInterrupted.Error())
	case r.timeLeft() <= 0:
		r.fail(http.StatusGatewayTimeout, "timed out", failure.Reason)
	default:
		r.fail(http.StatusBadGateway, "failed", failure.Reason)
	}
}

// passOn writes a replica's answer to the client.
func (r *request) passOn(answer *forward.Answer) {
	target := r.w.Header()
	for name, values := range headers.CopyEndToEnd(answer.Header) {
		target[name] = values
	}
	length := int64(len(answer.Body))
	if answer.Rest != nil {
		length = answer.Rest.Length()
	}
	if length >= 0 && r.req.Method != http.MethodHead {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.setWriteDeadline(r.answerTime())
	r.w.WriteHeader(answer.Status)
	err := r.writeAnswer(answer)
	if err != nil && r.req.Method != http.MethodHead {
		r.observe(answer.Status, "broken off", err.Error())
		panic(http.ErrAbortHandler)
	}
	r.observe(answer.Status, "answered", "")
}

// refuse promises that the request has not run and never will. Nobody is told to wait for
// longer than a part of the time left: another daemon may serve the request within it.
func (r *request) refuse(reason string, comeBack time.Duration) {
	r.setRetryAfter(min(comeBack, max(r.timeLeft()/comeBackPart, 0)))
	r.fail(http.StatusServiceUnavailable, "refused", reason)
}

// refuseQuarantined promises that the request has not run, as replicas have ended under
// its content. The caller hears it at once, with a time to come back that no other daemon
// would shorten.
func (r *request) refuseQuarantined(err *forward.QuarantinedError) {
	if name := r.handler.Names.Quarantined; name != "" {
		r.w.Header().Set(name, strconv.Itoa(err.Ended))
	}
	r.setRetryAfter(err.RetryAfter)
	r.fail(http.StatusServiceUnavailable, "quarantined", err.Error())
}

func (r *request) setRetryAfter(comeBack time.Duration) {
	r.w.Header().Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
}

// fail gives an answer of our own.
func (r *request) fail(status int, outcome, reason string) {
	r.write(status, r.handler.Codec.EncodeError(reason))
	r.observe(status, outcome, reason)
}

func (r *request) write(status int, body []byte) {
	r.writeHead(status, len(body))
	if err := r.writeSlowly(body); err != nil {
		r.logger.Debug("answer of our own not taken", zap.Error(err)) // it says nothing that counts for others
	}
}

// writeHead begins an answer of our own.
func (r *request) writeHead(status, length int) {
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(length))
	if r.id != "" {
		r.w.Header().Set(r.handler.Names.RequestID, r.id)
	}
	r.w.WriteHeader(status)
}

// observe counts and logs the end of a request.
func (r *request) observe(status int, outcome, reason string) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	took := r.held()
	r.handler.Observer.Request(name, strconv.Itoa(status), outcome, took)
	r.logger.Info("request", zap.String("route", name), zap.String("tenant", r.tenantName()), zap.Int("status", status), zap.String("outcome", outcome),
		zap.String("reason", reason), zap.String("replica", r.replica), zap.Int("attempts", r.attempts), zap.Duration("took", took))
}
