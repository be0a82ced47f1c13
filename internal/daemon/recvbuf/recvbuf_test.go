package recvbuf

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStates(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	far, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = far.Close() }()
	is.Equal(Look(far), Empty)
	is.Equal(Take(far, make([]byte, 8)), 0)
	_, err = io.WriteString(near, "four")
	is.NoErr(err)
	is.Equal(Look(far), Waiting)
	is.NoErr(far.SetReadDeadline(time.Now().Add(-time.Second)))
	is.Equal(Take(far, make([]byte, 8)), 4)
	is.Equal(Look(far), Empty)
	is.NoErr(near.Close())
	for Look(far) == Empty {
		time.Sleep(time.Millisecond)
	}
	is.Equal(Look(far), Ended)
	is.NoErr(far.Close())
	is.Equal(Look(far), Unknown)
}

func TestAConnectionInMemoryIsUnknown(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	is.Equal(Look(far), Unknown)
	is.Equal(Take(far, make([]byte, 1)), 0)
}
