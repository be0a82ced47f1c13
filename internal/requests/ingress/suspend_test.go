package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// suspendingBody is a request body. The machine is suspended during its first Read.
type suspendingBody struct {
	io.Reader
	clock *clocktest.Clock
	sleep time.Duration
}

func (s *suspendingBody) Read(buffer []byte) (int, error) {
	s.clock.Suspend(s.sleep)
	s.sleep = 0
	return s.Reader.Read(buffer)
}

// Guards against a clock that stops while the machine is suspended: the request would be sent
// with the time that it had left before the suspension, and run at a replica after its client
// has left.
func TestTimeSuspendedCountsAgainstTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name        string
		sleep       time.Duration
		status      int
		maxDeadline time.Duration
	}{
		{"awake", 0, http.StatusOK, 2 * time.Second},
		{"some time left", time.Second, http.StatusOK, time.Second},
		{"none left", 3 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			deadlineSent := ""
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				deadlineSent = r.Header.Get("Deadline")
				w.Header().Set("Signature", "s")
			}))
			t.Cleanup(server.Close)
			table := replica.NewTable(time.Second, zap.NewNop())
			table.Set(replica.Entry{ID: "a", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1})
			clock := clocktest.New()
			names := headers.Names{RequestID: "Id", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", DeadlineMs: "Deadline", Signature: "Signature"}
			cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.Unsafe,
				Shares: []route.Share{{Service: "s", Weight: 1}}}}})
			is.NoErr(err)
			handler := newTestHandler(clock.Now)
			handler.Names, handler.Configuration = names, func() *route.Configuration { return cfg }
			setForwarder(handler, &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Pool: upstream.NewPool(upstream.Options{ConnectTimeout: time.Second}), Table: table, Names: names,
				Quarantine: quarantine.New("m", clock.Now, zap.NewNop()), Logger: zap.NewNop(), Observe: func(string, string, time.Duration) {}})
			r := httptest.NewRequest(http.MethodPost, "/x", &suspendingBody{strings.NewReader("body"), clock, c.sleep})
			r.Host = "h"
			r.Header.Set("Deadline", "2000")
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			is.Equal(recorder.Code, c.status)
			deadline, _ := time.ParseDuration(deadlineSent + "ms")
			is.True(deadline <= c.maxDeadline)
			is.Equal(deadlineSent != "", c.status == http.StatusOK)
		})
	}
}
