package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Meter counts the bytes of peer traffic. A nil Meter counts nothing.
type Meter struct {
	// Received and Sent are totals in bytes.
	Received atomic.Uint64
	Sent     atomic.Uint64
}

func (meter *Meter) wrap(connection net.Conn) net.Conn {
	if meter == nil {
		return connection
	}
	return &meteredConn{Conn: connection, meter: meter}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (connection *meteredConn) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	connection.meter.Received.Add(uint64(count))
	return count, err
}

// Write implements net.Conn.
func (connection *meteredConn) Write(data []byte) (int, error) {
	count, err := connection.Conn.Write(data)
	connection.meter.Sent.Add(uint64(count))
	return count, err
}

// Server answers calls of other daemons.
type Server struct {
	rpcServer   *rpc.Server
	listener    net.Listener
	meter       *Meter
	mutex       sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// Listen binds the address. Nothing is answered before Serve.
func Listen(address string, meter *Meter) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	return &Server{
		rpcServer:   rpc.NewServer(),
		listener:    listener,
		meter:       meter,
		connections: map[net.Conn]bool{},
	}, nil
}

// Register makes a receiver's methods callable under a name.
func (server *Server) Register(name string, receiver any) error {
	return errors.Wrap(server.rpcServer.RegisterName(name, receiver), "peer: register")
}

// Serve answers calls until Close.
func (server *Server) Serve() {
	for {
		connection, err := server.listener.Accept()
		if err != nil {
			return
		}
		if !server.track(connection) {
			_ = connection.Close()
			return
		}
		go func() {
			defer server.untrack(connection)
			server.rpcServer.ServeConn(server.meter.wrap(connection))
		}()
	}
}

func (server *Server) track(connection net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		return false
	}
	server.connections[connection] = true
	return true
}

func (server *Server) untrack(connection net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, connection)
}

// Close stops listening and cuts every connection.
func (server *Server) Close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	_ = server.listener.Close()
	for connection := range server.connections {
		_ = connection.Close()
	}
}
