package node

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

// closeInterval is the time between two looks for connections to close.
const closeInterval = 20 * time.Millisecond

// stop ends the listener by plan. For a while requests are taken as ever, each answer
// being the last of its connection. Then connections are closed that no client takes up
// any more, and the listener is closed once none is open. When the context ends, what is
// still under way is answered as it stands.
//
// A connection is closed under a request only in the moment in which the request is on its
// way, and only if its client takes the connection up later than it was told to, or if the
// end of the grace comes before: an answer whose head was written before the stop and whose
// body ended late in it.
func (l *clientListener) stop(ctx context.Context) {
	l.drain()
	periodic.Pause(ctx, l.plannedStop.Plan().Drain)
	l.closeUnused(ctx)
	l.shutdown(ctx)
}

// drain makes each further answer the last one of its connection. Idle connections stay
// open: clients may still take them up.
func (l *clientListener) drain() { l.draining.Store(true) }

// shutdown takes no more connections and waits until none is open or the context ends.
func (l *clientListener) shutdown(ctx context.Context) {
	l.closeListener()
	l.closeUnused(ctx)
	if ctx.Err() != nil {
		l.interrupt()
	}
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, server := range servers {
		_ = server.Close() // its listener is a queue, whose close never fails
	}
}

// closeUnused closes connections once their clients can't have kept them, until none is
// open or the context ends.
func (l *clientListener) closeUnused(ctx context.Context) {
	unused := l.keepAliveLimit() + requestDelayMargin
	for l.conns.closeIdleSince(time.Now().Add(-unused)) > 0 && ctx.Err() == nil {
		l.conns.closeStalled(time.Now())
		periodic.Pause(ctx, closeInterval)
	}
}

// closeListener serves the connections that wait to be accepted and takes no more.
func (l *clientListener) closeListener() {
	l.mu.Lock()
	bound := l.listener
	l.mu.Unlock()
	if bound == nil {
		return
	}
	waiting, err := stopListening(bound)
	for _, conn := range waiting {
		l.enqueue(conn)
	}
	_ = bound.Close() // it takes no more connections, whatever this says
	l.accepting.Wait()
	l.logger.Info("listener closed", zap.Int("waiting", len(waiting)), zap.Error(err))
}

// interrupt has all requests under way answered as they stand, and closes the
// connections without one. A connection that has only just come is left the half of the
// time: its client is sending a request, which is turned away.
func (l *clientListener) interrupt() {
	under := len(l.conns.all())
	l.plannedStop.Interrupt()
	within := l.plannedStop.Plan().Answer
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for l.conns.closeIdleSince(time.Now().Add(-within/2)) > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, closeInterval)
	}
	left := len(l.conns.all())
	l.logger.Info("requests interrupted by the stop", zap.Int("connections", under), zap.Int("cut_off", left))
}

// stopListening ends a listener and returns the connections that the kernel has accepted
// and this process has not: closing the listener would reset them, with the requests that
// their clients have sent. A process with a fraction of a core finds them there for a tenth
// of a second.
//
// The socket is shut down in the moment in which none waits: to close it takes longer, as
// another goroutine stands in Accept, and connections that come meanwhile would be cut.
func stopListening(listener net.Listener) (waiting []net.Conn, err error) {
	withDescriptor, ok := listener.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "listener")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for failed == nil {
			conn, err := acceptPending(int(fd))
			switch {
			case errors.Is(err, syscall.ECONNABORTED):
				// Its client has gone; others may wait behind it.
			case errors.Is(err, syscall.EAGAIN):
				failed = errors.Wrap(syscall.Shutdown(int(fd), syscall.SHUT_RDWR), "listener")
				return
			case err != nil:
				failed = errors.Wrap(err, "listener")
			default:
				waiting = append(waiting, conn)
			}
		}
	})
	if err != nil {
		return waiting, errors.Wrap(err, "listener")
	}
	return waiting, failed
}

// acceptPending accepts a connection that waits, or fails with EAGAIN.
func acceptPending(listener int) (net.Conn, error) {
	accepted, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer func() { _ = file.Close() }() // The connection has a descriptor of its own.
	return net.FileConn(file)
}
