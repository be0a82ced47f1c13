package upstream

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrFull: this daemon has as many connections to the peer as it may, and all are in use.
// It is an ErrNotSent.
var ErrFull = errors.WithMessage(ErrNotSent, "upstream: no connection is free")

// reserveDivisor is the part of a peer's limit, one in so many, that no daemon counts on: it is
// for probes, for connections of a daemon that is gone which the peer still counts, and for
// daemons that have started and are not known yet.
const reserveDivisor = 10

// ConnectionShare is how many connections to one peer a daemon may have, of a limit that all daemons
// share evenly: one at least, so that none is shut out, and as many as the requests that the
// peer runs at once if lent says that it may use what others leave idle. Without a limit it
// is 0.
func ConnectionShare(limit, daemons, slots int, lent bool) int {
	if limit <= 0 {
		return 0
	}
	part := max((limit-limit/reserveDivisor)/max(daemons, 1), 1)
	if lent {
		return max(part, min(slots, limit))
	}
	return part
}

// tryAcquire returns a connection that rests, which may have rested too long, or a channel that
// is closed when one may have become free. Without either there is a place for a new
// connection, which is counted already.
func (p *Pool) tryAcquire(address netip.AddrPort, req *Request) (conn *connection, freed <-chan struct{}) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	full := req.MaxOpen > 0 && p.open[address] >= req.MaxOpen
	if resting := p.idle[address]; len(resting) > 0 {
		last := resting[len(resting)-1]
		// One that is not sure enough for this request rests on for others, unless its place
		// is needed.
		if full || last.usable(now, req.Repeatable) || !last.usable(now, true) {
			p.idle[address] = resting[:len(resting)-1]
			return last, nil
		}
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

// acquire returns a resting connection that is still sound, or a new one. At the limit it waits
// for one until the request's WaitUntil.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, req *Request) (*connection, error) {
	late := time.NewTimer(time.Until(req.ConnectionDeadline))
	defer late.Stop()
	for {
		conn, freed := p.tryAcquire(address, req)
		switch {
		case conn != nil && conn.usable(p.now(), req.Repeatable) && conn.isClean():
			return conn, nil
		case conn != nil:
			conn.close()
			continue
		case freed == nil:
			return p.dial(ctx, address)
		}
		select {
		case <-freed:
		case <-late.C:
			p.Exhausted.Add(1)
			return nil, ErrFull
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// notifyWaiters wakes those that wait for a connection to a peer. The mutex is held.
func (p *Pool) notifyWaiters(address netip.AddrPort) {
	if freed := p.freed[address]; freed != nil {
		close(freed)
		delete(p.freed, address)
	}
}
