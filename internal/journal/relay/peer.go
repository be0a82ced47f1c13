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
	// dialTimeout bounds the making of a connection to a peer.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged by a peer.
	unackedTimeout = 600 * time.Millisecond
)

// dialFunc makes a connection to a peer.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// peer is another daemon.
type peer struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`

	mu     sync.Mutex
	client *peerClient
	// closed peers are connected to no more: the daemon ends.
	closed bool
	// suspendedUntil is the time before which others are asked.
	suspendedUntil time.Time
}

// peerClient is a connection to a peer. It is ended by closing conn, never by the
// client's Close: after that net/rpc may end calls under way with ErrShutdown, which here
// says that a call was not sent.
type peerClient struct {
	*rpc.Client
	conn net.Conn
}

// isSuspended reports whether the peer is left alone.
func (p *peer) isSuspended(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.suspendedUntil)
}

// suspend leaves the peer alone until a time.
func (p *peer) suspend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspendedUntil = until
}

// ask calls a method of the peer and waits for the answer. An error that wraps
// ErrNotReached says that the call was not sent.
func (p *peer) ask(ctx context.Context, dial dialFunc, method string, args, answer any) error {
	err := p.askOnce(ctx, dial, method, args, answer)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection had ended before the call, as at a peer's restart: the peer may
		// be there all the same.
		err = p.askOnce(ctx, dial, method, args, answer)
	}
	if errors.Is(err, rpc.ErrShutdown) {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	return err
}

// askOnce calls a method on the connection that there is, or on a new one. ErrShutdown
// says that the call was not sent.
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
	if call.Error != nil && !errors.As(call.Error, &refused) {
		// One that has answered with an error has a sound connection.
		p.discard(client)
	}
	return call.Error
}

// connect returns the connection to the peer, made if there is none.
func (p *peer) connect(ctx context.Context, dial dialFunc) (*peerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("relay: the daemon ends")
	}
	if p.client != nil {
		return p.client, nil
	}
	conn, err := dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	p.client = &peerClient{Client: rpc.NewClient(conn), conn: conn}
	return p.client, nil
}

// discard ends a connection to the peer that is broken. A late caller may give up an old
// connection when a new one is in use: only the old one is closed.
func (p *peer) discard(client *peerClient) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.conn.Close() // It is broken: there is nobody to tell.
}

// disconnect ends the connection to the peer.
func (p *peer) disconnect() {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		p.discard(client)
	}
}

// close ends the connection to the peer, which gets no other.
func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.disconnect()
}
