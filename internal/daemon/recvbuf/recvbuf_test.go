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

// A write takes the reset of a connection, so that a read meets an end of file as after a close.
func TestEndings(t *testing.T) {
	for want, end := range map[Ending]func(conn *net.TCPConn) error{
		Closed: func(conn *net.TCPConn) error { return conn.CloseWrite() },
		Over: func(conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		},
	} {
		is := is.New(t)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		near, err := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(err)
		far, err := listener.Accept()
		is.NoErr(err)
		is.Equal(EndingOf(near), EndUnknown) // it is open
		is.NoErr(end(far.(*net.TCPConn)))
		for EndingOf(near) == EndUnknown {
			time.Sleep(time.Millisecond)
		}
		is.Equal(EndingOf(near), want)
		_, written := io.WriteString(near, "x")
		is.Equal(written != nil, want == Over)
		_, err = near.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.NoErr(near.Close())
		is.Equal(EndingOf(near), EndUnknown)
		_ = far.Close()
		_ = listener.Close()
	}
	near, _ := net.Pipe()
	is.New(t).Equal(EndingOf(near), EndUnknown)
}
