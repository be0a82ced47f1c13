package relay

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the dialling of a connection to a peer.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is
	// considered broken.
	unackedTimeout = 600 * time.Millisecond
)

// errPeerClosed is the error of a call after this daemon has begun to stop.
var errPeerClosed = errors.New("relay: the daemon ends")

// dialFunc opens a connection to the relay at an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// peer is another daemon and the connection to it. Its tagged fields are stored in
// PeersPartition.
type peer struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`

	// mu is never held while a connection is dialled: lookups of all peers need it.
	mu     sync.Mutex
	client *peerClient
	// dialling is the dial in progress, or nil.
	dialling *dialAttempt
	// closed is set when this daemon stops: no connection is opened from then on.
	closed bool
	// suspendedUntil is the time until which the peer is not called, noRelayUntil the time until
	// which it is not asked to make calls to the journal.
	suspendedUntil, noRelayUntil time.Time
}

// dialAttempt is a dial that its callers share. client and err are set before done is closed;
// waiters, the number of callers that wait, is guarded by the peer's mutex.
type dialAttempt struct {
	cancel  context.CancelFunc
	done    chan struct{}
	client  *peerClient
	err     error
	waiters int
}

// peerClient is a connection to a peer. It must be ended by closing conn, never by Client.Close:
// after Close, net/rpc may end calls in progress with ErrShutdown, which in this package means
// that a call was not sent.
type peerClient struct {
	*rpc.Client
	conn net.Conn
}

// isSuspended reports whether the peer must not be called at the time now.
func (p *peer) isSuspended(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.suspendedUntil)
}

// mayRelay reports whether the peer may be asked to make calls to the journal at the time now.
func (p *peer) mayRelay(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.suspendedUntil) && !now.Before(p.noRelayUntil)
}

// suspend makes callers avoid the peer until the given time, or only for calls to the journal. A
// suspension never shortens one that ends later.
func (p *peer) suspend(until time.Time, relayOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := &p.suspendedUntil
	if relayOnly {
		end = &p.noRelayUntil
	}
	if until.After(*end) {
		*end = until
	}
}

// ask calls a method of the peer and waits for the answer until the context ends. If the error
// wraps ErrNotReached, the call was not sent.
func (p *peer) ask(ctx context.Context, dial dialFunc, method string, args, answer any) error {
	err := p.askOnce(ctx, dial, method, args, answer)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection ended before the call, for example as the peer restarted, and a new
		// one may succeed.
		err = p.askOnce(ctx, dial, method, args, answer)
	}
	if errors.Is(err, rpc.ErrShutdown) {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	return err
}

// askOnce calls a method on the open connection, or on a new one if there is none. If the error
// wraps ErrNotReached or is rpc.ErrShutdown, the call was not sent.
func (p *peer) askOnce(ctx context.Context, dial dialFunc, method string, args, answer any) error {
	client, err := p.connect(ctx, dial)
	if err != nil {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	call := client.Go(method, args, answer, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-call.Done:
	}
	var refused rpc.ServerError
	// A server error is an answer of the peer: its connection works and is kept.
	if call.Error != nil && !errors.As(call.Error, &refused) {
		p.discard(client)
	}
	return call.Error
}

// connect returns the open connection to the peer, or dials a new one. Concurrent callers share one
// dial, which ends early if none of them waits any more. connect fails once the peer is closed.
func (p *peer) connect(ctx context.Context, dial dialFunc) (*peerClient, error) {
	client, attempt, err := p.joinDial(ctx, dial)
	if client != nil || err != nil {
		return client, err
	}
	select {
	case <-attempt.done:
		return attempt.client, attempt.err
	case <-ctx.Done():
		p.leaveDial(attempt)
		return nil, ctx.Err()
	}
}

// joinDial returns the open connection, or the dial in progress, which it starts if there is none.
func (p *peer) joinDial(ctx context.Context, dial dialFunc) (*peerClient, *dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, errPeerClosed
	case p.client != nil:
		return p.client, nil, nil
	case p.dialling == nil:
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		p.dialling = &dialAttempt{done: make(chan struct{}), cancel: cancel}
		go p.dial(bounded, dial, p.dialling)
	}
	p.dialling.waiters++
	return nil, p.dialling, nil
}

// leaveDial records that a caller does not wait for a dial any more. The last one ends it.
func (p *peer) leaveDial(attempt *dialAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempt.waiters--
	if attempt.waiters > 0 {
		return
	}
	attempt.cancel()
	if p.dialling == attempt {
		p.dialling = nil // a later caller does not share its failure
	}
}

// dial opens a connection and ends the attempt.
func (p *peer) dial(ctx context.Context, dial dialFunc, attempt *dialAttempt) {
	defer attempt.cancel()
	conn, err := dial(ctx, p.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(attempt.done)
	if p.dialling == attempt {
		p.dialling = nil
	}
	switch {
	case err != nil:
		attempt.err = err
	case p.closed, p.client != nil:
		// This daemon stops, or a later attempt was faster after this one was left.
		attempt.err = errPeerClosed
		_ = conn.Close() // Nothing was sent on it.
	default:
		attempt.client = &peerClient{Client: rpc.NewClient(conn), conn: conn}
		p.client = attempt.client
	}
}

// discard closes a broken connection. If the peer has a newer connection, that one stays in use:
// several calls may fail on one connection and discard it one after the other.
func (p *peer) discard(client *peerClient) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.conn.Close() // The connection is broken already.
}

// disconnect closes the connection to the peer, if there is one. A later call opens a new one.
func (p *peer) disconnect() {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		p.discard(client)
	}
}

// close closes the connection to the peer and prevents new ones.
func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.disconnect()
}
