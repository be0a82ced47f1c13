// Package recvbuf looks into the receive buffer that the kernel keeps for a connection,
// without waiting for bytes and whatever the connection's deadlines are, and tells how a
// connection has ended.
//
// # Usage
//
//	if recvbuf.Look(conn) == recvbuf.Empty {
//		// Nothing has arrived that nobody has read.
//	}
package recvbuf

import (
	"net"
	"syscall"
)

// State is what a receive buffer holds.
type State int

// States of a receive buffer.
const (
	// Unknown: the connection has no buffer in the kernel, or it cannot be seen.
	Unknown State = iota
	// Empty: no bytes wait, and the peer may send some.
	Empty
	// Waiting: bytes have arrived that are not read.
	Waiting
	// Ended: all bytes are read, and the peer will send no more. A reset connection has ended too.
	Ended
)

// Look returns what the connection's buffer holds.
func Look(conn net.Conn) State {
	var probe [1]byte
	n, err := receive(conn, probe[:], syscall.MSG_PEEK)
	switch {
	case err == syscall.EAGAIN:
		return Empty
	case err == syscall.ECONNRESET:
		return Ended
	case err != nil:
		return Unknown
	case n > 0:
		return Waiting
	default:
		return Ended
	}
}

// Take reads bytes that have arrived, without waiting for any.
func Take(conn net.Conn, p []byte) int {
	n, err := receive(conn, p, 0)
	if err != nil {
		return 0
	}
	return n
}

// receive reads at once from the connection's socket.
func receive(conn net.Conn, p []byte, flags int) (n int, err error) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.ENOTSOCK
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return 0, err
	}
	var received error
	err = raw.Control(func(fd uintptr) {
		n, _, received = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, received
}
