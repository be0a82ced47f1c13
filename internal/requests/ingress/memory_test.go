package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// smallBufferListener accepts connections with a small send buffer in the kernel.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(64 << 10)
	}
	return conn, err
}

func serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Listener = smallBufferListener{server.Listener}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server
}

// outcomes receives the outcome of each request.
type outcomes chan string

func (o outcomes) observe(_, _, outcome string, _ time.Duration) { o <- outcome }

// slowClientTest is a daemon with one replica, for tests that decide when a client reads.
type slowClientTest struct {
	*testing.T
	handler  *Handler
	outcomes outcomes
	daemon   *httptest.Server
	// started receives a value for each request that the replica has started, answered one for
	// each request that it has answered.
	started, answered chan struct{}
}

// newSlowClientTest starts a replica, and a daemon with a memory budget of the given number of
// bytes. A budget of 0 means none.
func newSlowClientTest(t *testing.T, kind route.Kind, budget int64, answer http.HandlerFunc) *slowClientTest {
	t.Helper()
	s := &slowClientTest{T: t, outcomes: make(outcomes, 1000), started: make(chan struct{}, 1000), answered: make(chan struct{}, 1000)}
	server := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.started <- struct{}{}
		w.Header().Set("Signature", "s")
		answer(w, r)
		s.answered <- struct{}{}
	}))
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Set(replica.Entry{ID: "a", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1000})
	names := headers.Names{RequestID: "Id", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", DeadlineMs: "Deadline", Signature: "Signature"}
	cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: kind, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	is.New(t).NoErr(err)
	s.handler = newTestHandler(time.Now)
	s.handler.Names, s.handler.Observe, s.handler.Configuration = names, s.outcomes.observe, func() *route.Configuration { return cfg }
	s.handler.MemoryBudget = holding.New(holding.LimitsOf(budget))
	setForwarder(s.handler, &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Pool: upstream.NewPool(upstream.Options{ConnectTimeout: 10 * time.Second}), Table: table, Names: names,
		Quarantine: quarantine.New("m", time.Now, zap.NewNop()), Logger: zap.NewNop(), Observe: func(string, string, time.Duration) {}})
	s.daemon = serve(t, s.handler)
	return s
}

// client is a client that only reads when the test does.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// send sends a request and reads nothing.
func (s *slowClientTest) send(target, body string) *client {
	s.Helper()
	dialer := net.Dialer{}
	conn, err := dialer.Dial("tcp4", s.daemon.Listener.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nDeadline: 600000\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
	if err != nil {
		s.Fatal(err)
	}
	return &client{conn, bufio.NewReader(conn)}
}

// readAnswer reads the whole answer.
func (c *client) readAnswer() (status int, header http.Header, body []byte, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}

const kib = 1 << 10

// uniqueText returns a text without repetitions, so that a lost or repeated part changes it.
func uniqueText(length int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len() < length; i++ {
		_, _ = fmt.Fprintf(&text, "%07d ", i)
	}
	return text.Bytes()[:length]
}

// Guards against slow clients that use up the memory budget: fast clients must still be served,
// and slow ones must receive their whole answers in the end.
func TestSlowClientsLeaveMemoryForFastOnes(t *testing.T) {
	is := is.New(t)
	const memory, clients, length = 64 << 20, 60, 900 * kib
	big, small := uniqueText(length), uniqueText(800)
	limits := holding.LimitsOf(memory * 35 / 100)
	s := newSlowClientTest(t, route.Unsafe, limits.Total, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/big" {
			_, _ = w.Write(big)
			return
		}
		_, _ = w.Write(small)
	})
	var slow []*client
	for range clients {
		slow = append(slow, s.send("/big", ""))
		<-s.started
	}
	for s.handler.MemoryBudget.Held(holding.Answers) < limits.PerCategory[holding.Answers]-length {
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		status, _, body, err := s.send("/small", "").readAnswer()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(body, small))
	}
	for _, each := range slow {
		status, _, body, err := each.readAnswer()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(body, big))
	}
	_, most := s.handler.MemoryBudget.Usage()
	is.True(most <= limits.Total)
	for now := int64(1); now > 0; now, _ = s.handler.MemoryBudget.Usage() {
		time.Sleep(time.Millisecond) // until the last handler has returned
	}
}

// Guards against an answer that is left unread at its replica because the client reads nothing.
// Replicas abort answers that are not read for some seconds.
func TestALongAnswerIsReadAheadOfASlowClient(t *testing.T) {
	is := is.New(t)
	long := uniqueText(14 << 20)
	s := newSlowClientTest(t, route.Unsafe, 64<<20, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(long) })
	slow := s.send("/", "")
	<-s.answered
	status, _, body, err := slow.readAnswer()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(bytes.Equal(body, long))
}

// A request must be refused before it is sent if the budget has no memory for it.
func TestARequestIsRefusedWithoutFreeMemory(t *testing.T) {
	is := is.New(t)
	s := newSlowClientTest(t, route.Unsafe, 100*kib, func(http.ResponseWriter, *http.Request) {})
	for {
		if _, ok := s.handler.MemoryBudget.OpenAccount(kib); !ok {
			break
		}
	}
	status, header, _, err := s.send("/", "").readAnswer()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(retryAfterOf(t, header), refusal.MemoryLimitReached.RetryAfter)
	is.Equal(len(s.started), 0)
}

// A body waits up to maxMemoryWait for memory and is then refused. A body that exceeds the whole
// budget is refused at once.
func TestABodyWaitsForMemory(t *testing.T) {
	for _, c := range []struct {
		name                string
		length, status      int
		releasedAfter, wait time.Duration
	}{
		{"memory is released", 50 * kib, 0, 95 * time.Millisecond, 100 * time.Millisecond},
		{"none is released", 50 * kib, http.StatusServiceUnavailable, time.Minute, maxMemoryWait},
		{"exceeds the budget", 80 * kib, http.StatusServiceUnavailable, time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, recorder := newTestRequest(t.Context(), nil, route.Unsafe, time.Hour)
				r.handler.MemoryBudget = holding.New(holding.LimitsOf(100 * kib))
				other, _ := r.handler.MemoryBudget.OpenAccount(0)
				is.True(other.Reserve(holding.Bodies, 60*kib))
				time.AfterFunc(c.releasedAfter, other.ReleaseAll)
				r.account, _ = r.handler.MemoryBudget.OpenAccount(0)
				text := uniqueText(c.length)
				r.req.Body, r.req.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
				began := time.Now()
				body, ok := r.readBody(kib * kib)
				is.Equal(time.Since(began), c.wait)
				is.Equal(ok, c.status == 0)
				is.True(!ok || bytes.Equal(body, text))
				is.True(ok || recorder.Code == c.status && recorder.Header().Get("Retry-After") != "")
			})
		})
	}
}

// Guards against a client that reads nothing and so occupies a replica indefinitely. Its stream
// must be aborted, not ended regularly, and must not be tried at another replica.
func TestAnUnreadStreamIsAborted(t *testing.T) {
	is := is.New(t)
	s := newSlowClientTest(t, route.Stream, 0, func(w http.ResponseWriter, r *http.Request) {
		event := []byte("data: " + strings.Repeat("x", 2*kib) + "\n\n")
		for {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	})
	s.handler.WriteTimeout = 100 * time.Millisecond
	slow := s.send("/", "")
	is.Equal(<-s.outcomes, "broken off")
	_, _, body, err := slow.readAnswer()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(len(body) > 0)
	<-s.answered
	is.Equal(len(s.started), 1)
}

// Guards against pages of results that stay in memory because their client reads nothing.
func TestAnUnreadPageIsAborted(t *testing.T) {
	is := is.New(t)
	s := newSlowClientTest(t, route.Unsafe, 64<<20, nil)
	s.handler.WriteTimeout = 100 * time.Millisecond
	page := uniqueText(2 << 20)
	s.daemon = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, _ := s.handler.MemoryBudget.OpenAccount(0)
		asked := &request{handler: s.handler, w: w, req: r, logger: zap.NewNop(), arrived: time.Now(), account: account}
		asked.writePage(page)
	}))
	slow := s.send("/", "")
	is.Equal(<-s.outcomes, "broken off")
	_, _, body, err := slow.readAnswer()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(len(body) < len(page))
}
