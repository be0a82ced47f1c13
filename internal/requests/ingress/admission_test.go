package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// newFullServiceTest returns a handler with one replica, which declines the given number of
// requests before it answers one, and the count of requests sent to the replica.
func newFullServiceTest(t *testing.T, declines int32, engine bool) (*Handler, *atomic.Int32) {
	t.Helper()
	asked := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signature", "s")
		if asked.Add(1) <= declines {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(server.Close)
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Set(replica.Entry{ID: "a", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 100})
	clock := clocktest.New()
	names := headers.Names{RequestID: "Id", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", DeadlineMs: "Deadline", Signature: "Signature"}
	cfg, err := route.New(route.Definition{Version: 1, Services: map[string]route.Service{"s": {Name: "s", IsEngine: engine}},
		Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.Unsafe, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	handler := newTestHandler(clock.Now)
	handler.Names, handler.Configuration = names, func() *route.Configuration { return cfg }
	setForwarder(handler, &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Pool: upstream.NewPool(upstream.Options{ConnectTimeout: time.Second}), Table: table, Names: names,
		Quarantine: quarantine.New("m", clock.Now, zap.NewNop()), Logger: zap.NewNop(), Observe: func(string, string, time.Duration) {}})
	return handler, asked
}

func sendWithDeadline(handler *Handler, deadline string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Deadline", deadline)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder
}

// A declined request has not run, so it is admitted again instead of refused.
func TestADeclinedRequestIsAdmittedAgain(t *testing.T) {
	is := is.New(t)
	handler, r := newFullServiceTest(t, 1, false)
	is.Equal(sendWithDeadline(handler, "20000").Code, http.StatusOK)
	is.Equal(r.Load(), int32(2))
}

// A request that is always declined is refused with a Retry-After after maxAdmissions.
func TestAdmissionsAreBounded(t *testing.T) {
	is := is.New(t)
	handler, r := newFullServiceTest(t, 1<<30, false)
	recorder := sendWithDeadline(handler, "20000")
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.Equal(r.Load(), int32(maxAdmissions))
	is.True(retryAfterOf(t, recorder.Header()) > 0)
	is.True(retryAfterOf(t, recorder.Header()) < refusal.CapRetryAfter(time.Hour, 20*time.Second))
}

// Engines queue requests themselves, so admission must not count their declines.
func TestCallsToEnginesSkipAdmission(t *testing.T) {
	is := is.New(t)
	handler, r := newFullServiceTest(t, 1<<30, true)
	is.Equal(sendWithDeadline(handler, "20000").Code, http.StatusServiceUnavailable)
	is.Equal(r.Load(), int32(1))
	is.Equal(handler.Admission.Count().FullServices, 0)
}

// A request with less time than an answer takes must be refused before it is sent.
func TestARequestWithTooLittleTimeIsNotSent(t *testing.T) {
	is := is.New(t)
	handler, r := newFullServiceTest(t, 1<<30, false)
	_ = sendWithDeadline(handler, "20000")
	before := r.Load()
	recorder := sendWithDeadline(handler, "60") // less than an answer is assumed to take before any was measured
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.Equal(r.Load(), before)
}

// A request whose client disconnects while it waits must not be answered or sent.
func TestAWaitingRequestOfAGoneClientIsNotSent(t *testing.T) {
	is := is.New(t)
	handler, r := newFullServiceTest(t, 1<<30, false)
	_ = sendWithDeadline(handler, "20000")
	before := r.Load()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	gone := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")).WithContext(ctx)
	gone.Host = "h"
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		handler.ServeHTTP(httptest.NewRecorder(), gone)
	}()
	is.Equal(r.Load(), before)
}
