package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/route"
)

// newTestHandler returns a handler without routes, replicas and limits.
func newTestHandler(clock bootclock.Clock) *Handler {
	return &Handler{Clock: clock, Codec: plainCodec{}, Observe: ignoreAnswer, Logger: zap.NewNop(), Stop: newStop(), MemoryBudget: holding.New(holding.LimitsOf(0)),
		Retries: NoRetryPolicy{}, WriteTimeout: 5 * time.Second}
}

// setForwarder sets the handler's forwarder, and an admission controller for its replicas.
func setForwarder(handler *Handler, forwarder *forward.Forwarder) {
	handler.Forwarder = forwarder
	handler.Admission = admission.New(admission.Options{Replicas: forwarder.Table.Replicas, Daemons: func() int { return 1 }, Clock: handler.Clock,
		Observe: func(string, string, time.Duration) {}, Logger: zap.NewNop()})
}

// newTestRequest returns a request for a route at a daemon with the given stop, and the recorder
// of its answer.
func newTestRequest(ctx context.Context, stop *shutdown.Stop, kind route.Kind, timeout time.Duration) (*request, *httptest.ResponseRecorder) {
	recorder := httptest.NewRecorder()
	handler := newTestHandler(time.Now)
	handler.Stop = stop
	return &request{
		handler: handler, w: recorder, req: httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx),
		arrived: time.Now(), logger: zap.NewNop(), route: &route.Route{Kind: kind, Timeout: timeout},
	}, recorder
}

// Guards against requests that are accepted during a planned stop and then interrupted by its
// end.
func TestDuringAStopOnlyRequestsThatFitAreServed(t *testing.T) {
	const grace = 8 * time.Second
	cases := map[string]struct {
		after   time.Duration
		kind    route.Kind
		timeout time.Duration
		served  bool
	}{
		"before the stop":                {-1, route.Stream, time.Minute, true},
		"early":                          {time.Second, route.Stream, time.Minute, true},
		"late and short":                 {4 * time.Second, route.Safe, time.Second, true},
		"late and long":                  {4 * time.Second, route.Safe, 10 * time.Second, false},
		"at the end":                     {7 * time.Second, route.Safe, time.Second, false},
		"a submission in time":           {4 * time.Second, route.Batch, time.Minute, true},
		"a submission at the end":        {7 * time.Second, route.Batch, time.Minute, false},
		"without a timeout of its route": {4 * time.Second, route.Unsafe, 0, false},
		"after the grace was spent":      {grace, route.Safe, time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stop := newStop()
				if c.after >= 0 {
					stop.Begin(grace)
					time.Sleep(c.after)
				}
				r, recorder := newTestRequest(t.Context(), stop, c.kind, c.timeout)
				is.Equal(r.fitsBeforeStop(), c.served)
				if c.served {
					return
				}
				is.Equal(recorder.Code, http.StatusServiceUnavailable)
				is.True(recorder.Header().Get("Retry-After") != "")
			})
		})
	}
}

// A request that the end of a stop interrupts gets the status of its failure. If the client of a
// request has disconnected, the request is aborted instead.
func TestInterruptedRequestsAreAnswered(t *testing.T) {
	answered := func(failure *forward.Failure) int {
		stop := newStop()
		ctx, release := stop.Bound(t.Context())
		defer release()
		stop.Interrupt()
		<-ctx.Done()
		r, recorder := newTestRequest(ctx, stop, route.Unsafe, time.Minute)
		r.refusePlain(failure)
		return recorder.Code
	}
	is := is.New(t)
	is.Equal(answered(&forward.Failure{Certainty: forward.NotRun}), http.StatusServiceUnavailable)
	is.Equal(answered(&forward.Failure{Certainty: forward.MayHaveRun}), http.StatusBadGateway)
	left, leave := context.WithCancel(t.Context())
	leave()
	r, _ := newTestRequest(left, newStop(), route.Unsafe, time.Minute)
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	r.refusePlain(&forward.Failure{Certainty: forward.NotRun})
}

// A request that may outlast the stop is refused before its body is read or a replica is chosen.
func TestTheHandlerRefusesRequestsThatOutlastTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stop := newStop()
		stop.Begin(8 * time.Second)
		time.Sleep(4 * time.Second)
		cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{
			Name: "r", Host: "example.com", PathPrefix: "/x/", Kind: route.Stream, Timeout: time.Minute, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
		is.NoErr(err)
		handler := newTestHandler(time.Now)
		handler.Stop, handler.Configuration = stop, func() *route.Configuration { return cfg }
		recorder, late := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x/1", nil)
		handler.ServeHTTP(recorder, late)
		is.Equal(recorder.Code, http.StatusServiceUnavailable)
	})
}

// A stream that is interrupted before its first event gets a status. A stream that has begun is
// aborted, so that it does not look complete.
func TestInterruptedStreamsAreAnsweredOrAborted(t *testing.T) {
	interrupted := func(ran int, began bool) (status int, panicked any) {
		stop := newStop()
		ctx, release := stop.Bound(t.Context())
		defer release()
		stop.Interrupt()
		<-ctx.Done()
		r, recorder := newTestRequest(ctx, stop, route.Stream, time.Minute)
		defer func() { status, panicked = recorder.Code, recover() }()
		(&streamRelay{request: r, mayHaveRun: ran, headWritten: began}).giveUp()
		return 0, nil
	}
	is := is.New(t)
	status, panicked := interrupted(0, false)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(panicked, nil)
	status, panicked = interrupted(1, false)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(panicked, nil)
	_, panicked = interrupted(1, true)
	is.Equal(panicked, http.ErrAbortHandler)
}

// newStop returns a stop that has not begun and uses the test's clock.
func newStop() *shutdown.Stop {
	stop := shutdown.New()
	stop.SetClock(time.Now)
	return stop
}
