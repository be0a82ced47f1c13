package upstream

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// peerClosed reports, once a Read of the connection has met the end, whether the peer has closed the
// connection after all that it sent, and has not reset it. A socket reports a reset to one call only: if
// that was the write of a request's body, a Read meets an end as after a close. If the two cannot be told
// apart, peerClosed returns false.
func (c *connection) peerClosed() bool {
	if c.bodyWritten == nil {
		return true // Read would have got the reset
	}
	switch tcpState(c.raw) {
	case unix.BPF_TCP_CLOSE_WAIT:
		return true
	case unix.BPF_TCP_CLOSE:
		<-c.bodyWritten // a write on a reset connection does not block
	default:
		select {
		case <-c.bodyWritten:
		default:
			return false
		}
	}
	// After a close and a reset, a write fails with EPIPE, after a reset alone with ECONNRESET.
	return c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE)
}

// tcpState returns the kernel's state of a TCP connection, or 0 if it is unknown.
func tcpState(conn net.Conn) uint8 {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return 0
	}
	var state uint8
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state = info.State
		}
	})
	if err != nil {
		return 0 // the connection was closed here
	}
	return state
}
