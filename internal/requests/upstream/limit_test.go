package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// The shares of all daemons together must not exceed the limit, unless there are more daemons
// than connections, and each share is at least 1.
func TestConnectionSharesStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	for limit := 1; limit <= 600; limit++ {
		for _, daemons := range []int{1, 2, 3, 67, 91, 300, 770} {
			share := ConnectionShare(limit, daemons, 8, false)
			is.True(share >= 1)
			is.True(share*daemons <= limit || share == 1 && daemons > limit-limit/reserveDivisor)
			// With borrowing, a daemon can use every slot of the peer.
			is.True(ConnectionShare(limit, daemons, 8, true) >= min(8, limit))
		}
	}
	is.Equal(ConnectionShare(0, 67, 8, true), 0)
	is.Equal(ConnectionShare(430, 67, 8, false), 5)
	is.Equal(ConnectionShare(430, 67, 8, true), 8)
}

// peerAnsweringOn starts a peer that answers one request per value received from signal.
func peerAnsweringOn(t *testing.T, signal <-chan struct{}) netip.AddrPort {
	return startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body) // the body is short
			<-signal
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// limitedRequests numbers the requests of exchangeWithLimit.
var limitedRequests atomic.Int64

// exchangeWithLimit sends a request, with an id of its own, that waits up to the given time for a
// connection at the limit.
func exchangeWithLimit(t *testing.T, p *Pool, address netip.AddrPort, maxOpen int, wait time.Duration) error {
	req := newRequest(fmt.Sprint("r", limitedRequests.Add(1)))
	req.MaxOpen, req.ConnectionDeadline = maxOpen, time.Now().Add(wait)
	answer, err := p.Exchange(t.Context(), address, req)
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.ReadAll(answer)
	return err
}

// At the limit a request waits until another request returns its connection, and fails with
// ErrPoolExhausted if none is returned in time.
func TestARequestWaitsForAConnectionAtTheLimit(t *testing.T) {
	is := is.New(t)
	signal := make(chan struct{})
	address, p := peerAnsweringOn(t, signal), newTestPool()
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- exchangeWithLimit(t, p, address, 1, 0) }()
	for p.OpenConnections(address) == 0 {
		time.Sleep(time.Millisecond)
	}
	err := exchangeWithLimit(t, p, address, 1, 0)
	is.True(errors.Is(err, ErrPoolExhausted))
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(p.Exhausted.Load(), uint64(1))
	go func() { second <- exchangeWithLimit(t, p, address, 1, time.Hour) }()
	signal <- struct{}{}
	is.NoErr(<-first)
	signal <- struct{}{}
	is.NoErr(<-second)
	is.Equal(p.Dials.Load(), uint64(1))
	is.Equal(p.OpenConnections(address), 1)
}

// Concurrent requests must not exceed the limit, and a connection that could not be made must not
// stay counted.
func TestConcurrentRequestsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	signal := make(chan struct{})
	address, p := peerAnsweringOn(t, signal), newTestPool()
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			if err := exchangeWithLimit(t, p, address, 3, time.Hour); err != nil {
				t.Error(err)
			}
		})
	}
	for range 40 {
		signal <- struct{}{}
	}
	all.Wait()
	is.True(p.Dials.Load() <= 3)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.acquire(cancelled, netip.MustParseAddrPort("127.0.0.1:1"), &Request{MaxOpen: 1})
	is.True(err != nil)
	is.Equal(p.OpenConnections(netip.MustParseAddrPort("127.0.0.1:1")), 0)
}

// A request that can't be repeated must not use a connection shortly before the peer closes it.
// A repeatable request may use the connection longer, so the connection stays idle for it.
func TestRepeatableRequestsUseIdleConnectionsLonger(t *testing.T) {
	is := is.New(t)
	for announced, want := range map[string][2]time.Duration{
		"0": {0, 0}, "1": {600 * time.Millisecond, 900 * time.Millisecond}, "2": {1600 * time.Millisecond, 1800 * time.Millisecond}, "10": {9600 * time.Millisecond, 9600 * time.Millisecond},
	} {
		forAny, forRepeatable := idleTimeouts(http.Header{"Keep-Alive": {"timeout=" + announced}})
		is.Equal([2]time.Duration{forAny, forRepeatable}, want)
	}
	now := time.Now()
	p := NewPool(Options{})
	p.now = func() time.Time { return now }
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // nothing reads it any more
	p.open[peerAddress]++
	p.put(newConnection(p, peerAddress, near), now.Add(600*time.Millisecond), now.Add(900*time.Millisecond))
	now = now.Add(700 * time.Millisecond)
	conn, _ := p.tryAcquire(peerAddress, &Request{})
	is.True(conn == nil) // a new one is dialled
	is.True(p.IdleConnections(peerAddress) > 0)
	conn, _ = p.tryAcquire(peerAddress, &Request{Repeatable: true})
	is.True(conn != nil)
	p.put(conn, now, now.Add(200*time.Millisecond))
	// At the limit, a request that can't be repeated gets the connection too, to close it.
	conn, _ = p.tryAcquire(peerAddress, &Request{MaxOpen: 2})
	is.True(conn != nil && !conn.usable(now, false))
	conn.close()
	is.Equal(p.OpenConnections(peerAddress), 1) // the one that was counted for dialling
}
