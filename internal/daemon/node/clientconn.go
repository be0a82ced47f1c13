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

// clientConn is a client's connection that can be closed between two requests without cutting one
// off.
//
// Invariant: once it is closed, Read returns no more data. A request that arrives during the close
// is therefore never forwarded to a replica. net/http does not ensure this: it marks a connection
// active only after the whole head of a request has been read, so that the handler could still run.
type clientConn struct {
	net.Conn
	set *clientConns

	mu sync.Mutex
	// handling is true while a request is being answered.
	handling bool
	// requestBeganAt is when the first byte of a request was read that is not handled yet, or zero.
	requestBeganAt time.Time
	closed         bool
	// idleSince is when the connection was accepted or last became idle; idleLimit is the limit
	// that was in force then.
	idleSince time.Time
	idleLimit time.Duration
}

// Read implements net.Conn. Data that has arrived is returned even if the read deadline has passed:
// the process may have been suspended while the client sent in time.
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

// CloseWrite closes the sending side, if the connection supports it. net/http calls it before it
// closes a connection whose request was not read to its end: closing at once could reset the
// connection before the client has read the answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// markHandling records that the head of a request has been read. Read may not have noticed the
// request: a pipelined one can arrive in the same segment as its predecessor.
func (c *clientConn) markHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
}

// resetOnClose makes Close reset the connection, so that the client does not take what it has received for a
// whole answer. Bytes that have not been sent are dropped.
func (c *clientConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended already
	}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.set.remove(c)
	return c.Conn.Close()
}

// clientLeft reports whether the client has closed its side of the connection. The receive buffer
// shows this before net/http's reader does, which on a busy machine may be scheduled late.
func (c *clientConn) clientLeft() bool { return recvbuf.Look(c.Conn) == recvbuf.Ended }

// markIdle records that no request is in progress.
func (c *clientConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.requestBeganAt = false, time.Time{}
	c.idleSince, c.idleLimit = now, c.set.limits.Load().idle
}

// closeIfIdleSince closes the connection if it has been idle since the given time and its receive
// buffer is empty. On a busy machine a request may stay in the buffer for a while before it is
// read.
func (c *clientConn) closeIfIdleSince(since time.Time) {
	c.closeIf(func() bool {
		return !c.handling && c.requestBeganAt.IsZero() && !c.idleSince.After(since) && recvbuf.Look(c.Conn) != recvbuf.Waiting
	})
}

// closeIfStalled closes the connection if a request has begun and its head has been incomplete for
// longer than limit. On a reused connection net/http enforces its header timeout only from the
// fourth byte on.
func (c *clientConn) closeIfStalled(now time.Time, limit time.Duration) {
	c.closeIf(func() bool { return !c.handling && !c.requestBeganAt.IsZero() && now.Sub(c.requestBeganAt) > limit })
}

// closeIf closes the connection if condition returns true. The condition is evaluated with the
// mutex held; if it is true, no data is read afterwards.
func (c *clientConn) closeIf(condition func() bool) {
	c.mu.Lock()
	closing := condition()
	c.closed = c.closed || closing
	c.mu.Unlock()
	if closing {
		_ = c.Close() // no request is in progress on it
	}
}

// closeIfExpired closes the connection if it has been idle for longer than limit and than the limit
// that was in force when it became idle: its client may know either.
func (c *clientConn) closeIfExpired(now time.Time, limit time.Duration) {
	c.mu.Lock()
	limit = max(limit, c.idleLimit)
	c.mu.Unlock()
	c.closeIfIdleSince(now.Add(-limit))
}

// connLimits are the limits of connections without a request in progress.
type connLimits struct {
	// idle is how long a connection may be idle, head how long reading the head of a request may
	// take.
	idle, head time.Duration
}

// clientConns is the set of open connections of a listener. It is safe for concurrent use. Its lock
// is never acquired while a connection's lock is held.
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

// setLimits sets the limits of all connections, open ones included.
func (s *clientConns) setLimits(limits connLimits) { s.limits.Store(&limits) }

// add wraps an accepted connection and adds it to the set.
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

// closeIdleSince closes the connections that have been idle since the given time and returns how
// many connections remain open.
func (s *clientConns) closeIdleSince(since time.Time) int {
	for _, c := range s.all() {
		c.closeIfIdleSince(since)
	}
	return len(s.all())
}

// closeExpired closes the connections that exceed the idle limit or the limit for reading the head
// of a request.
func (s *clientConns) closeExpired(now time.Time) {
	limit := s.limits.Load().idle
	for _, c := range s.all() {
		c.closeIfExpired(now, limit)
	}
	s.closeStalled(now)
}

// closeStalled closes the connections that exceed the limit for reading the head of a request.
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
