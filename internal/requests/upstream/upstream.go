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
	// ErrMalformed means that what was received is not an answer, or that its head is too long.
	// It wraps ErrNoAnswer. Unlike other such errors it does not mean that the connection broke.
	ErrMalformed = errors.WithMessage(ErrNoAnswer, "upstream: malformed answer")
)

const (
	// inlineBodyBytes is the longest body that is written together with the head.
	inlineBodyBytes = 16 << 10
	// defaultIdleTimeout is how long a connection stays idle if the peer announces no timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is subtracted from the announced idle timeout for requests that must not be
	// repeated. If such a request arrives while the peer closes the connection, the sender
	// cannot tell whether it has run.
	idleMargin = 400 * time.Millisecond
	// repeatableMarginDivisor sets the margin that is subtracted for requests that may be
	// repeated: the announced timeout divided by it, but at least minIdleMargin, about one round
	// trip between regions, and at most idleMargin.
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
	// EchoHeader, if not "", names the header in which the peer returns the request's EchoValue.
	// An answer that has this header with another value belongs to another request. Two requests
	// with the same value never use the same connection, as a late copy of the answer to the first
	// one would be taken for the answer to the second. An answer without the header is accepted
	// only on a new connection, which is then not reused.
	EchoHeader, EchoValue string
	// Sharing says which other requests may use the same connection.
	Sharing Sharing
	// Repeatable allows the use of an idle connection that the peer may be about to close.
	Repeatable bool
	// MaxOpen is the most connections that may be open to the peer, or 0 for no limit.
	MaxOpen int
	// ConnectionDeadline is until when the request waits for a connection if MaxOpen connections
	// are already open.
	ConnectionDeadline time.Time
	// Abandoned reports whether nobody waits for the answer any more, although the context may not
	// have ended yet. Exchange calls it just before it sends. Nil means never.
	Abandoned func() bool
	// Withdrawn reports whether the peer must get no new request any more. Exchange calls it just before
	// it sends, as it may have taken long to get a connection. Nil means never.
	Withdrawn func() bool
	// SentAt is set by Exchange to the time, by bootclock, at which the first byte of the
	// request was about to be written. Exchange leaves it unchanged if no connection was
	// available.
	SentAt time.Time
}

// Sharing says which requests may use a connection one after the other. A faulty peer may send an
// answer again, late, where the answer to the next request on the connection is due.
type Sharing int

const (
	// SharedByID is for requests whose answers are told apart by their EchoHeader, and for peers
	// that are trusted to answer each request once.
	SharedByID Sharing = iota
	// SharedByReads is for requests without an id that only read the peer's state. What they may
	// receive is an earlier state, or the answer to a change, which the caller tells apart; it then
	// calls Answer.Abort.
	SharedByReads
	// SharedAfterReads is for other requests without an id, which change the peer's state. They use
	// the connections of reads, whose answers the caller tells apart, and never one directly after
	// each other.
	SharedAfterReads
)

// Options configures the connections of a pool.
type Options struct {
	// LocalAddress is the source IP address with any port, or "" for the system's choice.
	LocalAddress string
	// ConnectTimeout is how long it may take to open a connection.
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
	// freed has a channel for each peer to which requests wait for a connection. The channel is
	// closed when a connection to the peer becomes idle or is closed.
	freed map[netip.AddrPort]chan struct{}

	// reads holds the connections of requests that are not SharedByID. It is nil in that pool itself.
	reads *Pool

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
	p := newPool(NewDialer(options))
	p.reads = newPool(p.dialer)
	return p
}

func newPool(dialer *net.Dialer) *Pool {
	return &Pool{dialer: dialer, now: bootclock.Now, idle: map[netip.AddrPort][]*connection{}, open: map[netip.AddrPort]int{},
		freed: map[netip.AddrPort]chan struct{}{}}
}

// Connections returns the number of connections that were made to all peers so far.
func (p *Pool) Connections() uint64 { return p.Dials.Load() + p.reads.Dials.Load() }

// OpenConnections returns the number of connections to a peer for requests that are SharedByID,
// including those being dialled.
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

// CloseExpired closes the idle connections that no request may reuse any more.
func (p *Pool) CloseExpired() {
	if p.reads != nil {
		p.reads.CloseExpired()
	}
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
	if p.reads != nil {
		p.reads.CloseIdle(address)
	}
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Exchange sends a request and returns its answer once the head of the answer has been read. The
// caller must Close the answer. If ctx ends before Close, the connection is closed. A request whose
// ctx has ended, or that is Abandoned or whose peer is Withdrawn, by the time it has a connection is not
// sent. Errors wrap ErrNotSent or ErrNoAnswer, or are ErrForeignAnswer.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, req *Request) (*Answer, error) {
	if ctx.Err() != nil {
		// Without this check, a request could be sent on an idle connection before the end of
		// ctx closes it.
		return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	if req.Sharing != SharedByID {
		p = p.reads
	}
	conn, err := p.acquire(ctx, address, req)
	if errors.Is(err, ErrPoolExhausted) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	// It may have taken long to get the connection.
	if ctx.Err() != nil || req.Abandoned != nil && req.Abandoned() {
		p.putBack(conn)
		return nil, errors.Wrap(ErrNotSent, "abandoned")
	}
	if req.Withdrawn != nil && req.Withdrawn() {
		p.putBack(conn)
		return nil, ErrWithdrawn
	}
	return conn.exchange(ctx, req)
}

// putBack returns a connection on which nothing was sent to the pool, or closes it if it is new:
// its idle timeout is not known yet.
func (p *Pool) putBack(conn *connection) {
	if conn.repeatableUntil.IsZero() {
		conn.close()
		return
	}
	p.put(conn, conn.reusableUntil, conn.repeatableUntil)
}

// dial makes a connection that the caller has already counted as open. If dialling fails, dial
// counts the connection as closed.
func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		p.countClosed(address)
		return nil, err
	}
	p.Dials.Add(1)
	return newConnection(p, address, raw), nil
}

// put adds an idle connection to the pool. Any request may use the connection before
// reusableUntil, and a repeatable request before repeatableUntil.
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

// idleTimeouts returns for how long after an answer its connection may be reused by any request,
// and by a repeatable one. A peer closes a connection when the idle timeout that it announced
// has passed since it sent the answer; a request that it has not read by then is lost. A lost
// request that is repeatable is sent again, so its margin is smaller.
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
