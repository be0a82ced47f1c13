package node

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/recvbuf"
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
	// busy: a part of a request has been read that is not answered yet.
	busy   bool
	closed bool
	// quietSince is when it was accepted or last became idle, idleLimit the limit that
	// was in force then.
	quietSince time.Time
	idleLimit  time.Duration
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
	if n > 0 {
		c.busy = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.set.remove(c)
	return c.Conn.Close()
}

// answered notes that no request is under way.
func (c *clientConn) answered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.quietSince, c.idleLimit = false, now, c.set.limit()
}

// closeIfQuiet closes the connection if it has been idle since the given time and no
// request lies in its buffer: on a busy machine one may lie there for a while before it
// is read.
func (c *clientConn) closeIfQuiet(since time.Time) {
	c.mu.Lock()
	quiet := !c.busy && !c.quietSince.After(since) && recvbuf.Look(c.Conn) != recvbuf.Waiting
	c.closed = c.closed || quiet
	c.mu.Unlock()
	if quiet {
		_ = c.Close()
	}
}

// closeIfExpired closes the connection if it has been idle for longer than the limit in
// force and than the one that was in force as it became idle: its client may know either.
func (c *clientConn) closeIfExpired(now time.Time, limit time.Duration) {
	c.mu.Lock()
	limit = max(limit, c.idleLimit)
	c.mu.Unlock()
	c.closeIfQuiet(now.Add(-limit))
}

// clientConns are the open connections of a listener. It is safe for concurrent
// use; its lock is taken after that of no connection.
type clientConns struct {
	// idleLimit is how long a connection may be idle, a time.Duration.
	idleLimit atomic.Int64

	mu   sync.Mutex
	open map[*clientConn]struct{}
}

func newClientConns() *clientConns {
	s := &clientConns{open: map[*clientConn]struct{}{}}
	s.setIdleLimit(defaultIdleTimeout)
	return s
}

// setIdleLimit sets how long connections may be idle.
func (s *clientConns) setIdleLimit(limit time.Duration) { s.idleLimit.Store(int64(limit)) }

func (s *clientConns) limit() time.Duration { return time.Duration(s.idleLimit.Load()) }

// add takes an accepted connection over.
func (s *clientConns) add(conn net.Conn, now time.Time) *clientConn {
	c := &clientConn{Conn: conn, set: s, quietSince: now, idleLimit: s.limit()}
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
		c.answered(time.Now())
	}
}

// closeQuiet closes the connections that have been idle since the given time,
// and returns how many stay open.
func (s *clientConns) closeQuiet(since time.Time) int {
	for _, c := range s.all() {
		c.closeIfQuiet(since)
	}
	return len(s.all())
}

// closeExpired closes the connections that have been idle for longer than they may.
func (s *clientConns) closeExpired(now time.Time) {
	limit := s.limit()
	for _, c := range s.all() {
		c.closeIfExpired(now, limit)
	}
}

func (s *clientConns) all() []*clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*clientConn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}
