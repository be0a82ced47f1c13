package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// startCopyingPeer starts a peer that declines the first request and answers the others with the
// number of their connection. On each connection it sends the answer before once more where the next
// one is due.
func startCopyingPeer(t *testing.T) netip.AddrPort {
	declined := make(chan struct{}, 1)
	declined <- struct{}{}
	return startPeer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		before := ""
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			text := answerText(id, fmt.Sprint(number))
			select {
			case <-declined:
				text = "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
			default:
			}
			_, _ = io.WriteString(conn, before+text)
			before = text
		}
	})
}

// statusOf sends a request and returns the status of its answer.
func statusOf(t *testing.T, p *Pool, address netip.AddrPort, req *Request) int {
	t.Helper()
	answer, err := p.Exchange(t.Context(), address, req)
	is.New(t).NoErr(err)
	defer answer.Close()
	_, err = io.ReadAll(answer)
	is.New(t).NoErr(err)
	return answer.Status
}

// Guards against a late copy of an answer that counts as the answer to the next request with the same
// id: a request that was declined and then run would be taken for declined again.
func TestACopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for _, between := range []int{0, 1} {
		is := is.New(t)
		address, p := startCopyingPeer(t), newTestPool()
		is.Equal(statusOf(t, p, address, newRequest("a")), http.StatusServiceUnavailable)
		for i := range between {
			is.Equal(statusOf(t, p, address, newRequest(fmt.Sprint("other", i))), http.StatusOK)
		}
		is.Equal(statusOf(t, p, address, newRequest("a")), http.StatusOK)
		is.Equal(p.Dials.Load(), uint64(2))
	}
}

// At the limit of connections, the one that has carried the id makes room for a new one.
func TestAnIDIsSentAgainAtTheLimitOfConnections(t *testing.T) {
	is := is.New(t)
	address, p := startCopyingPeer(t), newTestPool()
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
		req := newRequest("a")
		req.MaxOpen, req.ConnectionDeadline = 1, time.Now().Add(time.Minute)
		is.Equal(statusOf(t, p, address, req), want)
		is.Equal(p.OpenConnections(address), 1)
	}
}

// An answer without an id can't be told from one to an earlier request, unless there was none.
func TestAnAnswerWithoutAnIDCountsOnlyOnANewConnection(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			text := answerText(id, "named")
			if id == "unnamed" {
				text = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nunnamed"
			}
			_, _ = io.WriteString(conn, text)
		}
	})
	p := newTestPool()
	body, err := exchangeBody(p, address, "unnamed")
	is.NoErr(err)
	is.Equal(body, "unnamed")
	body, err = exchangeBody(p, address, "b")
	is.NoErr(err)
	is.Equal(body, "named")
	is.Equal(p.Dials.Load(), uint64(2)) // the first connection was not reused
	_, err = exchangeBody(p, address, "unnamed")
	is.True(errors.Is(err, ErrForeignAnswer))
	is.Equal(p.Dials.Load(), uint64(2))
}

// Requests without an id must not get the answers of requests with one, nor those theirs. An order must
// not get the answer to the order before: on its connection a read comes between the two.
func TestRequestsWithoutAnIDShareNoConnectionWithOthers(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		before := ""
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Path: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"), req.URL.Path)
			_, _ = io.WriteString(conn, before+text)
			before = text
		}
	})
	p := newTestPool()
	pathOf := func(req *Request) string {
		answer, err := p.Exchange(context.Background(), address, req)
		is.NoErr(err)
		defer answer.Close()
		_, err = io.ReadAll(answer)
		is.NoErr(err)
		return answer.Header.Get("X-Path")
	}
	for i := range 3 {
		is.Equal(pathOf(newRequest(fmt.Sprint(i))), "/x")
	}
	order := func() string {
		return pathOf(&Request{Method: http.MethodPost, Target: "/order", Host: "h", Sharing: SharedAfterReads})
	}
	read := func() string {
		return pathOf(&Request{Method: http.MethodGet, Target: "/state", Host: "h", Sharing: SharedByReads})
	}
	is.Equal(read(), "/state")  // on a connection of its own
	is.Equal(order(), "/state") // a copy of the read's answer, which the caller tells apart
	is.Equal(order(), "/order") // on a new connection, as the answer of the one before is left over
	is.Equal(order(), "/order") // on a new connection again
	is.Equal(p.reads.Dials.Load(), uint64(3))
	p.CloseIdle(address)
	is.Equal(p.OpenConnections(address)+p.reads.OpenConnections(address), 0)
}

// Where nothing is sent twice, reads and orders of a peer need one connection.
func TestOrdersUseTheConnectionsOfReads(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "answer"))
		}
	})
	p := newTestPool()
	for range 5 {
		is.Equal(statusOf(t, p, address, &Request{Method: http.MethodGet, Target: "/state", Host: "h", Sharing: SharedByReads}), http.StatusOK)
		is.Equal(statusOf(t, p, address, &Request{Method: http.MethodPost, Target: "/order", Host: "h", Sharing: SharedAfterReads}), http.StatusOK)
	}
	is.Equal(p.Connections(), uint64(1))
	is.Equal(statusOf(t, p, address, &Request{Method: http.MethodPost, Target: "/order", Host: "h", Sharing: SharedAfterReads}), http.StatusOK)
	is.Equal(p.Connections(), uint64(2)) // never one after the other
}

// A connection remembers a bounded number of ids.
func TestCarriedIDsAreBounded(t *testing.T) {
	is := is.New(t)
	var carried carriedIDs
	for i := range 10 * maxCarriedIDs {
		carried.add(idHash(newRequest(fmt.Sprint(i))))
		is.True(len(carried.hashes) <= maxCarriedIDs)
		for j := max(0, i-maxCarriedIDs+1); j <= i; j++ {
			is.True(carried.has(idHash(newRequest(fmt.Sprint(j)))))
		}
	}
	is.True(!carried.has(idHash(&Request{})))
}
