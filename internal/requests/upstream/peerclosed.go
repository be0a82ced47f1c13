package upstream

import (
	"syscall"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/recvbuf"
)

// peerClosed reports, once a Read of the connection has met the end, whether the peer has closed the
// connection after all that it sent, and has not reset it. A reset that the write of a request's body got
// looks to Read like a close. If the two cannot be told apart, peerClosed returns false.
func (c *connection) peerClosed() bool {
	if c.bodyWritten == nil {
		return true // Read would have got the reset
	}
	switch recvbuf.EndingOf(c.raw) {
	case recvbuf.Closed:
		return true
	case recvbuf.Over:
		<-c.bodyWritten // the write does not wait any more
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
