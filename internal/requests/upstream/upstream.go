// Package upstream sends HTTP/1.1 requests over pooled connections and says
// exactly what is known of each: not sent, sent without an answer, answered.
//
// It stands where net/http's Transport would: that one sends some requests
// again by itself and unpacks bodies, and a caller that must count attempts
// can allow neither.
//
// The package owns the connections to peers: how many there are, which rest and until when. It
// relies on peers to say how long a connection may rest (Keep-Alive) and to repeat the id of
// a request in its answer.
//
// # Usage
//
//	answer, err := pool.Exchange(ctx, address, &upstream.Request{...})
//	if errors.Is(err, upstream.ErrNotSent) { ... it has not run ... }
//	defer answer.Close() // the connection rests if the answer was read to its end
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
	// ErrNotSent: no byte of the request left.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNoAnswer: the request was sent, in part at least, and no whole answer came.
	ErrNoAnswer = errors.New("upstream: no answer")
	// ErrForeignAnswer: an answer came that belongs to another request.
	ErrForeignAnswer = errors.New("upstream: answer to another request")
)

const (
	// inlineBodyBytes is the largest body written before the answer is awaited.
	inlineBodyBytes = 16 << 10
	// defaultIdleTimeout is how long a connection may rest if the peer named no time.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is taken off the rest that a peer grants, for requests that must not be
	// repeated: a request on its way as the peer closes may have run or not.
	idleMargin = 400 * time.Millisecond
	// repeatableMarginDivisor is the part of the granted rest, one in so many, that is taken off for
	// requests that may be repeated, and leastMargin the least: the way to another region and back.
	repeatableMarginDivisor = 10
	minIdleMargin           = 100 * time.Millisecond
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT option.
	tcpUserTimeout = 18
)

// Request is one request to a peer.
type Request struct {
	Method string
	// Target is the path with its query, as it goes on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader, if set, is the header in which the answer must repeat EchoValue
	// if it has that header at all.
	EchoHeader, EchoValue string
	// Repeatable requests may use a connection that the peer might be about to close.
	Repeatable bool
	// MaxOpen is how many connections to the peer there may be, 0 without bound.
	MaxOpen int
	// ConnectionDeadline is until when one is waited for when there are as many.
	ConnectionDeadline time.Time
	// SentAt is set by Exchange: when the first byte was sent, by bootclock, zero if none was.
	SentAt time.Time
}

// Options bound a pool's connections.
type Options struct {
	// LocalAddress is the source IP with any port, or "".
	LocalAddress string
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	UnackedTimeout time.Duration
}

// Pool holds idle connections to any number of peers.
type Pool struct {
	dialer *net.Dialer
	// now is the clock by which connections rest: a peer goes on counting while this machine
	// is suspended.
	now bootclock.Clock

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// open counts the connections to each peer, those that are being made included.
	open map[netip.AddrPort]int
	// freed, where somebody waits, is closed when a connection rests or has ended.
	freed map[netip.AddrPort]chan struct{}

	// Dials counts the connections that were made, Exhausted the requests that found none free in time.
	Dials, Exhausted atomic.Uint64
}

// NewDialer returns a dialer whose connections keep to the options.
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
			// Where it is not known, a broken connection shows by keep-alive, later.
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

// OpenConnections returns how many connections to a peer are open.
func (p *Pool) OpenConnections(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// IdleConnections returns how many connections to a peer rest and may be used still. Each may turn
// out to be closed.
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

// CloseExpired closes connections that have rested as long as they may.
func (p *Pool) CloseExpired() {
	now := p.now()
	var expired []*connection
	p.mu.Lock()
	for address, resting := range p.idle {
		kept := resting[:0]
		for _, conn := range resting {
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

// CloseIdle closes the connections to a peer that rest, as its process is known to have ended.
// Exchanges under way go on.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	resting := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range resting {
		conn.close()
	}
}

// Exchange sends a request and returns its answer once the head is there. The
// caller must Close the answer. When the context ends, the connection is cut.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, req *Request) (*Answer, error) {
	if ctx.Err() != nil {
		// A resting connection would take the request before the end closes it.
		return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	conn, err := p.acquire(ctx, address, req)
	if errors.Is(err, ErrFull) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return conn.exchange(ctx, req)
}

// dial makes a connection, whose place is counted already.
func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		p.countClosed(address)
		return nil, err
	}
	p.Dials.Add(1)
	return newConnection(p, address, raw), nil
}

// put lets a connection rest until a moment, for requests that may be repeated until a later
// one.
func (p *Pool) put(conn *connection, sureUntil, restUntil time.Time) {
	conn.reusableUntil, conn.repeatableUntil = sureUntil, restUntil
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

// idleTimeouts returns how long a connection may rest after an answer: for any request, and for
// one that may be repeated. A peer counts from when it has sent the answer, and closes when
// the time that it granted is over: a request that meets the end is lost. One that may be
// repeated then costs a try; it uses nine tenths of a short grant, of which the way there
// and back takes little.
func idleTimeouts(header http.Header) (sure, rest time.Duration) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		granted, err := time.ParseDuration(value + "s")
		if err == nil {
			margin := min(max(granted/repeatableMarginDivisor, minIdleMargin), idleMargin)
			return max(granted-idleMargin, 0), max(granted-margin, 0)
		}
	}
	return defaultIdleTimeout, defaultIdleTimeout
}
