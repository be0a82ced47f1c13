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

// Guards against a clock that stops while the machine is suspended: the connection would look
// usable when the peer is about to close it.
func TestIdleTimeCountsWhileSuspended(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	p := NewPool(Options{})
	p.now = clock.Now
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // nothing reads it any more
	cancelled, cancel := context.WithCancel(t.Context())
	cancel() // prevents dialling
	forAny, forRepeatable := idleTimeouts(http.Header{"Keep-Alive": {"timeout=2"}})
	p.put(newConnection(p, peerAddress, near), clock.Now().Add(forAny), clock.Now().Add(forRepeatable))
	clock.Suspend(time.Second)
	kept, err := p.acquire(cancelled, peerAddress, &Request{})
	is.NoErr(err)
	p.put(kept, clock.Now().Add(time.Second), clock.Now().Add(time.Second))
	clock.Suspend(time.Second)
	_, err = p.acquire(cancelled, peerAddress, &Request{})
	is.True(err != nil)
}
