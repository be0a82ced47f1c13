package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A peer counts the time for which a connection may rest from the end of its answer. Here
// it was counted from when the answer was given up, which a slow reader of the answer, or
// a process that stood still, does seconds later: the connection was taken up when the
// peer was about to close it, and a request that can't be repeated ended without an
// answer. It rests from when its answer was read whole.
func TestIdleTimeCountsFromTheEndOfTheAnswer(t *testing.T) {
	for _, held := range []time.Duration{0, time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
			p := NewPool(Options{})
			p.now = time.Now
			conn := newConnection(p, peerAddress, near)
			answer, err := conn.exchange(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			is.NoErr(err)
			_, err = io.ReadAll(answer)
			is.NoErr(err)
			time.Sleep(held)
			answer.Close()
			time.Sleep(2*time.Second - idleMargin - time.Second - time.Millisecond)
			none, cancel := context.WithCancel(t.Context())
			cancel() // a connection that is not there is not made
			_, err = p.acquire(none, peerAddress, &Request{})
			is.Equal(err == nil, held <= time.Second)
			conn.close()
			_ = far.Close() // it is not read any more
		})
	}
}

// What rests no longer is not counted, also before it is swept away: texts are sent where
// a connection may be used again.
func TestOnlyUsableConnectionsCountAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		p := NewPool(Options{})
		p.now = time.Now
		conn := newConnection(p, peerAddress, near)
		is.Equal(p.IdleConnections(peerAddress), 0)
		p.put(conn, time.Now().Add(time.Second), time.Now().Add(time.Second))
		is.Equal(p.IdleConnections(peerAddress), 1)
		time.Sleep(time.Second)
		is.Equal(p.IdleConnections(peerAddress), 0)
		conn.close()
		_ = far.Close() // it is not read any more
	})
}
