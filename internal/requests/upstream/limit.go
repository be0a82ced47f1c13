package upstream

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrPoolExhausted means that all connections that this daemon may have to the peer are in use. It
// wraps ErrNotSent.
var ErrPoolExhausted = errors.WithMessage(ErrNotSent, "upstream: no connection is free")

// ErrWithdrawn means that the peer was Withdrawn by the time there was a connection to it. It wraps
// ErrNotSent.
var ErrWithdrawn = errors.WithMessage(ErrNotSent, "upstream: the peer gets no new requests")

// reserveDivisor sets how much of a peer's connection limit ConnectionShare leaves unassigned:
// limit/reserveDivisor connections. They are left for probes, for connections of ended daemons
// that the peer still counts, and for daemons that have just started.
const reserveDivisor = 10

// ConnectionShare returns how many connections a daemon may have to one peer if all daemons
// share the peer's limit evenly. The share is at least 1, so that no daemon is shut out; a result of 0 means no limit, as a
// limit of 0 does. With mayBorrow the daemon may also use connections that other daemons leave
// unused: the share is then at least slots, the number of requests that the peer runs at once,
// but not more than limit.
func ConnectionShare(limit, daemons, slots int, mayBorrow bool) int {
	if limit <= 0 {
		return 0
	}
	share := max((limit-limit/reserveDivisor)/max(daemons, 1), 1)
	if mayBorrow {
		return max(share, min(slots, limit))
	}
	return share
}

// tryAcquire returns an idle connection, which may have expired or have carried the request's id, or,
// at the limit, a channel that is closed when a connection may have become available. If both results
// are nil, the caller must dial a new connection, which tryAcquire has already counted as open.
func (p *Pool) tryAcquire(address netip.AddrPort, req *Request) (conn *connection, freed <-chan struct{}) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	full := req.MaxOpen > 0 && p.open[address] >= req.MaxOpen
	if i, ok := choose(p.idle[address], req, now, full); ok {
		conn = p.idle[address][i]
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		return conn, nil
	}
	if !full {
		p.open[address]++
		return nil, nil
	}
	if p.freed[address] == nil {
		p.freed[address] = make(chan struct{})
	}
	return nil, p.freed[address]
}

// choose returns the index of the idle connection for a request: the last one that may carry it. If
// there is none, it returns ok only at the limit, for a connection to be closed.
func choose(idle []*connection, req *Request, now time.Time, full bool) (index int, ok bool) {
	if len(idle) == 0 {
		return 0, false
	}
	for i, conn := range slices.Backward(idle) {
		if !conn.mayCarry(req) {
			continue
		}
		// A connection that only repeatable requests may use stays idle for them, unless the
		// limit is reached.
		if full || conn.usable(now, req.Repeatable) || !conn.usable(now, true) {
			return i, true
		}
		return 0, false
	}
	return len(idle) - 1, full
}

// acquire returns a usable idle connection or dials a new one. If req.MaxOpen connections are
// open and none is idle, it waits until req.ConnectionDeadline for a connection to become
// available, and then returns ErrPoolExhausted.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, req *Request) (*connection, error) {
	timer := time.NewTimer(time.Until(req.ConnectionDeadline))
	defer timer.Stop()
	for {
		conn, freed := p.tryAcquire(address, req)
		switch {
		case conn != nil && conn.usable(p.now(), req.Repeatable) && conn.mayCarry(req) && conn.isClean():
			return conn, nil
		case conn != nil:
			conn.close()
			continue
		case freed == nil:
			return p.dial(ctx, address)
		}
		select {
		case <-freed:
		case <-timer.C:
			p.Exhausted.Add(1)
			return nil, ErrPoolExhausted
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// notifyWaiters wakes the requests that wait for a connection to a peer. The mutex must be held.
func (p *Pool) notifyWaiters(address netip.AddrPort) {
	if freed := p.freed[address]; freed != nil {
		close(freed)
		delete(p.freed, address)
	}
}
