// Package peer carries calls between daemons over net/rpc.
//
// net/rpc has no deadlines, cancellation or back-pressure. This package adds
// them: each call has a timeout of its own, what is outstanding on a connection
// is bounded, control and bulk data use separate connections, and a connection
// that stopped answering is dropped.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/sourceaddr"
)

// Lane keeps control traffic from waiting behind bulk data.
type Lane uint8

// The lanes. Each has a connection of its own to each peer.
const (
	Control Lane = iota
	Bulk
)

// Errors of this layer.
var (
	// ErrUnreachable means that the call never left this daemon.
	ErrUnreachable = errors.New("peer: not reached")
	// ErrNoAnswer means that the call left and no answer came in time; it may
	// have taken effect.
	ErrNoAnswer = errors.New("peer: no answer")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errors.New("peer: refused")
	// ErrBusy means that too many calls to this peer are outstanding.
	ErrBusy = errors.New("peer: too many calls outstanding")
)

const (
	dialTimeout    = time.Second
	maxOutstanding = 128
	// idleAfter is how long an unused connection is kept.
	idleAfter = 2 * time.Minute
)

type poolKey struct {
	address string
	lane    Lane
}

type pooled struct {
	client      *rpc.Client
	outstanding int
	lastUsed    time.Time
}

// Pool holds connections to peers. It is safe for concurrent use.
type Pool struct {
	mutex       sync.Mutex
	connections map[poolKey]*pooled
	meter       *Meter
	dialer      *net.Dialer
	closed      bool
}

// NewPool returns an empty pool that dials from the IP of a local address
// (IP:port, "" for any) and whose traffic is counted by meter, which may be nil.
func NewPool(localAddress string, meter *Meter) *Pool {
	return &Pool{
		connections: map[poolKey]*pooled{},
		meter:       meter,
		dialer:      sourceaddr.Dialer(localAddress, dialTimeout),
	}
}

// Ask calls a method of the peer at an address and waits for the answer until
// the context ends.
func Ask[Reply any](ctx context.Context, pool *Pool, address string, lane Lane, method string, arguments any) (Reply, error) {
	// An answer that comes after the context's end still writes to reply, so
	// it is read only after a success.
	reply := new(Reply)
	if err := pool.call(ctx, address, lane, method, arguments, reply); err != nil {
		var none Reply
		return none, err
	}
	return *reply, nil
}

// call is Ask without types.
func (pool *Pool) call(ctx context.Context, address string, lane Lane, method string, arguments, reply any) error {
	key := poolKey{address: address, lane: lane}
	connection, err := pool.acquire(ctx, key)
	if err != nil {
		return err
	}
	call := connection.client.Go(method, arguments, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		pool.release(key, connection, isTransportError(call.Error))
		return translate(call.Error)
	case <-ctx.Done():
		// A connection that let a deadline pass may be stuck; a new one costs
		// little. Other calls on it end with ErrNoAnswer and are tried again
		// by their callers.
		pool.release(key, connection, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return errors.Wrapf(ErrNoAnswer, "%s at %s", method, address)
	}
}

func isTransportError(err error) bool {
	var serverError rpc.ServerError
	return err != nil && !errors.As(err, &serverError)
}

func translate(err error) error {
	if err == nil {
		return nil
	}
	if isTransportError(err) {
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
	return errors.Wrap(ErrRemote, err.Error())
}

func (pool *Pool) acquire(ctx context.Context, key poolKey) (*pooled, error) {
	pool.mutex.Lock()
	held, known := pool.connections[key]
	if known && held.outstanding >= maxOutstanding {
		pool.mutex.Unlock()
		return nil, errors.Wrap(ErrBusy, key.address)
	}
	if known {
		held.outstanding++
		held.lastUsed = time.Now()
		pool.mutex.Unlock()
		return held, nil
	}
	pool.mutex.Unlock()
	return pool.dial(ctx, key)
}

func (pool *Pool) dial(ctx context.Context, key poolKey) (*pooled, error) {
	connection, err := pool.dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	fresh := &pooled{client: rpc.NewClient(pool.meter.wrap(connection)), outstanding: 1, lastUsed: time.Now()}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		_ = fresh.client.Close()
		return nil, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	if held, known := pool.connections[key]; known {
		_ = fresh.client.Close()
		held.outstanding++
		return held, nil
	}
	pool.connections[key] = fresh
	return fresh, nil
}

func (pool *Pool) release(key poolKey, connection *pooled, broken bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	connection.outstanding--
	if broken {
		_ = connection.client.Close()
		if pool.connections[key] == connection {
			delete(pool.connections, key)
		}
	}
}

// CloseIdle drops connections that were not used for a while.
func (pool *Pool) CloseIdle(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for key, held := range pool.connections {
		if held.outstanding == 0 && now.Sub(held.lastUsed) > idleAfter {
			_ = held.client.Close()
			delete(pool.connections, key)
		}
	}
}

// Close drops every connection and refuses further calls.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for key, held := range pool.connections {
		_ = held.client.Close()
		delete(pool.connections, key)
	}
}
