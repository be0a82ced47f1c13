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

// smallBuffers is a listener whose connections hold little in the system's buffers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(64 << 10)
	}
	return conn, err
}

func serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Listener = smallBuffers{server.Listener}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server
}

// outcomes hands out how requests ended.
type outcomes chan string

func (o outcomes) observe(_, _, outcome string, _ time.Duration) { o <- outcome }

// slow is a daemon with a replica whose clients read as they like.
type slow struct {
	*testing.T
	handler  *Handler
	outcomes outcomes
	daemon   *httptest.Server
	// ran counts the requests that the replica has begun, made those it has answered.
	ran, made chan struct{}
}

// newSlow starts a daemon that may hold some bytes, 0 being no bound, and its replica.
func newSlow(t *testing.T, kind route.Kind, most int64, answer http.HandlerFunc) *slow {
	t.Helper()
	s := &slow{T: t, outcomes: make(outcomes, 1000), ran: make(chan struct{}, 1000), made: make(chan struct{}, 1000)}
	server := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ran <- struct{}{}
		w.Header().Set("Signature", "s")
		answer(w, r)
		s.made <- struct{}{}
	}))
	table := replica.NewTable(time.Second, zap.NewNop())
	table.Set(replica.Entry{ID: "a", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1000})
	names := headers.Names{RequestID: "Id", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", DeadlineMs: "Deadline", Stamp: "Signature"}
	cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: kind, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	is.New(t).NoErr(err)
	s.handler = bare(time.Now)
	s.handler.Names, s.handler.Observe, s.handler.Configuration = names, s.outcomes.observe, func() *route.Configuration { return cfg }
	s.handler.Holding = holding.New(holding.LimitsOf(most))
	setForwarder(s.handler, &forward.Forwarder{MaxConnections: forward.UnboundedConnections, Pool: upstream.NewPool(upstream.Options{ConnectTimeout: 10 * time.Second}), Table: table, Names: names,
		Quarantine: quarantine.New("m", time.Now, zap.NewNop()), Logger: zap.NewNop(), Observe: func(string, string, time.Duration) {}})
	s.daemon = serve(t, s.handler)
	return s
}

// client is one that reads what the test reads.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// ask sends a request, and reads nothing.
func (s *slow) ask(target, body string) *client {
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

// read reads the answer to its end.
func (c *client) read() (status int, header http.Header, body []byte, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}

const kib = 1 << 10

// content is a text in which no part is like another.
func content(length int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len() < length; i++ {
		_, _ = fmt.Fprintf(&text, "%07d ", i)
	}
	return text.Bytes()[:length]
}

// Each answer that a client did not read was held whole. A daemon with 64 MB holds no more
// than its part of them, serves those that are prompt, and every client that reads in the
// end has its whole answer.
func TestSlowReadersLeaveRoomForPromptOnes(t *testing.T) {
	is := is.New(t)
	const memory, clients, length = 64 << 20, 60, 900 * kib
	big, small := content(length), content(800)
	limits := holding.LimitsOf(memory * 35 / 100)
	s := newSlow(t, route.Unsafe, limits.Total, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/big" {
			_, _ = w.Write(big)
			return
		}
		_, _ = w.Write(small)
	})
	var lazy []*client
	for range clients {
		lazy = append(lazy, s.ask("/big", ""))
		<-s.ran
	}
	for s.handler.Holding.Held(holding.Answers) < limits.PerCategory[holding.Answers]-length {
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		status, _, body, err := s.ask("/small", "").read()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(body, small))
	}
	for _, each := range lazy {
		status, _, body, err := each.read()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(body, big))
	}
	_, most := s.handler.Holding.Usage()
	is.True(most <= limits.Total)
	for now := int64(1); now > 0; now, _ = s.handler.Holding.Usage() {
		time.Sleep(time.Millisecond) // until the last handler has returned
	}
}

// A replica gives up an answer that is not read for some seconds. It is read as fast as it
// comes, also where the client reads nothing meanwhile.
func TestALongAnswerIsTakenFromItsReplica(t *testing.T) {
	is := is.New(t)
	long := content(14 << 20)
	s := newSlow(t, route.Unsafe, 64<<20, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(long) })
	lazy := s.ask("/", "")
	<-s.made
	status, _, body, err := lazy.read()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(bytes.Equal(body, long))
}

// Where all is held, a request is turned away at once, and has not run.
func TestARequestWithoutRoomIsTurnedAway(t *testing.T) {
	is := is.New(t)
	s := newSlow(t, route.Unsafe, 100*kib, func(http.ResponseWriter, *http.Request) {})
	for {
		if _, ok := s.handler.Holding.OpenAccount(kib); !ok {
			break
		}
	}
	status, header, _, err := s.ask("/", "").read()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(secondsOf(t, header), refusal.MemoryLimitReached.RetryAfter)
	is.Equal(len(s.ran), 0)
}

// A body for which there is no room stays with its client for a moment. If there is none
// then it is refused, and has not run; a body that can never fit is refused at once.
func TestABodyWaitsForRoom(t *testing.T) {
	for _, c := range []struct {
		name           string
		length, status int
		frees, took    time.Duration
	}{
		{"room comes", 50 * kib, 0, 95 * time.Millisecond, 100 * time.Millisecond},
		{"none comes", 50 * kib, http.StatusServiceUnavailable, time.Minute, roomWait},
		{"never fits", 80 * kib, http.StatusServiceUnavailable, time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, recorder := askedOf(t.Context(), nil, route.Unsafe, time.Hour)
				r.handler.Holding = holding.New(holding.LimitsOf(100 * kib))
				other, _ := r.handler.Holding.OpenAccount(0)
				is.True(other.Reserve(holding.Bodies, 60*kib))
				time.AfterFunc(c.frees, other.ReleaseAll)
				r.account, _ = r.handler.Holding.OpenAccount(0)
				text := content(c.length)
				r.req.Body, r.req.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
				began := time.Now()
				body, ok := r.readBody(kib * kib)
				is.Equal(time.Since(began), c.took)
				is.Equal(ok, c.status == 0)
				is.True(!ok || bytes.Equal(body, text))
				is.True(ok || recorder.Code == c.status && recorder.Header().Get("Retry-After") != "")
			})
		})
	}
}

// A stream that its client does not read was held, with its replica, for as long as the
// client liked. It ends as broken, never as complete, and no other replica is asked.
func TestAnUnreadStreamEndsAsBroken(t *testing.T) {
	is := is.New(t)
	s := newSlow(t, route.Stream, 0, func(w http.ResponseWriter, r *http.Request) {
		event := []byte("data: " + strings.Repeat("x", 2*kib) + "\n\n")
		for {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	})
	s.handler.Unread = 100 * time.Millisecond
	lazy := s.ask("/", "")
	is.Equal(<-s.outcomes, "broken off")
	_, _, body, err := lazy.read()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(len(body) > 0)
	<-s.made
	is.Equal(len(s.ran), 1)
}

// Results that nobody reads were held likewise.
func TestAnUnreadPageEndsItsConnection(t *testing.T) {
	is := is.New(t)
	s := newSlow(t, route.Unsafe, 64<<20, nil)
	s.handler.Unread = 100 * time.Millisecond
	page := content(2 << 20)
	s.daemon = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, _ := s.handler.Holding.OpenAccount(0)
		asked := &request{handler: s.handler, w: w, req: r, logger: zap.NewNop(), arrived: time.Now(), account: account}
		asked.writePage(page)
	}))
	lazy := s.ask("/", "")
	is.Equal(<-s.outcomes, "broken off")
	_, _, body, err := lazy.read()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(len(body) < len(page))
}
