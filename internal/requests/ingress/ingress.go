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
func (handler *Handler) InFlight() int64 { return handler.inFlight.Load() }

// request is one request of a client on its way.
type request struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	id      string
	arrived time.Time
	route   *route.Route
	// tenant is nil where there are no tenants, and on anonymous routes.
	tenant   *tenant.Tenant
	logger   *zap.Logger
	replica  string
	attempts int
	// holder counts what is held for the request.
	holder *holding.Holder
}

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	asked := &request{handler: handler, writer: writer, request: incoming, arrived: handler.now(), id: incoming.Header.Get(handler.Names.RequestID)}
	asked.logger = handler.Logger.With(zap.String("request", asked.id))
	if !asked.beginHolding() {
		return
	}
	defer asked.endHolding()
	configuration := handler.Configuration()
	if configuration == nil {
		asked.refuse("no configuration is known yet", retryAfter)
		return
	}
	asked.serve(configuration)
}

func (asked *request) serve(configuration *route.Configuration) {
	path, _, _ := strings.Cut(asked.request.RequestURI, "?")
	found, ok := configuration.Find(asked.request.Host, path)
	if !ok {
		call, recognised, err := asked.handler.Codec.ParseCall(asked.request)
		switch {
		case recognised && err != nil:
			asked.fail(http.StatusBadRequest, "malformed", err.Error())
		case recognised && !asked.authenticateCall(configuration):
		case recognised:
			asked.serveCall(call)
		default:
			asked.logger.Info("no route", zap.String("host", asked.request.Host), zap.String("path", path), zap.Int64("configuration", configuration.Version))
			asked.fail(http.StatusNotFound, "no route", "no route has this host and path")
		}
		return
	}
	asked.route = found
	if !found.Anonymous && !asked.authenticate(configuration) {
		return
	}
	if !asked.endsInTime() {
		return
	}
	body, ok := asked.readBody(configuration.Limits.MaxBodyBytes)
	if !ok {
		return
	}
	switch found.Kind {
	case route.Batch:
		asked.serveSubmission(body)
	case route.Stream:
		asked.serveStream(configuration, body)
	default:
		asked.serveForwarded(configuration, body)
	}
}

// readBody reads the whole body, or answers why it could not. The body has the time of its
// request: one that stalls is not held for as long as its client likes.
func (asked *request) readBody(limit int64) ([]byte, bool) {
	if limit <= 0 {
		limit = defaultBody
	}
	late := time.AfterFunc(max(asked.timeLeft(), 0)+bodyGrace, func() { asked.setReadDeadline(time.Now()) })
	defer func() {
		if !late.Stop() {
			asked.setReadDeadline(time.Time{})
		}
	}()
	body, err := asked.takeBody(http.MaxBytesReader(asked.writer, asked.request.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		asked.fail(http.StatusRequestEntityTooLarge, "too large", "the body is longer than the limit")
		return nil, false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The rest of the body, if it comes, is no request.
		asked.writer.Header().Set("Connection", "close")
		asked.refuse("the body did not come in time", retryAfter)
		return nil, false
	}
	if errors.Is(err, errNoRoom) {
		asked.writer.Header().Set("Connection", "close")
		asked.refuse(err.Error(), noRoomRetryAfter)
		return nil, false
	}
	if err != nil {
		asked.fail(http.StatusBadRequest, "cut off", "the body could not be read")
		return nil, false
	}
	return body, true
}

// setReadDeadline bounds reads of the client's connection, which must be without bound again
// once the body is read: the server watches it for the client's leaving.
func (asked *request) setReadDeadline(until time.Time) {
	if err := http.NewResponseController(asked.writer).SetReadDeadline(until); err != nil {
		asked.logger.Debug("reads of the client's connection are not bounded", zap.Error(err))
	}
}

// now reads the clock by which clients wait.
func (handler *Handler) now() time.Time {
	if handler.Clock == nil {
		return bootclock.Now()
	}
	return handler.Clock()
}

// held is how long ago the request came.
func (asked *request) held() time.Duration { return asked.handler.now().Sub(asked.arrived) }

// deadline is how long the client waits, from its request on.
func (asked *request) deadline() time.Duration {
	if text := asked.request.Header.Get(asked.handler.Names.DeadlineMs); text != "" {
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			return time.Duration(value * float64(time.Millisecond))
		}
	}
	return defaultTimeout
}

// timeLeft is how long the request may still be held.
func (asked *request) timeLeft() time.Duration {
	left := asked.deadline()
	if asked.route != nil && asked.route.Kind != route.Batch && asked.route.Timeout > 0 {
		left = min(left, asked.route.Timeout)
	}
	return left - asked.held() - answerMargin
}

func (asked *request) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(asked.request.Context(), asked.timeLeft())
}

// serveForwarded sends a request to a replica and passes the answer on.
func (asked *request) serveForwarded(configuration *route.Configuration, body []byte) {
	ctx, cancel := asked.bounded()
	defer cancel()
	repeatable := asked.route.Kind == route.Safe
	call := &forward.Call{
		RequestID: asked.id, Method: asked.request.Method, Target: asked.request.RequestURI, Host: asked.request.Host,
		Header: asked.headerOnward(configuration), Body: body, Caller: asked.tenantName(), Services: asked.route.Order(asked.id),
		Repeatable: repeatable, MaxAttempts: max(asked.route.MaxAttempts, 1), Hedge: repeatable, HedgeAfter: asked.route.HedgeAfter,
	}
	call.ConnectionUntil = time.Now().Add(asked.route.ConnectionWait())
	call.Left, call.Ran, call.Holder = asked.timeLeft, asked.ran, asked.holder
	if retries := asked.handler.Retries; retries != nil {
		retries.Began(asked.route)
		call.MayRetry = func(offers int) bool { return retries.May(asked.route, offers) }
	}
	answer, err := asked.doAdmitted(ctx, configuration, call)
	if err != nil {
		asked.explain(err)
		return
	}
	defer answer.Close()
	asked.replica = answer.Replica
	asked.passOn(answer)
}

// plain returns what gets plain requests answered.
func (handler *Handler) plain() Sender {
	if handler.Plain == nil {
		return handler.Forwarder
	}
	return handler.Plain
}

// ran has a run of the request counted for its tenant.
func (asked *request) ran(sentAt time.Time) {
	if asked.tenant != nil && asked.handler.Ran != nil {
		asked.handler.Ran(asked.tenant.Name, sentAt)
	}
}

// explain gives the final answer to a request without a replica's answer.
func (asked *request) explain(err error) {
	if asked.clientLeft() {
		asked.observe(0, "client left", err.Error())
		panic(http.ErrAbortHandler)
	}
	var refused *admission.Refused
	if errors.As(err, &refused) {
		asked.refuseAdmission(refused)
		return
	}
	var failure *forward.Failure
	if !errors.As(err, &failure) {
		asked.fail(http.StatusBadGateway, "failed", err.Error())
		return
	}
	asked.attempts, asked.replica = failure.Attempts, strings.Join(failure.Tried, ",")
	switch {
	case failure.Certainty == forward.NotRun && failure.Quarantined != nil:
		asked.refuseQuarantined(failure.Quarantined)
	case failure.Certainty == forward.NotRun:
		asked.refuse(failure.Reason, asked.comeBack())
	case asked.interrupted():
		asked.fail(http.StatusBadGateway, "interrupted", shutdown.ErrInterrupted.Error())
	case asked.timeLeft() <= 0:
		asked.fail(http.StatusGatewayTimeout, "timed out", failure.Reason)
	default:
		asked.fail(http.StatusBadGateway, "failed", failure.Reason)
	}
}

// passOn writes a replica's answer to the client.
func (asked *request) passOn(answer *forward.Answer) {
	target := asked.writer.Header()
	for name, values := range headers.CopyEndToEnd(answer.Header) {
		target[name] = values
	}
	length := int64(len(answer.Body))
	if answer.Rest != nil {
		length = answer.Rest.Length()
	}
	if length >= 0 && asked.request.Method != http.MethodHead {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	asked.setWriteDeadline(asked.answerTime())
	asked.writer.WriteHeader(answer.Status)
	err := asked.writeAnswer(answer)
	if err != nil && asked.request.Method != http.MethodHead {
		asked.observe(answer.Status, "broken off", err.Error())
		panic(http.ErrAbortHandler)
	}
	asked.observe(answer.Status, "answered", "")
}

// refuse promises that the request has not run and never will. Nobody is told to wait for
// longer than a part of the time left: another daemon may serve the request within it.
func (asked *request) refuse(reason string, comeBack time.Duration) {
	asked.setRetryAfter(min(comeBack, max(asked.timeLeft()/comeBackPart, 0)))
	asked.fail(http.StatusServiceUnavailable, "refused", reason)
}

// refuseQuarantined promises that the request has not run, as replicas have ended under
// its content. The caller hears it at once, with a time to come back that no other daemon
// would shorten.
func (asked *request) refuseQuarantined(err *forward.QuarantinedError) {
	if name := asked.handler.Names.Quarantined; name != "" {
		asked.writer.Header().Set(name, strconv.Itoa(err.Ended))
	}
	asked.setRetryAfter(err.RetryAfter)
	asked.fail(http.StatusServiceUnavailable, "quarantined", err.Error())
}

func (asked *request) setRetryAfter(comeBack time.Duration) {
	asked.writer.Header().Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
}

// fail gives an answer of our own.
func (asked *request) fail(status int, outcome, reason string) {
	asked.write(status, asked.handler.Codec.EncodeError(reason))
	asked.observe(status, outcome, reason)
}

func (asked *request) write(status int, body []byte) {
	asked.writeHead(status, len(body))
	if err := asked.writeSlowly(body); err != nil {
		asked.logger.Debug("answer of our own not taken", zap.Error(err)) // it says nothing that counts for others
	}
}

// writeHead begins an answer of our own.
func (asked *request) writeHead(status, length int) {
	asked.writer.Header().Set("Content-Type", "application/json")
	asked.writer.Header().Set("Content-Length", strconv.Itoa(length))
	if asked.id != "" {
		asked.writer.Header().Set(asked.handler.Names.RequestID, asked.id)
	}
	asked.writer.WriteHeader(status)
}

// observe counts and logs the end of a request.
func (asked *request) observe(status int, outcome, reason string) {
	name := "none"
	if asked.route != nil {
		name = asked.route.Name
	}
	took := asked.held()
	asked.handler.Observer.Request(name, strconv.Itoa(status), outcome, took)
	asked.logger.Info("request", zap.String("route", name), zap.String("tenant", asked.tenantName()), zap.Int("status", status), zap.String("outcome", outcome),
		zap.String("reason", reason), zap.String("replica", asked.replica), zap.Int("attempts", asked.attempts), zap.Duration("took", took))
}
