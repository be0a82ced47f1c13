package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrFull: this daemon has as many connections to the peer as it may, and all are in use.
// It is an ErrNotSent.
var ErrFull = errors.WithMessage(ErrNotSent, "upstream: no connection is free")

// reservePart is the part of a peer's limit, one in so many, that no daemon counts on: it is
// for probes, for connections of a daemon that is gone which the peer still counts, and for
// daemons that have started and are not known yet.
const reservePart = 10

// Part is how many connections to one peer a daemon may have, of a limit that all daemons
// share evenly: one at least, so that none is shut out, and as many as the requests that the
// peer runs at once if lent says that it may use what others leave idle. Without a limit it
// is 0.
func Part(limit, daemons, slots int, lent bool) int {
	if limit <= 0 {
		return 0
	}
	part := max((limit-limit/reservePart)/max(daemons, 1), 1)
	if lent {
		return max(part, min(slots, limit))
	}
	return part
}

// claim returns a connection that rests, which may have rested too long, or a channel that
// is closed when one may have become free. Without either there is a place for a new
// connection, which is counted already.
func (pool *Pool) claim(address string, request *Request) (conn *connection, freed <-chan struct{}) {
	now := pool.now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	full := request.MaxOpen > 0 && pool.open[address] >= request.MaxOpen
	if resting := pool.idle[address]; len(resting) > 0 {
		last := resting[len(resting)-1]
		// One that is not sure enough for this request rests on for others, unless its place
		// is needed.
		if full || last.usable(now, request.Repeatable) || !last.usable(now, true) {
			pool.idle[address] = resting[:len(resting)-1]
			return last, nil
		}
	}
	if !full {
		pool.open[address]++
		return nil, nil
	}
	if pool.freed[address] == nil {
		pool.freed[address] = make(chan struct{})
	}
	return nil, pool.freed[address]
}

// take returns a resting connection that is still sound, or a new one. At the limit it waits
// for one until the request's WaitUntil.
func (pool *Pool) take(ctx context.Context, address string, request *Request) (*connection, error) {
	late := time.NewTimer(time.Until(request.WaitUntil))
	defer late.Stop()
	for {
		conn, freed := pool.claim(address, request)
		switch {
		case conn != nil && conn.usable(pool.now(), request.Repeatable) && conn.quiet():
			return conn, nil
		case conn != nil:
			conn.close()
			continue
		case freed == nil:
			return pool.dial(ctx, address)
		}
		select {
		case <-freed:
		case <-late.C:
			pool.full.Add(1)
			return nil, ErrFull
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Full returns how many requests found no connection free in time.
func (pool *Pool) Full() uint64 { return pool.full.Load() }

// signal wakes those that wait for a connection to a peer. The mutex is held.
func (pool *Pool) signal(address string) {
	if freed := pool.freed[address]; freed != nil {
		close(freed)
		delete(pool.freed, address)
	}
}
