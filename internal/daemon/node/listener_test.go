package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/route"
)

func startListener(t *testing.T, handler http.Handler) (*clientListener, string) {
	t.Helper()
	is := is.New(t)
	l := newClientListener(shutdown.New(), zap.NewNop())
	l.handler = handler
	is.NoErr(l.listen("127.0.0.1:0"))
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		l.shutdown(ended)
	})
	return l, l.listener.Addr().String()
}

// Shutdown must close the listener, or the accept loop that it waits for never ends.
func TestShutdownEndsWithoutRequests(t *testing.T) {
	l, _ := startListener(t, http.NotFoundHandler())
	l.applyConfiguration(&route.Configuration{Definition: route.Definition{Limits: route.Limits{MaxHeaderBytes: 8192}}})
	done := make(chan struct{})
	go func() {
		l.shutdown(context.Background())
		close(done)
	}()
	<-done
}

// A request in progress when the stop begins is answered in full, and later connections are
// refused.
func TestShutdownFinishesRequestUnderWay(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	l, address := startListener(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-leave
		_, _ = writer.Write([]byte("whole"))
	}))
	answer := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		answer <- string(body)
	}()
	<-entered
	l.drain()
	done := make(chan struct{})
	go func() {
		l.shutdown(context.Background())
		close(done)
	}()
	for {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	close(leave)
	is.Equal(<-answer, "whole")
	<-done
}

// Guards against an answer that was broken off looking whole to a client of HTTP/1.0, to which only the close
// of the connection ends a body.
func TestAbortedAnswerIsIncompleteInEachVersion(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			is := is.New(t)
			_, address := startListener(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("part"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			client := dialPersistent(t, address)
			_, err := io.WriteString(client, "GET / HTTP/"+version+"\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(client.r, nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			is.True(err != nil)
		})
	}
}

// A metrics address that is in use must not prevent a daemon from serving clients.
func TestAMetricsAddressInUseIsNotFatal(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	health := &healthServer{ready: func() (bool, string) { return true, "" }, metrics: http.NotFoundHandler(), quarantine: http.NotFoundHandler(), logger: zap.NewNop()}
	is.NoErr(health.listen("127.0.0.1:0", taken.Addr().String()))
	is.True(health.listen(taken.Addr().String(), "") != nil)
}

// persistentConn is a client connection that is used for several requests.
type persistentConn struct {
	net.Conn
	r *bufio.Reader
}

func dialPersistent(t *testing.T, address string) *persistentConn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &persistentConn{Conn: conn, r: bufio.NewReader(conn)}
}

func (k *persistentConn) get(path string) (*http.Response, error) {
	if _, err := io.WriteString(k, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// A stop must not close an idle connection at once, as its client may be sending a request: the
// next answer on it closes it.
func TestDrainAnswersOnceMoreOnOpenConnections(t *testing.T) {
	is := is.New(t)
	l, address := startListener(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	client := dialPersistent(t, address)
	first, err := client.get("/first")
	is.NoErr(err)
	is.True(!first.Close)
	l.drain()
	second, err := client.get("/second")
	is.NoErr(err)
	is.True(second.Close)
}

// Shutdown must close idle connections, or it would wait for their clients.
func TestShutdownClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	l, address := startListener(t, http.NotFoundHandler())
	client := dialPersistent(t, address)
	_, err := client.get("/")
	is.NoErr(err)
	l.drain()
	l.shutdown(context.Background())
	_, err = client.r.ReadByte()
	is.Equal(err, io.EOF)
}

// gatedConn blocks each Read until arrived is closed.
type gatedConn struct {
	net.Conn
	arrived chan struct{}
}

func (g gatedConn) Read(p []byte) (int, error) {
	<-g.arrived
	return copy(p, "GET / HTTP/1.1\r\n"), nil
}

func (g gatedConn) Close() error { return nil }

// A request whose bytes arrive while its connection is being closed must not reach the server: it
// would be forwarded, but could not be answered.
func TestNothingIsReadFromAClosedConnection(t *testing.T) {
	is := is.New(t)
	conns := newClientConns()
	gated := gatedConn{arrived: make(chan struct{})}
	accepted := time.Now()
	c := conns.add(gated, accepted)
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, 64))
		read <- n
	}()
	is.Equal(conns.closeIdleSince(accepted), 0)
	close(gated.arrived)
	is.Equal(<-read, 0)
}

// A connection with a request in progress, or one that has been idle only for a short time, must
// not be closed as idle.
func TestBusyConnectionIsNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	conns := newClientConns()
	gated := gatedConn{arrived: make(chan struct{})}
	close(gated.arrived)
	accepted := time.Now()
	c := conns.add(gated, accepted)
	n, err := c.Read(make([]byte, 64))
	is.NoErr(err)
	is.True(n > 0)
	is.Equal(conns.closeIdleSince(accepted.Add(time.Hour)), 1)
	answered := accepted.Add(time.Minute)
	c.markIdle(answered)
	is.Equal(conns.closeIdleSince(answered.Add(-time.Millisecond)), 1)
	is.Equal(conns.closeIdleSince(answered), 0)
}
