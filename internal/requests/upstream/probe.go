package upstream

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Liveness is what a new connection tells of the process at an address.
type Liveness int

// What a probe found.
const (
	// LivenessUnknown: nothing answered in time, or the way there is cut.
	LivenessUnknown Liveness = iota
	// Alive: a process took the connection.
	Alive
	// Gone: the machine answers and no process listens at the address.
	Gone
)

// String returns the name under which logs show it.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// probeTimeout bounds a probe: a few round trips between regions. An attempt that failed
// waits for it before the next one, so that it is short; a process that is gone shows
// after one round trip.
const probeTimeout = 150 * time.Millisecond

// Probe finds out whether a process listens at an address, as after a connection to it
// broke: one connection may break by itself, a process that has ended refuses all. A
// connection that is taken rests in the pool for the next request.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) Liveness {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	conn, err := p.dial(bounded, address)
	switch {
	case err == nil:
		sure, rest := idleTimeouts(http.Header{})
		p.put(conn, p.now().Add(sure), p.now().Add(rest))
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Gone
	default:
		return LivenessUnknown
	}
}
