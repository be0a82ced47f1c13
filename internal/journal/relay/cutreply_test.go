package relay

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// cutConn is a connection of which only so many bytes can be read, once a call has been written.
type cutConn struct {
	net.Conn
	left    int
	once    sync.Once
	written chan struct{}
}

// Write implements net.Conn.
func (c *cutConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.once.Do(func() { close(c.written) })
	return n, err
}

// Read implements net.Conn.
func (c *cutConn) Read(into []byte) (int, error) {
	<-c.written
	if c.left == 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(into[:min(len(into), c.left)])
	c.left -= n
	return n, err
}

// A reply that stops at any byte is none, and the call may have been carried out.
func TestReplyThatStopsIsNoReply(t *testing.T) {
	is := is.New(t)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Echo", Echo{}))
	for cut := 0; ; cut++ {
		asked := &peer{Address: "b"}
		conn := &cutConn{left: cut, written: make(chan struct{})}
		dial := func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			conn.Conn = near
			go server.ServeConn(far)
			return conn, nil
		}
		answer := ""
		err := asked.ask(t.Context(), dial, "Echo.Say", "hello", &answer)
		if conn.left > 0 {
			is.NoErr(err)
			is.Equal(answer, "hello")
			is.True(cut > len("hello"))
			asked.disconnect()
			return
		}
		whole := err == nil && answer == "hello" // the cut came right after the reply
		is.True(whole || err != nil && !errors.Is(err, ErrNotReached))
		asked.disconnect()
	}
}
