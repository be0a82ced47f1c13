package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/daemon/bootclock/clocktest"
)

// A peer goes on counting how long a connection rests while this machine is suspended. The
// connection looked as if it might still be used, and a request that can't be repeated
// was sent on one that the peer was about to close.
func TestIdleTimeCountsWhileSuspended(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	p := NewPool(Options{})
	p.now = clock.Now
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // it is not read any more
	none, cancel := context.WithCancel(t.Context())
	cancel() // a connection that is not there is not made
	sure, rest := idleTimeouts(http.Header{"Keep-Alive": {"timeout=2"}})
	p.put(newConnection(p, peerAddress, near), clock.Now().Add(sure), clock.Now().Add(rest))
	clock.Suspend(time.Second)
	kept, err := p.acquire(none, peerAddress, &Request{})
	is.NoErr(err)
	p.put(kept, clock.Now().Add(time.Second), clock.Now().Add(time.Second))
	clock.Suspend(time.Second)
	_, err = p.acquire(none, peerAddress, &Request{})
	is.True(err != nil)
}
