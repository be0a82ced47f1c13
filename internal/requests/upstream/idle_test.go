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

// Guards against an idle timeout that counts from Close instead of the end of the answer: a slow
// reader would return the connection just before the peer closes it.
func TestIdleTimeCountsFromTheEndOfTheAnswer(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 3 * time.Second} {
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
			time.Sleep(delay)
			answer.Close()
			time.Sleep(2*time.Second - idleMargin - time.Second - time.Millisecond)
			cancelled, cancel := context.WithCancel(t.Context())
			cancel() // prevents dialling
			_, err = p.acquire(cancelled, peerAddress, &Request{})
			is.Equal(err == nil, delay <= time.Second)
			conn.close()
			_ = far.Close() // nothing reads it any more
		})
	}
}

// Guards against counting expired connections that CloseExpired has not closed yet.
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
		_ = far.Close() // nothing reads it any more
	})
}
