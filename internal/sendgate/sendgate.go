// Package sendgate decides, once, whether a request was sent or given up.
//
// Both sides of the race call the gate: the code about to write the first byte
// calls TrySend, the code about to tell a caller "not executed" calls Abandon.
// Exactly one of them wins, also when the process is paused between the two.
package sendgate

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrClosed is returned by a write that came after the request was given up,
// or after the gate's deadline.
var ErrClosed = errors.New("sendgate: request was given up before it was sent")

const (
	pending int32 = iota
	sent
	abandoned
)

// Gate is the state of one request. The zero value is open and has no deadline.
type Gate struct {
	state atomic.Int32
	// NotAfter is when sending is no longer allowed; zero for no bound. It
	// must be set before the gate is shared. It is compared on the monotonic
	// clock at the moment of sending, so a process that was paused finds it
	// passed.
	NotAfter time.Time
}

// TrySend reports whether the first byte may go out. Once true it stays true.
func (gate *Gate) TrySend() bool {
	if gate.state.Load() == sent {
		return true
	}
	if !gate.NotAfter.IsZero() && time.Now().After(gate.NotAfter) {
		gate.state.CompareAndSwap(pending, abandoned)
	}
	return gate.state.CompareAndSwap(pending, sent) || gate.state.Load() == sent
}

// Abandon gives the request up. It reports true if no byte was sent and none
// ever will be.
func (gate *Gate) Abandon() bool {
	return gate.state.CompareAndSwap(pending, abandoned) || gate.state.Load() == abandoned
}

// Sent reports whether a byte may have gone out.
func (gate *Gate) Sent() bool { return gate.state.Load() == sent }

// Conn wraps a connection so that its first write passes through the gate.
func (gate *Gate) Conn(connection net.Conn) net.Conn {
	return &gatedConn{Conn: connection, gate: gate}
}

type gatedConn struct {
	net.Conn
	gate *Gate
}

// Write implements net.Conn.
func (connection *gatedConn) Write(data []byte) (int, error) {
	if !connection.gate.TrySend() {
		return 0, ErrClosed
	}
	return connection.Conn.Write(data)
}
