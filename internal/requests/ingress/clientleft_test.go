package ingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// Guards against further attempts between the client's close and the end of the request's context:
// the replica's answer may be read in between.
func TestNoAttemptOnceTheClientHasLeft(t *testing.T) {
	declines := func(w http.ResponseWriter) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fails := func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Stream} {
		for name, c := range map[string]struct {
			leftBefore bool
			answer     func(w http.ResponseWriter)
			attempts   int64
		}{
			"declined":     {false, declines, 1},
			"failed":       {false, fails, 1},
			"left earlier": {true, declines, 0},
		} {
			t.Run(fmt.Sprint(kind, " ", name), func(t *testing.T) {
				is := is.New(t)
				var left atomic.Bool
				var attempts atomic.Int64
				left.Store(c.leftBefore)
				table := replica.NewTable(time.Second, zap.NewNop())
				for _, id := range []string{"a", "b", "c"} {
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						attempts.Add(1)
						left.Store(true)
						w.Header().Set("Signature", "s")
						c.answer(w)
					}))
					t.Cleanup(server.Close)
					table.Set(replica.Entry{ID: id, Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1})
				}
				cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: kind,
					MaxAttempts: 3, Resumable: true, HedgeAfter: time.Minute, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
				is.NoErr(err)
				handler := newTestHandler(time.Now)
				handler.Names = headers.Names{RequestID: "Id", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", DeadlineMs: "Deadline", Signature: "Signature"}
				handler.Configuration = func() *route.Configuration { return cfg }
				setForwarder(handler, &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Table: table, Names: handler.Names,
					Pool: upstream.NewPool(upstream.Options{ConnectTimeout: time.Second}), Logger: zap.NewNop(),
					Quarantine: quarantine.New("m", time.Now, zap.NewNop()), Observe: func(string, string, time.Duration) {}})
				r := httptest.NewRequest(http.MethodPost, "/x", nil)
				r.Host = "h"
				ctx, cancel := WithClientLeft(r.Context(), left.Load)
				defer cancel()
				func() {
					defer func() { _ = recover() }() // http.ErrAbortHandler, unless an answer is passed on
					handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(ctx))
				}()
				is.Equal(attempts.Load(), c.attempts)
			})
		}
	}
}
