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

// fullService is a handler before one replica that declines so many requests and then answers.
func fullService(t *testing.T, declines int32, engine bool) (*Handler, *atomic.Int32) {
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
	names := headers.Names{RequestID: "Id", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", DeadlineMs: "Deadline", Stamp: "Signature"}
	cfg, err := route.New(route.Definition{Version: 1, Services: map[string]route.Service{"s": {Name: "s", IsEngine: engine}},
		Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.Unsafe, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	handler := bare(clock.Now)
	handler.Names, handler.Configuration = names, func() *route.Configuration { return cfg }
	setForwarder(handler, &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Pool: upstream.NewPool(upstream.Options{ConnectTimeout: time.Second}), Table: table, Names: names,
		Quarantine: quarantine.New("m", clock.Now, zap.NewNop()), Logger: zap.NewNop(), Observe: func(string, string, time.Duration) {}})
	return handler, asked
}

func askFull(handler *Handler, deadline string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Deadline", deadline)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder
}

// A request that has certainly not run waits for its turn again, instead of being refused.
func TestADeclinedRequestHasItsTurnAgain(t *testing.T) {
	is := is.New(t)
	handler, r := fullService(t, 1, false)
	is.Equal(askFull(handler, "20000").Code, http.StatusOK)
	is.Equal(r.Load(), int32(2))
}

// However long it is declined, it is offered a few times, and refused with when to come back.
func TestTurnsAreBounded(t *testing.T) {
	is := is.New(t)
	handler, r := fullService(t, 1<<30, false)
	recorder := askFull(handler, "20000")
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.Equal(r.Load(), int32(mostTurns))
	is.True(secondsOf(t, recorder.Header()) > 0)
	is.True(secondsOf(t, recorder.Header()) < refusal.CapRetryAfter(time.Hour, 20*time.Second))
}

// Engines have queues of their own.
func TestEnginesAreNotAdmittedTo(t *testing.T) {
	is := is.New(t)
	handler, r := fullService(t, 1<<30, true)
	is.Equal(askFull(handler, "20000").Code, http.StatusServiceUnavailable)
	is.Equal(r.Load(), int32(1))
	is.Equal(handler.Admission.Count().FullServices, 0)
}

// A refusal promises that no replica was asked.
func TestARequestWithoutTimeIsNotSentToAFullService(t *testing.T) {
	is := is.New(t)
	handler, r := fullService(t, 1<<30, false)
	_ = askFull(handler, "20000")
	before := r.Load()
	recorder := askFull(handler, "60") // less than answers take before any is known
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.Equal(r.Load(), before)
}

// A client that leaves while its request waits gets no answer, and no replica the request.
func TestAClientLeavesWhileItsRequestWaits(t *testing.T) {
	is := is.New(t)
	handler, r := fullService(t, 1<<30, false)
	_ = askFull(handler, "20000")
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
