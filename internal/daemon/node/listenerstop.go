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

// closeInterval is the time between two searches for connections to close.
const closeInterval = 20 * time.Millisecond

// stop ends the listener according to the plan of the stop. Until the plan's Drain time, requests
// are accepted as usual, and each answer closes its connection. Then connections that their clients
// no longer use are closed, and finally the listener itself. When the context ends, requests still
// in progress are interrupted, which makes their handlers answer with what they have.
//
// A connection is closed under a request only if the request is in transit at that moment, and only
// if its client sent it after the announced Keep-Alive timeout, or if the grace ends before that
// timeout: when the head of an answer was written before the stop and its body ended late in it.
func (l *clientListener) stop(ctx context.Context) {
	l.drain()
	periodic.Pause(ctx, l.plannedStop.Plan().Drain)
	l.closeUnused(ctx)
	l.shutdown(ctx)
}

// drain makes each further answer close its connection. Idle connections stay open, as clients may
// still use them.
func (l *clientListener) drain() { l.draining.Store(true) }

// shutdown accepts no more connections and waits until none is open or the context ends.
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
		_ = server.Close() // its listener is a connQueue, whose Close never fails
	}
}

// closeUnused closes connections whose Keep-Alive timeout has passed, until none is open or the
// context ends.
func (l *clientListener) closeUnused(ctx context.Context) {
	unused := l.keepAliveLimit() + requestDelayMargin
	for l.conns.closeIdleSince(time.Now().Add(-unused)) > 0 && ctx.Err() == nil {
		l.conns.closeStalled(time.Now())
		periodic.Pause(ctx, closeInterval)
	}
}

// closeListener serves the connections that are pending in the kernel and accepts no more.
func (l *clientListener) closeListener() {
	l.mu.Lock()
	bound := l.listener
	l.mu.Unlock()
	if bound == nil {
		return
	}
	pending, err := stopListening(bound)
	for _, conn := range pending {
		l.enqueue(conn)
	}
	_ = bound.Close() // it accepts no more connections even if closing fails
	l.accepting.Wait()
	l.logger.Info("listener closed", zap.Int("waiting", len(pending)), zap.Error(err))
}

// interrupt cancels all requests in progress, which makes their handlers answer with what they
// have, and closes connections without a request. A connection that became idle less than half the
// plan's Answer time ago stays open a little longer: its client may be sending a request, which is
// then refused.
func (l *clientListener) interrupt() {
	open := len(l.conns.all())
	l.plannedStop.Interrupt()
	within := l.plannedStop.Plan().Answer
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for l.conns.closeIdleSince(time.Now().Add(-within/2)) > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, closeInterval)
	}
	remaining := len(l.conns.all())
	l.logger.Info("requests interrupted by the stop", zap.Int("connections", open), zap.Int("cut_off", remaining))
}

// stopListening stops a listener and returns the connections that are still pending in the kernel:
// closing the listener would reset them and lose the requests already sent. On a machine short of
// CPU, connections stay pending for a noticeable time.
//
// The socket is shut down as soon as no connection is pending. Closing it instead would have to
// wait for the goroutine that blocks in Accept, and connections that arrive meanwhile would be
// reset.
func stopListening(listener net.Listener) (pending []net.Conn, err error) {
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
				// The client has disconnected; other connections may be pending behind it.
			case errors.Is(err, syscall.EAGAIN):
				failed = errors.Wrap(syscall.Shutdown(int(fd), syscall.SHUT_RDWR), "listener")
				return
			case err != nil:
				failed = errors.Wrap(err, "listener")
			default:
				pending = append(pending, conn)
			}
		}
	})
	if err != nil {
		return pending, errors.Wrap(err, "listener")
	}
	return pending, failed
}

// acceptPending accepts a pending connection without blocking. The error is EAGAIN if there is
// none.
func acceptPending(listener int) (net.Conn, error) {
	accepted, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer func() { _ = file.Close() }() // net.FileConn duplicates the descriptor.
	return net.FileConn(file)
}
