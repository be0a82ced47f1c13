package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/demo/process"
)

// peerAddress is the address of a peer that is never dialled.
var peerAddress = netip.MustParseAddrPort("127.0.0.1:1")

// startPeer starts a server that runs script on each connection.
func startPeer(t *testing.T, script func(conn net.Conn, reader *bufio.Reader, number int)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn), number)
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func newTestPool() *Pool {
	return NewPool(Options{ConnectTimeout: time.Second, UnackedTimeout: time.Second})
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x?a=%2F", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("body"), EchoHeader: "X-Id", EchoValue: id}
}

// exchangeBody sends a request and returns the whole body of its answer.
func exchangeBody(p *Pool, address netip.AddrPort, id string) (string, error) {
	answer, err := p.Exchange(context.Background(), address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func readRequest(reader *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), true
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, fmt.Sprint(number)))
		}
	})
	p := newTestPool()
	for i := 0; i < 5; i++ {
		body, err := exchangeBody(p, address, fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(body, "0")
	}
	is.Equal(p.Dials.Load(), uint64(1))
}

// A late answer to an earlier request is skipped, and the connection is not reused.
func TestAnswersToEarlierRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		id, _ := readRequest(reader)
		if number == 0 {
			_, _ = io.WriteString(conn, answerText("earlier", "wrong"))
		}
		_, _ = io.WriteString(conn, answerText(id, "right"))
		_, _ = readRequest(reader)
	})
	p := newTestPool()
	body, err := exchangeBody(p, address, "a")
	is.NoErr(err)
	is.Equal(body, "right")
	_, err = exchangeBody(p, address, "b")
	is.NoErr(err)
	is.Equal(p.Dials.Load(), uint64(2))
}

// A connection with unread bytes after an answer must not be reused.
func TestAConnectionWithStrayBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	answered, sent := make(chan struct{}), make(chan struct{})
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		id, _ := readRequest(reader)
		_, _ = io.WriteString(conn, answerText(id, "first"))
		if number == 0 {
			<-answered
			_, _ = io.WriteString(conn, answerText("b", "stray"))
			close(sent)
		}
		_, _ = readRequest(reader)
	})
	p := newTestPool()
	_, err := exchangeBody(p, address, "a")
	is.NoErr(err)
	close(answered)
	<-sent
	// On loopback, the bytes are readable as soon as the peer's write has returned.
	body, err := exchangeBody(p, address, "b")
	is.NoErr(err)
	is.Equal(body, "first")
}

func TestTruncatedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no head": "HTTP/1.1 200",
		"garbage": "this is no answer\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(conn, text)
			})
			_, err := exchangeBody(newTestPool(), address, "a")
			is.True(errors.Is(err, ErrNoAnswer))
		})
	}
}

// An answer without a length ends when the connection is closed, but not when it is reset.
func TestAResetIsNotTheEndOfABody(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
		if number == 1 {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	p := newTestPool()
	body, err := exchangeBody(p, address, "a")
	is.NoErr(err)
	is.Equal(body, "all of it")
	_, err = exchangeBody(p, address, "b")
	is.True(errors.Is(err, ErrNoAnswer))
}

// A peer may answer before it has read a long body. The connection must then not be reused, as
// the rest of the body may still be sent on it.
func TestEarlyAnswersDoNotMixRequests(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 4)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(req.Header.Get("X-Id"), "early"))
		body, _ := io.ReadAll(req.Body)
		got <- strings.Trim(string(body), "y")
	})
	p := newTestPool()
	for i := 0; i < 2; i++ {
		long := newRequest(fmt.Sprint(i))
		long.Body = []byte(strings.Repeat("y", 8<<20))
		answer, err := p.Exchange(context.Background(), address, long)
		is.NoErr(err)
		body, err := io.ReadAll(answer)
		is.NoErr(err)
		is.Equal(string(body), "early")
		answer.Close()
	}
	for i := 0; i < 2; i++ {
		is.Equal(<-got, "")
	}
}

func TestAClosedPortMeansNotSent(t *testing.T) {
	is := is.New(t)
	address, err := process.FreeAddress()
	is.NoErr(err)
	_, err = exchangeBody(newTestPool(), netip.MustParseAddrPort(address), "a")
	is.True(errors.Is(err, ErrNotSent))
}

// Cancelling the context closes the connection, so that the peer can stop working.
func TestCancellationClosesTheConnection(t *testing.T) {
	is := is.New(t)
	cut := make(chan struct{})
	address := startPeer(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		_, _ = readRequest(reader)
		_, _ = reader.ReadByte()
		close(cut)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := newTestPool().Exchange(ctx, address, newRequest("a"))
		done <- err
	}()
	time.Sleep(10 * time.Millisecond)
	cancel()
	is.True(<-done != nil)
	<-cut
}

// Guards against a request that is written to an idle connection although its context has ended,
// before the end of the context closes the connection.
func TestNothingIsSentForAnEndedContext(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int64
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			seen.Add(1)
			_, _ = io.WriteString(conn, answerText(id, "whole"))
		}
	})
	p := newTestPool()
	_, err := exchangeBody(p, address, "a")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Exchange(ctx, address, newRequest("b"))
	is.True(errors.Is(err, ErrNotSent))
	is.True(p.IdleConnections(address) > 0) // the connection was not used for it
	_, err = exchangeBody(p, address, "c")
	is.NoErr(err)
	is.Equal(seen.Load(), int64(2))
}

// CloseIdle closes the idle connections to one peer. Other peers and exchanges in progress are
// not affected.
func TestAPeerIsDialledAgainAfterCloseIdle(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	p := NewPool(Options{ConnectTimeout: time.Second, UnackedTimeout: time.Second})
	exchange := func() *Answer {
		answer, err := p.Exchange(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		is.NoErr(err)
		_, err = io.ReadAll(answer)
		is.NoErr(err)
		return answer
	}
	exchange().Close()
	inProgress := exchange()
	is.Equal(p.Dials.Load(), uint64(1))
	p.CloseIdle(address)
	p.CloseIdle(peerAddress)
	inProgress.Close()
	is.True(p.IdleConnections(address) > 0) // the peer answered after CloseIdle
	p.CloseIdle(address)
	is.True(p.IdleConnections(address) == 0)
	is.Equal(p.OpenConnections(address), 0)
	exchange().Close()
	is.Equal(p.Dials.Load(), uint64(2))
}
