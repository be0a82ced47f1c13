package node

import (
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/recvbuf"
)

// clientConn is a client's connection that can be closed between two requests
// without cutting one off.
//
// Invariant: once it is closed, nothing more is read from it. A request that
// crosses the close is therefore never passed on to a replica: net/http alone
// may run its handler, as it marks a connection busy only when the whole head of
// a request has been read.
type clientConn struct {
	net.Conn
	set *clientConns

	mu sync.Mutex
	// handling: a request is being answered.
	handling bool
	// requestBeganAt is when the first byte of a request was read that is not handled yet, or
	// zero.
	requestBeganAt time.Time
	closed         bool
	// idleSince is when it was accepted or last became idle, idleLimit the limit that
	// was in force then.
	idleSince time.Time
	idleLimit time.Duration
}

// Read implements net.Conn. A deadline that passed while the process stood still hides
// no bytes that have arrived meanwhile: the client has sent them in time.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if n = recvbuf.Take(c.Conn, p); n > 0 {
			err = nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && c.requestBeganAt.IsZero() {
		c.requestBeganAt = time.Now()
	}
	return n, err
}

// CloseWrite lets the server end its side first where it does not read a request to its
// end: a close at once would reset the answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// markHandling notes that the head of a request has been read. The request may have come with
// the one before it, without a further read of the connection.
func (c *clientConn) markHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.set.remove(c)
	return c.Conn.Close()
}

// markIdle notes that no request is under way.
func (c *clientConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.requestBeganAt = false, time.Time{}
	c.idleSince, c.idleLimit = now, c.set.limits.Load().idle
}

// closeIfIdleSince closes the connection if it has been idle since the given time and no
// request lies in its buffer: on a busy machine one may lie there for a while before it
// is read.
func (c *clientConn) closeIfIdleSince(since time.Time) {
	c.closeIf(func() bool {
		return !c.handling && c.requestBeganAt.IsZero() && !c.idleSince.After(since) && recvbuf.Look(c.Conn) != recvbuf.Waiting
	})
}

// closeIfStalled closes the connection if a request has begun on it and its head has not
// come for longer than the limit: net/http bounds that only from the fourth byte on.
func (c *clientConn) closeIfStalled(now time.Time, limit time.Duration) {
	c.closeIf(func() bool { return !c.handling && !c.requestBeganAt.IsZero() && now.Sub(c.requestBeganAt) > limit })
}

// closeIf closes the connection if a condition holds, which is asked with the mutex held: nothing is
// read from then on.
func (c *clientConn) closeIf(holds func() bool) {
	c.mu.Lock()
	closing := holds()
	c.closed = c.closed || closing
	c.mu.Unlock()
	if closing {
		_ = c.Close() // its client has nothing under way on it
	}
}

// closeIfExpired closes the connection if it has been idle for longer than the limit in
// force and than the one that was in force as it became idle: its client may know either.
func (c *clientConn) closeIfExpired(now time.Time, limit time.Duration) {
	c.mu.Lock()
	limit = max(limit, c.idleLimit)
	c.mu.Unlock()
	c.closeIfIdleSince(now.Add(-limit))
}

// connLimits are the limits of connections without a request under way.
type connLimits struct {
	// idle is how long a connection may rest, head how long the head of a request may
	// take.
	idle, head time.Duration
}

// clientConns are the open connections of a listener. It is safe for concurrent
// use; its lock is taken after that of no connection.
type clientConns struct {
	limits atomic.Pointer[connLimits]

	mu   sync.Mutex
	open map[*clientConn]struct{}
}

func newClientConns() *clientConns {
	s := &clientConns{open: map[*clientConn]struct{}{}}
	s.setLimits(connLimits{idle: defaultIdleTimeout, head: defaultHeaderTimeout})
	return s
}

// setLimits brings limits into force for all connections.
func (s *clientConns) setLimits(limits connLimits) { s.limits.Store(&limits) }

// add takes an accepted connection over.
func (s *clientConns) add(conn net.Conn, now time.Time) *clientConn {
	c := &clientConn{Conn: conn, set: s, idleSince: now, idleLimit: s.limits.Load().idle}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// stateChanged is the ConnState hook of an http.Server.
func (s *clientConns) stateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
		c.markIdle(time.Now())
	}
}

// closeIdleSince closes the connections that have been idle since the given time,
// and returns how many stay open.
func (s *clientConns) closeIdleSince(since time.Time) int {
	for _, c := range s.all() {
		c.closeIfIdleSince(since)
	}
	return len(s.all())
}

// closeExpired closes the connections that have been idle for longer than they may, and
// those whose request does not come.
func (s *clientConns) closeExpired(now time.Time) {
	limit := s.limits.Load().idle
	for _, c := range s.all() {
		c.closeIfExpired(now, limit)
	}
	s.closeStalled(now)
}

// closeStalled closes the connections whose request does not come.
func (s *clientConns) closeStalled(now time.Time) {
	limit := s.limits.Load().head
	for _, c := range s.all() {
		c.closeIfStalled(now, limit)
	}
}

func (s *clientConns) all() []*clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}
