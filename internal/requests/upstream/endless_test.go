package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/requests/http1"
)

// endlessPeer returns a connection to a peer that answers the first request with begin, followed by
// repeated until the connection is closed. written counts what was received of it.
func endlessPeer(t *testing.T, begin, repeated string) (conn *connection, written *atomic.Int64, closed <-chan struct{}) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // nothing reads it any more
	written, done := &atomic.Int64{}, make(chan struct{})
	go func() {
		defer close(done)
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		if _, err := io.WriteString(far, begin); err != nil {
			return
		}
		repeated = strings.Repeat(repeated, max(1, 1024/len(repeated)))
		for {
			count, err := io.WriteString(far, repeated)
			written.Add(int64(count))
			if err != nil {
				return
			}
		}
	}()
	return newConnection(newTestPool(), peerAddress, near), written, done
}

// Guards against a peer that sends bytes without end: what is not an answer, or belongs to another
// request, must be read up to a bound only, and the connection closed.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, repeated string
		want            error
		most            int64
	}{
		"status line":          {"HTTP/1.1 200 ", "x", ErrMalformed, http1.MaxSectionBytes},
		"no answer":            {"", "x", ErrMalformed, http1.MaxSectionBytes},
		"header line":          {"HTTP/1.1 200 OK\r\nX-Id: ", "a", ErrMalformed, http1.MaxSectionBytes},
		"headers":              {"HTTP/1.1 200 OK\r\n", "X-Id: a\r\n", ErrMalformed, http1.MaxSectionBytes},
		"informational":        {"", "HTTP/1.1 100 Continue\r\n\r\n", ErrMalformed, http1.MaxSectionBytes},
		"informational header": {"HTTP/1.1 100 Continue\r\n", "X-Id: a\r\n", ErrMalformed, http1.MaxSectionBytes},
		"other's answers":      {"", "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n", ErrForeignAnswer, http1.MaxSectionBytes},
		"other's body":         {"HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\n", "x", ErrForeignAnswer, maxForeignBytes},
		"other's chunks":       {"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", ErrForeignAnswer, 6 * maxForeignBytes},
		"chunk extension":      {chunked + "1;", "x", ErrMalformed, http1.MaxSectionBytes},
		"chunk extensions":     {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", ErrMalformed, http1.MaxSectionBytes},
		"trailer line":         {chunked + "0\r\n", "x", ErrMalformed, http1.MaxSectionBytes},
		"trailers":             {chunked + "0\r\n", "X-Id: a\r\n", ErrMalformed, http1.MaxSectionBytes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, written, closed := endlessPeer(t, c.begin, c.repeated)
			answer, err := conn.exchange(t.Context(), newRequest("a"))
			if err == nil {
				_, err = io.Copy(io.Discard, answer)
				answer.Close()
			}
			is.True(errors.Is(err, c.want))
			is.True(len(err.Error()) <= 2*maxErrorBytes)
			<-closed
			is.True(written.Load() <= c.most+2*readBufferBytes)
		})
	}
}

// A long body of an answer of one's own is read to its end.
func TestLongBodiesAreNotCutOff(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	body := strings.Repeat("x", 8*maxForeignBytes)
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, answerText("a", body)) // The reader checks what comes.
		}
		_ = far.Close() // nothing reads it any more
	}()
	answer, err := newConnection(newTestPool(), peerAddress, near).exchange(t.Context(), newRequest("a"))
	is.NoErr(err)
	defer answer.Close()
	got, err := io.ReadAll(answer)
	is.NoErr(err)
	is.Equal(len(got), len(body))
}

// The body of an answer that is not needed must not be waited for: without end, or without a byte.
func TestDiscardDoesNotWaitForTheEndOfABody(t *testing.T) {
	const begin = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\n\r\n"
	for name, repeated := range map[string]string{"bytes": "x", "silence": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var conn *connection
			var closed <-chan struct{}
			if repeated != "" {
				conn, _, closed = endlessPeer(t, begin, repeated)
			} else {
				near, far := net.Pipe()
				done := make(chan struct{})
				go func() {
					defer close(done)
					reader := bufio.NewReader(far)
					if _, err := http.ReadRequest(reader); err == nil {
						_, _ = io.WriteString(far, begin)
						_, _ = reader.ReadByte() // until the connection is closed
					}
				}()
				conn, closed = newConnection(newTestPool(), peerAddress, near), done
			}
			answer, err := conn.exchange(t.Context(), newRequest("a"))
			is.NoErr(err)
			answer.Discard()
			<-closed
		})
	}
}

// A connection whose discarded body ends just as its time is up must not be kept: it is being closed.
func TestAConnectionThatDiscardClosesIsNotKept(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nContent-Length: 2\r\n\r\n")
			time.Sleep(maxDiscardTime)
			_, _ = io.WriteString(far, "no")
		}
		_, _ = io.Copy(io.Discard, far) // until the connection is closed
	}()
	p := newTestPool()
	conn := newConnection(p, peerAddress, near)
	answer, err := conn.exchange(t.Context(), newRequest("a"))
	is.NoErr(err)
	answer.Discard()
	_, err = near.Write([]byte("x"))
	kept := p.IdleConnections(peerAddress) > 0
	is.Equal(kept, !errors.Is(err, io.ErrClosedPipe))
	_ = near.Close() // nothing uses it any more
}

// A short body that is discarded leaves the connection usable.
func TestADiscardedAnswerKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "declined"))
		}
	})
	p := newTestPool()
	for _, id := range []string{"a", "b", "c"} {
		answer, err := p.Exchange(t.Context(), address, newRequest(id))
		is.NoErr(err)
		answer.Discard()
	}
	is.Equal(p.Dials.Load(), uint64(1))
	time.Sleep(2 * maxDiscardTime) // the timers of Discard have stopped
	is.Equal(p.IdleConnections(address), 1)
}
