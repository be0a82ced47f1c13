// Package upstream sends HTTP/1.1 requests over pooled connections and says
// exactly what is known of each: not sent, sent without an answer, answered.
//
// It stands where net/http's Transport would: that one sends some requests
// again by itself and unpacks bodies, and a caller that must count attempts
// can allow neither.
package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/bootclock"
	"woodworks/internal/sourceaddr"
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
	// defaultIdle is how long a connection may rest if the peer named no time.
	defaultIdle = 20 * time.Second
	// idleMargin is taken off the rest that a peer grants.
	idleMargin = 400 * time.Millisecond
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
	// EchoName, if set, is the header in which the answer must repeat EchoValue
	// if it has that header at all.
	EchoName, EchoValue string
	// Sending, if not nil, is called just before the first byte is sent.
	Sending func()
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
	// Clock is the clock by which connections rest, nil for that of the machine. A peer
	// goes on counting while this machine is suspended.
	Clock bootclock.Clock
}

// Pool holds idle connections to any number of peers.
type Pool struct {
	options Options
	dialer  *net.Dialer
	now     bootclock.Clock

	mutex sync.Mutex
	idle  map[string][]*connection
	open  map[string]int
	dials uint64
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
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(options.UnackedTimeout.Milliseconds()))
		})
	}
	return dialer
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	now := options.Clock
	if now == nil {
		now = bootclock.Now
	}
	return &Pool{options: options, dialer: NewDialer(options), now: now, idle: map[string][]*connection{}, open: map[string]int{}}
}

// Open returns how many connections to a peer are open.
func (pool *Pool) Open(address string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.open[address]
}

// Rests reports whether a connection to a peer rests. It may turn out to be closed, or to
// have rested too long: Sweep drops such ones.
func (pool *Pool) Rests(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return len(pool.idle[address]) > 0
}

// Resting returns how many connections to a peer rest and may be used still.
func (pool *Pool) Resting(address string) int {
	now := pool.now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	count := 0
	for _, conn := range pool.idle[address] {
		if now.Before(conn.restUntil) {
			count++
		}
	}
	return count
}

// Dials returns how many connections were made.
func (pool *Pool) Dials() uint64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dials
}

// Sweep closes connections that have rested as long as they may.
func (pool *Pool) Sweep() {
	now := pool.now()
	var expired []*connection
	pool.mutex.Lock()
	for address, resting := range pool.idle {
		kept := resting[:0]
		for _, conn := range resting {
			if now.After(conn.restUntil) {
				expired = append(expired, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if len(kept) == 0 {
			delete(pool.idle, address)
		} else {
			pool.idle[address] = kept
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		conn.close()
	}
}

// Exchange sends a request and returns its answer once the head is there. The
// caller must Close the answer. When the context ends, the connection is cut.
func (pool *Pool) Exchange(ctx context.Context, address string, request *Request) (*Answer, error) {
	if ctx.Err() != nil {
		// A resting connection would take the request before the end closes it.
		return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	conn, err := pool.take(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return conn.exchange(ctx, request)
}

// take returns a resting connection that is still sound, or a new one.
func (pool *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		conn := pool.pop(address)
		if conn == nil {
			return pool.dial(ctx, address)
		}
		if pool.now().Before(conn.restUntil) && conn.quiet() {
			return conn, nil
		}
		conn.close()
	}
}

func (pool *Pool) pop(address string) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	resting := pool.idle[address]
	if len(resting) == 0 {
		return nil
	}
	last := resting[len(resting)-1]
	pool.idle[address] = resting[:len(resting)-1]
	return last
}

func (pool *Pool) dial(ctx context.Context, address string) (*connection, error) {
	raw, err := pool.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	pool.open[address]++
	pool.dials++
	pool.mutex.Unlock()
	return newConnection(pool, address, raw), nil
}

func (pool *Pool) put(conn *connection, restUntil time.Time) {
	conn.restUntil = restUntil
	pool.mutex.Lock()
	pool.idle[conn.address] = append(pool.idle[conn.address], conn)
	pool.mutex.Unlock()
}

func (pool *Pool) closed(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open[address]--
	if pool.open[address] <= 0 {
		delete(pool.open, address)
	}
}

// restOf returns how long a connection may rest after an answer.
func restOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := time.ParseDuration(value + "s")
		if err == nil {
			return max(seconds-idleMargin, 0)
		}
	}
	return defaultIdle
}
