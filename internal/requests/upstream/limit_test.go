package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// The parts of all daemons never exceed a limit that has a place for each of them, and no
// daemon is shut out.
func TestConnectionSharesStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	for limit := 1; limit <= 600; limit++ {
		for _, daemons := range []int{1, 2, 3, 67, 91, 300, 770} {
			part := ConnectionShare(limit, daemons, 8, false)
			is.True(part >= 1)
			is.True(part*daemons <= limit || part == 1 && daemons > limit-limit/reserveDivisor)
			// As many owners as there are slots' worth of the limit find their engines' slots.
			is.True(ConnectionShare(limit, daemons, 8, true) >= min(8, limit))
		}
	}
	is.Equal(ConnectionShare(0, 67, 8, true), 0)
	is.Equal(ConnectionShare(430, 67, 8, false), 5)
	is.Equal(ConnectionShare(430, 67, 8, true), 8)
}

// peerAnsweringOn is a peer that answers each request when it is told to.
func peerAnsweringOn(t *testing.T, tell <-chan struct{}) netip.AddrPort {
	return startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body) // it is short
			<-tell
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// exchangeWithLimit sends a request that waits for a connection.
func exchangeWithLimit(t *testing.T, p *Pool, address netip.AddrPort, most int, wait time.Duration) error {
	req := newRequest("r")
	req.MaxOpen, req.ConnectionDeadline = most, time.Now().Add(wait)
	answer, err := p.Exchange(t.Context(), address, req)
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.ReadAll(answer)
	return err
}

// At the limit a request waits for a connection that another one gives back, and is told
// that it was not sent if none is free in time.
func TestARequestWaitsForAConnectionAtTheLimit(t *testing.T) {
	is := is.New(t)
	tell := make(chan struct{})
	address, p := peerAnsweringOn(t, tell), newTestPool()
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- exchangeWithLimit(t, p, address, 1, 0) }()
	for p.OpenConnections(address) == 0 {
		time.Sleep(time.Millisecond)
	}
	err := exchangeWithLimit(t, p, address, 1, 0)
	is.True(errors.Is(err, ErrFull))
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(p.Exhausted.Load(), uint64(1))
	go func() { second <- exchangeWithLimit(t, p, address, 1, time.Hour) }()
	tell <- struct{}{}
	is.NoErr(<-first)
	tell <- struct{}{}
	is.NoErr(<-second)
	is.Equal(p.Dials.Load(), uint64(1))
	is.Equal(p.OpenConnections(address), 1)
}

// Requests that come together make no more connections than allowed, those that fail to be
// made give their places back, and one whose caller has left is not sent.
func TestConcurrentRequestsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	tell := make(chan struct{})
	address, p := peerAnsweringOn(t, tell), newTestPool()
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			if err := exchangeWithLimit(t, p, address, 3, time.Hour); err != nil {
				t.Error(err)
			}
		})
	}
	for range 40 {
		tell <- struct{}{}
	}
	all.Wait()
	is.True(p.Dials.Load() <= 3)

	left, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.acquire(left, netip.MustParseAddrPort("127.0.0.1:1"), &Request{MaxOpen: 1})
	is.True(err != nil)
	is.Equal(p.OpenConnections(netip.MustParseAddrPort("127.0.0.1:1")), 0)
}

// Of the rest that a peer grants, a request that can't be repeated keeps well away from the
// end. One that can uses more of a short grant, and the connection rests on for it.
func TestRepeatableRequestsUseIdleConnectionsLonger(t *testing.T) {
	is := is.New(t)
	for granted, want := range map[string][2]time.Duration{
		"0": {0, 0}, "1": {600 * time.Millisecond, 900 * time.Millisecond}, "2": {1600 * time.Millisecond, 1800 * time.Millisecond}, "10": {9600 * time.Millisecond, 9600 * time.Millisecond},
	} {
		sure, rest := idleTimeouts(http.Header{"Keep-Alive": {"timeout=" + granted}})
		is.Equal([2]time.Duration{sure, rest}, want)
	}
	now := time.Now()
	p := NewPool(Options{})
	p.now = func() time.Time { return now }
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // it is not read any more
	p.open[peerAddress]++
	p.put(newConnection(p, peerAddress, near), now.Add(600*time.Millisecond), now.Add(900*time.Millisecond))
	now = now.Add(700 * time.Millisecond)
	conn, _ := p.tryAcquire(peerAddress, &Request{})
	is.True(conn == nil) // a new one is made
	is.True(p.IdleConnections(peerAddress) > 0)
	conn, _ = p.tryAcquire(peerAddress, &Request{Repeatable: true})
	is.True(conn != nil)
	p.put(conn, now, now.Add(200*time.Millisecond))
	// Where its place is needed it is closed for the request that can't be repeated.
	conn, _ = p.tryAcquire(peerAddress, &Request{MaxOpen: 2})
	is.True(conn != nil && !conn.usable(now, false))
	conn.close()
	is.Equal(p.OpenConnections(peerAddress), 1) // the place that was counted for the new one
}
