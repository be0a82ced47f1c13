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

// builtNode is a daemon that is not started, on a journal in memory.
func builtNode(t *testing.T, grace time.Duration) *Node {
	t.Helper()
	loaded := settings.Defaults()
	loaded.Name, loaded.Timing.StopGrace = "d", settings.Duration(grace)
	made, err := New(loaded, func(settings.Settings, *upstream.Pool) (Drivers, error) {
		return Drivers{Journal: journaltest.New()}, nil
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(made.cancel)
	return made
}

// All parts of a daemon go by one stop: where one did not, its requests were cut at the
// end of the grace, or taken without the time that they need.
func TestAllPartsGoByOneStop(t *testing.T) {
	is := is.New(t)
	made := builtNode(t, 8*time.Second)
	is.True(made.handler.Stop == made.shutdown)
	is.True(made.front.planned == made.shutdown)
	is.True(made.internal.planned == made.shutdown)
	is.Equal(made.front.longestKept(), longestKeep)
	made.SetStopGrace(4 * time.Second)
	is.Equal(made.front.longestKept(), 2*time.Second)
	is.Equal(made.internal.longestKept(), 2*time.Second)
	made.shutdown.Begin(time.Duration(made.grace.Load()))
	is.Equal(made.front.planned.Plan().Drain, 1500*time.Millisecond)
	ready, reason := made.ready()
	is.True(!ready)
	is.Equal(reason, "stopping")
}

// A daemon closes connections that rest for too long, on both listeners.
func TestADaemonClosesExpiredConnections(t *testing.T) {
	is := is.New(t)
	made := builtNode(t, 8*time.Second)
	for _, front := range []*frontServer{made.front, made.internal} {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		front.conns.add(far, time.Now())
	}
	made.closeExpired(time.Now().Add(defaultIdleTimeout - time.Second))
	is.Equal(len(made.front.conns.all())+len(made.internal.conns.all()), 2)
	made.closeExpired(time.Now().Add(defaultIdleTimeout + time.Second))
	is.Equal(len(made.front.conns.all())+len(made.internal.conns.all()), 0)
}
