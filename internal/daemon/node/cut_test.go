package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/route"
)

// testGrace is the grace of a planned stop in these tests.
const testGrace = 8 * time.Second

// pipeListener is a client listener on in-memory connections, under virtual time.
type pipeListener struct {
	*clientListener
	listener *connQueue
}

func newPipeListener(handler http.Handler) *pipeListener {
	l := newClientListener(shutdown.New(), zap.NewNop())
	l.handler = handler
	listener := &connQueue{connections: make(chan net.Conn), closed: make(chan struct{})}
	l.serve(listener)
	return &pipeListener{l, listener}
}

// dial returns a new client connection, or nil if the listener is closed.
func (d *pipeListener) dial() *persistentConn {
	near, far := net.Pipe()
	select {
	case d.listener.connections <- far:
		return &persistentConn{Conn: near, r: bufio.NewReader(near)}
	case <-d.listener.closed:
		return nil
	}
}

// closeNow stops the listener without waiting for requests.
func (d *pipeListener) closeNow() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	d.shutdown(ended)
}

// wholeHandler answers at once.
func wholeHandler(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// A planned stop must not close a connection that its client may still use, nor cut off a request
// that runs until the end of the grace.
func TestAStopCutsOffNoRequest(t *testing.T) {
	for tenths := 0; tenths <= 70; tenths += 5 {
		idleTime := time.Duration(tenths) * 100 * time.Millisecond
		t.Run(fmt.Sprintf("connection reused %v into the stop", idleTime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { requestDuringStop(t, idleTime) })
		})
	}
	t.Run("request in the receive buffer", bufferedRequestSurvivesClose)
	t.Run("request longer than the grace", func(t *testing.T) { synctest.Test(t, interruptedRequestIsAnswered) })
}

// requestDuringStop sends a request on a connection just before a stop, and another on the same
// connection after it has been idle for idleTime.
func requestDuringStop(t *testing.T, idleTime time.Duration) {
	is := is.New(t)
	d := newPipeListener(http.HandlerFunc(wholeHandler))
	defer d.closeNow()
	client := d.dial()
	first, err := client.get("/first")
	is.NoErr(err)
	is.True(!first.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testGrace)
	defer cancel()
	done := make(chan struct{})
	go func() {
		d.stop(ctx)
		close(done)
	}()
	synctest.Wait() // The stop has begun.
	time.Sleep(idleTime)
	if timeout, found := keepAliveTimeout(first); found && idleTime > timeout {
		// The Keep-Alive timeout has passed, so the client opens a new connection.
		_ = client.Close()
		<-done
		return
	}
	second, err := client.get("/second")
	is.NoErr(err)
	is.True(second.Close)
	<-done
}

// keepAliveTimeout returns the timeout in an answer's Keep-Alive header, and false if it has none.
func keepAliveTimeout(answer *http.Response) (time.Duration, bool) {
	seconds := 0
	if _, err := fmt.Sscanf(answer.Header.Get("Keep-Alive"), "timeout=%d", &seconds); err != nil {
		return 0, false
	}
	return time.Duration(seconds) * time.Second, true
}

// tcpPair returns both ends of a TCP connection over loopback.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// bufferedRequestSurvivesClose checks that a connection with unread data in its receive buffer is
// not closed as idle.
func bufferedRequestSurvivesClose(t *testing.T) {
	is := is.New(t)
	near, far := tcpPair(t)
	conns := newClientConns()
	accepted := time.Now()
	c := conns.add(far, accepted)
	_, err := io.WriteString(near, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	is.Equal(conns.closeIdleSince(accepted.Add(time.Hour)), 1)
	n, err := c.Read(make([]byte, 64))
	is.NoErr(err)
	is.Equal(n, 16)
}

// interruptedRequestIsAnswered checks that a handler that still waits at the end of the grace is
// interrupted and its answer sent.
func interruptedRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	d := newPipeListener(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
		wholeHandler(w, r)
	}))
	defer d.closeNow()
	client := d.dial()
	type result struct {
		answer *http.Response
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		answer, err := client.get("/")
		answered <- result{answer, err}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), testGrace)
	defer cancel()
	d.stop(ctx)
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.answer.StatusCode, http.StatusServiceUnavailable)
	is.True(got.answer.Close)
}

// A connection that is accepted at the end of the grace must not be closed before its request has
// arrived.
func TestConnectionAcceptedAtTheEndOfTheGraceIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newPipeListener(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-r.Context().Done()
			}
			wholeHandler(w, r)
		}))
		defer d.closeNow()
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		held := d.dial()
		go func() { _, _ = held.get("/held") }() // It keeps the stop from ending.
		done := make(chan struct{})
		go func() {
			d.stop(ctx)
			close(done)
		}()
		time.Sleep(testGrace - 20*time.Millisecond)
		client := d.dial()
		time.Sleep(70 * time.Millisecond)
		answer, err := client.get("/")
		is.NoErr(err)
		is.True(answer.Close)
		<-done
	})
}

// Clients rely on the idle limit now in force, so it must apply to connections that were accepted
// before it was raised; and a whole request in the receive buffer must be read although the read
// deadline has passed.
func TestOpenConnectionsFollowTheCurrentIdleLimit(t *testing.T) {
	t.Run("open connections use a raised idle limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newPipeListener(http.HandlerFunc(wholeHandler))
			defer d.closeNow()
			d.applyConfiguration(idleTimeoutConfiguration(1, 2*time.Second))
			client := d.dial()
			_, err := client.get("/")
			is.NoErr(err)
			d.applyConfiguration(idleTimeoutConfiguration(2, 20*time.Second))
			time.Sleep(5 * time.Second)
			_, err = client.get("/")
			is.NoErr(err)
		})
	})
	t.Run("data that arrived is read after the deadline", func(t *testing.T) {
		is := is.New(t)
		near, far := tcpPair(t)
		c := newClientConns().add(far, time.Now())
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\n")
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(-time.Second)))
		n, err := c.Read(make([]byte, 64))
		is.NoErr(err)
		is.Equal(n, 16)
		_, err = c.Read(make([]byte, 64))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

func idleTimeoutConfiguration(version int64, idle time.Duration) *route.Configuration {
	return &route.Configuration{Definition: route.Definition{Version: version, Limits: route.Limits{IdleTimeout: idle}}}
}
