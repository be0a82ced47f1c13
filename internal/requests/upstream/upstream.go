// Package upstream sends HTTP/1.1 requests over pooled connections, and reports for each whether
// it was not sent, sent without an answer, or answered.
//
// It is used instead of net/http's Transport, which retries some requests and decompresses
// bodies by itself. Callers must count every attempt and relay bodies unchanged.
//
// The package owns the connections to peers: their number, and how long idle ones are kept. It
// relies on peers to announce their idle timeout (Keep-Alive) and to return the id of a request
// in its answer.
//
// # Usage
//
//	answer, err := pool.Exchange(ctx, address, &upstream.Request{...})
//	if errors.Is(err, upstream.ErrNotSent) { ... it has not run ... }
//	defer answer.Close() // keeps the connection if the answer was read to its end
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/sourceaddr"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNoAnswer means that the request was sent, at least in part, and that its answer is
	// missing or incomplete.
	ErrNoAnswer = errors.New("upstream: no answer")
	// ErrForeignAnswer means that only answers to other requests were received.
	ErrForeignAnswer = errors.New("upstream: answer to another request")
)

const (
	// inlineBodyBytes is the longest body that is written together with the head.
	inlineBodyBytes = 16 << 10
	// defaultIdleTimeout is how long a connection stays idle if the peer announces no timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is subtracted from the announced idle timeout for requests that must not be
	// repeated: one that arrives while the peer closes the connection may have run or not.
	idleMargin = 400 * time.Millisecond
	// repeatableMarginDivisor sets the margin for requests that may be repeated, as a fraction
	// of the announced timeout. minIdleMargin is its minimum, one round trip between regions.
	repeatableMarginDivisor = 10
	minIdleMargin           = 100 * time.Millisecond
	// tcpUserTimeout is the number of Linux's TCP_USER_TIMEOUT option.
	tcpUserTimeout = 18
)

// Request is a request to a peer.
type Request struct {
	Method string
	// Target is the path and query as sent in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader, if not "", is a header of the answer. An answer that has it with a value
	// other than EchoValue belongs to another request.
	EchoHeader, EchoValue string
	// Repeatable allows the use of an idle connection that the peer may be about to close.
	Repeatable bool
	// MaxOpen is the limit of open connections to the peer, or 0 for none.
	MaxOpen int
	// ConnectionDeadline is when the request stops waiting for a connection, if MaxOpen
	// connections are in use.
	ConnectionDeadline time.Time
	// SentAt is set by Exchange to the time, by bootclock, at which it began to write the
	// request. It is zero if there was no connection to write to.
	SentAt time.Time
}

// Options configures the connections of a pool.
type Options struct {
	// LocalAddress is the source IP address with any port, or "" for the system's choice.
	LocalAddress string
	// ConnectTimeout bounds the dialling of a connection.
	ConnectTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the connection is
	// considered broken.
	UnackedTimeout time.Duration
}

// Pool holds the connections to any number of peers. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	// now is the clock for idle timeouts. It must advance while this machine is suspended, as
	// peers' clocks do.
	now bootclock.Clock

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// open counts the connections to each peer, including those being dialled.
	open map[netip.AddrPort]int
	// freed has a channel for each peer for whose connections requests wait. It is closed when
	// a connection becomes idle or is closed.
	freed map[netip.AddrPort]chan struct{}

	// Dials counts the connections made, and Exhausted the requests that failed with
	// ErrPoolExhausted.
	Dials, Exhausted atomic.Uint64
}

// NewDialer returns a dialer for connections with the given options.
func NewDialer(options Options) *net.Dialer {
	dialer := sourceaddr.Dialer(options.LocalAddress, options.ConnectTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	control := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if control != nil {
			if err := control(network, address, raw); err != nil {
				return err
			}
		}
		return raw.Control(func(descriptor uintptr) {
			// If the option is not supported, keep-alive detects broken connections later.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(options.UnackedTimeout.Milliseconds()))
		})
	}
	return dialer
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	return &Pool{dialer: NewDialer(options), now: bootclock.Now, idle: map[netip.AddrPort][]*connection{}, open: map[netip.AddrPort]int{},
		freed: map[netip.AddrPort]chan struct{}{}}
}

// OpenConnections returns the number of connections to a peer, including those being dialled.
func (p *Pool) OpenConnections(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// IdleConnections returns the number of idle connections to a peer that have not expired. The
// peer may have closed any of them.
func (p *Pool) IdleConnections(address netip.AddrPort) int {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, conn := range p.idle[address] {
		if conn.usable(now, true) {
			count++
		}
	}
	return count
}

// CloseExpired closes the connections whose idle timeout is over.
func (p *Pool) CloseExpired() {
	now := p.now()
	var expired []*connection
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.After(conn.repeatableUntil) {
				expired = append(expired, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		conn.close()
	}
}

// CloseIdle closes the idle connections to a peer. It is called when the peer's process is known
// to have ended. Exchanges in progress continue.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Exchange sends a request and returns its answer once the head has been read. The caller must
// Close the answer. If ctx ends before Close, the connection is closed.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, req *Request) (*Answer, error) {
	if ctx.Err() != nil {
		// An idle connection would send the request before the end of ctx closes it.
		return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	conn, err := p.acquire(ctx, address, req)
	if errors.Is(err, ErrPoolExhausted) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return conn.exchange(ctx, req)
}

// dial makes a connection, which the caller has already counted as open.
func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		p.countClosed(address)
		return nil, err
	}
	p.Dials.Add(1)
	return newConnection(p, address, raw), nil
}

// put adds an idle connection to the pool. Any request may use it before reusableUntil, a
// repeatable one before repeatableUntil.
func (p *Pool) put(conn *connection, reusableUntil, repeatableUntil time.Time) {
	conn.reusableUntil, conn.repeatableUntil = reusableUntil, repeatableUntil
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	p.notifyWaiters(conn.address)
}

func (p *Pool) countClosed(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	p.notifyWaiters(address)
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// idleTimeouts returns how long a connection may be reused after an answer: for any request, and
// for a repeatable one. A peer closes the connection when the timeout that it announced has
// passed since it sent the answer, and a request that it has not read by then is lost. A
// repeatable request is merely sent again, so its margin is smaller.
func idleTimeouts(header http.Header) (forAny, forRepeatable time.Duration) {
	for _, param := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		announced, err := time.ParseDuration(value + "s")
		if err == nil {
			margin := min(max(announced/repeatableMarginDivisor, minIdleMargin), idleMargin)
			return max(announced-idleMargin, 0), max(announced-margin, 0)
		}
	}
	return defaultIdleTimeout, defaultIdleTimeout
}
