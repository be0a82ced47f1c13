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

// bare is a handler without replicas and routes, that bounds and counts nothing.
func bare(clock bootclock.Clock) *Handler {
	return &Handler{Clock: clock, Codec: plainCodec{}, Observe: unobserved, Logger: zap.NewNop(), Stop: newStop(), Holding: holding.New(holding.LimitsOf(0)),
		Retries: NoRetryPolicy{}, Unread: 5 * time.Second}
}

// setForwarder gives a handler the replicas of a forwarder.
func setForwarder(handler *Handler, forwarder *forward.Forwarder) {
	handler.Forwarder = forwarder
	handler.Admission = admission.New(admission.Options{Replicas: forwarder.Table.Replicas, Daemons: func() int { return 1 }, Clock: handler.Clock,
		Observe: func(string, string, time.Duration) {}, Logger: zap.NewNop()})
}

// askedOf returns a request for a route of a daemon that may be stopping, with where its
// answer goes.
func askedOf(ctx context.Context, stop *shutdown.Stop, kind route.Kind, timeout time.Duration) (*request, *httptest.ResponseRecorder) {
	recorder := httptest.NewRecorder()
	handler := bare(time.Now)
	handler.Stop = stop
	return &request{
		handler: handler, w: recorder, req: httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx),
		arrived: time.Now(), logger: zap.NewNop(), route: &route.Route{Kind: kind, Timeout: timeout},
	}, recorder
}

// A request that came late in a stop was taken whatever its time, and cut at the end of
// the grace. It is turned away at once if it might not end, and served if it does.
func TestALateRequestIsServedOnlyIfItEndsInTime(t *testing.T) {
	const grace = 8 * time.Second
	cases := map[string]struct {
		after   time.Duration
		kind    route.Kind
		timeout time.Duration
		served  bool
	}{
		"before the stop":           {-1, route.Stream, time.Minute, true},
		"early":                     {time.Second, route.Stream, time.Minute, true},
		"late and short":            {4 * time.Second, route.Safe, time.Second, true},
		"late and long":             {4 * time.Second, route.Safe, 10 * time.Second, false},
		"at the end":                {7 * time.Second, route.Safe, time.Second, false},
		"a submission in time":      {4 * time.Second, route.Batch, time.Minute, true},
		"a submission at the end":   {7 * time.Second, route.Batch, time.Minute, false},
		"without time of its own":   {4 * time.Second, route.Unsafe, 0, false},
		"after the grace was spent": {grace, route.Safe, time.Millisecond, false},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stop := newStop()
				if each.after >= 0 {
					stop.Begin(grace)
					time.Sleep(each.after)
				}
				r, recorder := askedOf(t.Context(), stop, each.kind, each.timeout)
				is.Equal(r.endsInTime(), each.served)
				if each.served {
					return
				}
				is.Equal(recorder.Code, http.StatusServiceUnavailable)
				is.True(recorder.Header().Get("Retry-After") != "")
			})
		})
	}
}

// A request that the end of a stop interrupts is answered with what is certain; one whose
// client has left is not.
func TestAnInterruptedRequestIsAnsweredWithWhatIsCertain(t *testing.T) {
	answered := func(failure *forward.Failure) int {
		stop := newStop()
		ctx, release := stop.Bound(t.Context())
		defer release()
		stop.Interrupt()
		<-ctx.Done()
		r, recorder := askedOf(ctx, stop, route.Unsafe, time.Minute)
		r.refusePlain(failure)
		return recorder.Code
	}
	is := is.New(t)
	is.Equal(answered(&forward.Failure{Certainty: forward.NotRun}), http.StatusServiceUnavailable)
	is.Equal(answered(&forward.Failure{Certainty: forward.MayHaveRun}), http.StatusBadGateway)
	left, leave := context.WithCancel(t.Context())
	leave()
	r, _ := askedOf(left, newStop(), route.Unsafe, time.Minute)
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	r.refusePlain(&forward.Failure{Certainty: forward.NotRun})
}

// A late request is turned away before its body is read or a replica is asked.
func TestTheHandlerTurnsLateRequestsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stop := newStop()
		stop.Begin(8 * time.Second)
		time.Sleep(4 * time.Second)
		cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{
			Name: "r", Host: "example.com", PathPrefix: "/x/", Kind: route.Stream, Timeout: time.Minute, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
		is.NoErr(err)
		handler := bare(time.Now)
		handler.Stop, handler.Configuration = stop, func() *route.Configuration { return cfg }
		recorder, late := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x/1", nil)
		handler.ServeHTTP(recorder, late)
		is.Equal(recorder.Code, http.StatusServiceUnavailable)
	})
}

// A stream that is interrupted before its first event is answered; one that has begun must
// not look complete.
func TestAnInterruptedStreamIsAnsweredIfItHasNotBegun(t *testing.T) {
	interrupted := func(ran int, began bool) (status int, panicked any) {
		stop := newStop()
		ctx, release := stop.Bound(t.Context())
		defer release()
		stop.Interrupt()
		<-ctx.Done()
		r, recorder := askedOf(ctx, stop, route.Stream, time.Minute)
		defer func() { status, panicked = recorder.Code, recover() }()
		(&streamRelay{request: r, mayHaveRun: ran, began: began}).giveUp()
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

// newStop is a stop that has not begun, by the clock of the test.
func newStop() *shutdown.Stop {
	stop := shutdown.New()
	stop.SetClock(time.Now)
	return stop
}
