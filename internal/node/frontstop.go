package node

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/periodic"
)

// closePause is the time between two looks for connections to close.
const closePause = 20 * time.Millisecond

// stop ends the listener by plan. For a while requests are taken as ever, each answer
// being the last of its connection. Then connections are closed that no client takes up
// any more, and the listener is closed once none is open. When the context ends, what is
// still under way is answered as it stands.
//
// A connection is closed under a request only if its client takes it up later than it was
// told to, and in the moment of the close.
func (front *frontServer) stop(ctx context.Context) {
	front.drain()
	periodic.Pause(ctx, front.plan.Drain)
	front.closeUnused(ctx)
	front.shutdown(ctx)
}

// drain makes each further answer the last one of its connection. Idle connections stay
// open: clients may still take them up.
func (front *frontServer) drain() { front.draining.Store(true) }

// shutdown takes no more connections and waits until none is open or the context ends.
func (front *frontServer) shutdown(ctx context.Context) {
	front.closeListener()
	front.closeUnused(ctx)
	if ctx.Err() != nil {
		front.interrupt()
	}
	front.mutex.Lock()
	servers := front.servers
	front.mutex.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// closeUnused closes connections once their clients can't have kept them, until none is
// open or the context ends.
func (front *frontServer) closeUnused(ctx context.Context) {
	unused := front.longestKept() + lateTime
	for front.conns.closeQuiet(time.Now().Add(-unused)) > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, closePause)
	}
}

// closeListener serves the connections that wait to be accepted and takes no more.
func (front *frontServer) closeListener() {
	front.mutex.Lock()
	bound := front.bound
	front.mutex.Unlock()
	if bound == nil {
		return
	}
	for _, conn := range acceptWaiting(bound) {
		front.take(conn)
	}
	_ = bound.Close()
	front.accepting.Wait()
}

// interrupt has all requests under way answered as they stand, and closes the
// connections without one.
func (front *frontServer) interrupt() {
	under := len(front.conns.all())
	front.interrupted.Interrupt()
	ctx, cancel := context.WithTimeout(context.Background(), front.plan.Answer)
	defer cancel()
	for front.conns.closeQuiet(time.Now()) > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, closePause)
	}
	left := len(front.conns.all())
	front.logger.Info("requests interrupted by the stop", zap.Int("connections", under), zap.Int("cut_off", left))
}

// acceptWaiting takes the connections that the kernel has accepted and this process has
// not: closing the listener would reset them, with the requests that their clients have
// sent. A process with a fraction of a core finds them there for a tenth of a second.
func acceptWaiting(listener net.Listener) (waiting []net.Conn) {
	withDescriptor, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(accepted), "accepted")
			if conn, err := net.FileConn(file); err == nil {
				waiting = append(waiting, conn)
			}
			_ = file.Close()
		}
	})
	return waiting
}
