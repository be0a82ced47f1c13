package recvbuf

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Ending is how a connection has ended from which a read has got an end of file. That read alone does not
// tell: a socket reports a reset to one call only, and if that was a write, a read gets an end of file.
type Ending int

// Endings of a connection.
const (
	// EndUnknown: the connection is open, or the kernel's state of it cannot be seen.
	EndUnknown Ending = iota
	// Closed: the peer has sent all and closed its side. This side is open.
	Closed
	// Over: the connection was reset, possibly after the peer had closed its side, or was given up. No read
	// or write waits any more.
	Over
)

// EndingOf returns how a connection has ended.
func EndingOf(conn net.Conn) Ending {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return EndUnknown
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return EndUnknown
	}
	var info *unix.TCPInfo
	var asked error
	err = raw.Control(func(fd uintptr) {
		info, asked = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || asked != nil {
		return EndUnknown // closed on this side, or no TCP
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT:
		return Closed
	case unix.BPF_TCP_CLOSE:
		return Over
	default:
		return EndUnknown
	}
}
