package sourceaddr_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/daemon/sourceaddr"
)

// connect opens a connection to a new listener and returns its local port.
func connect(t *testing.T, dialer *net.Dialer) (ip string, port int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connection, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	address := connection.LocalAddr().(*net.TCPAddr)
	return address.IP.String(), address.Port
}

func TestConnectsFromTheLocalIP(t *testing.T) {
	is := is.New(t)
	ip, port := connect(t, sourceaddr.Dialer("127.0.0.9:7182", time.Second))
	is.Equal(ip, "127.0.0.9")
	is.True(port != 7182)
	ip, _ = connect(t, sourceaddr.Dialer("", time.Second))
	is.Equal(ip, "127.0.0.1")
}
