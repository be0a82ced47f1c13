package upstream

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Liveness is the result of a probe of the process at an address.
type Liveness int

// Results of a probe.
const (
	// LivenessUnknown means that the probe timed out or the network is broken.
	LivenessUnknown Liveness = iota
	// Alive means that a process accepted the connection.
	Alive
	// Gone means that the host refused the connection, as no process listens at the address.
	Gone
)

// String returns the name of the result in logs.
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

// probeTimeout bounds a probe. It allows a few round trips between regions, and is short because
// the next attempt of a failed request waits for the probe.
const probeTimeout = 150 * time.Millisecond

// Probe dials an address to find out whether a process still listens there, for instance after a
// connection to it broke. If the dial succeeds, the new connection is added to the pool as idle.
// Request.MaxOpen does not apply to the probe's connection.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) Liveness {
	timeoutCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	conn, err := p.dial(timeoutCtx, address)
	switch {
	case err == nil:
		forAny, forRepeatable := idleTimeouts(http.Header{})
		p.put(conn, p.now().Add(forAny), p.now().Add(forRepeatable))
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Gone
	default:
		return LivenessUnknown
	}
}
