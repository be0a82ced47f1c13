package node

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/settings"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/upstream"
)

// builtNode returns a daemon on an in-memory journal that has not been started.
func builtNode(t *testing.T, grace time.Duration) *Node {
	t.Helper()
	loaded := settings.Defaults()
	loaded.Name, loaded.Timing.StopGrace = "d", settings.Duration(grace)
	b, err := New(loaded, func(settings.Settings, *upstream.Pool) (Drivers, error) {
		return Drivers{Journal: journaltest.New()}, nil
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.cancel)
	return b
}

// All components must share one shutdown.Stop, or requests are cut off at the end of the grace or
// accepted without enough time left.
func TestAllComponentsShareOneStop(t *testing.T) {
	is := is.New(t)
	b := builtNode(t, 8*time.Second)
	is.True(b.handler.Stop == b.shutdown)
	is.True(b.public.plannedStop == b.shutdown)
	is.True(b.internal.plannedStop == b.shutdown)
	is.Equal(b.public.keepAliveLimit(), maxKeepAlive)
	b.SetStopGrace(4 * time.Second)
	is.Equal(b.public.keepAliveLimit(), 2*time.Second)
	is.Equal(b.internal.keepAliveLimit(), 2*time.Second)
	b.shutdown.Begin(time.Duration(b.grace.Load()))
	is.Equal(b.public.plannedStop.Plan().Drain, 1500*time.Millisecond)
	ready, reason := b.ready()
	is.True(!ready)
	is.Equal(reason, "stopping")
}

// A daemon must close expired idle connections on both client listeners.
func TestADaemonClosesExpiredConnections(t *testing.T) {
	is := is.New(t)
	b := builtNode(t, 8*time.Second)
	for _, l := range []*clientListener{b.public, b.internal} {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		l.conns.add(far, time.Now())
	}
	b.closeExpired(time.Now().Add(defaultIdleTimeout - time.Second))
	is.Equal(len(b.public.conns.all())+len(b.internal.conns.all()), 2)
	b.closeExpired(time.Now().Add(defaultIdleTimeout + time.Second))
	is.Equal(len(b.public.conns.all())+len(b.internal.conns.all()), 0)
}
