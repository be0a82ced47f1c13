package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/route"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 32 << 10
	acceptPause          = 20 * time.Millisecond
)

// frontServer is the listener for clients. It stands on net/http's server and
// not on go-zero's rest, whose router cleans paths and answers odd ones itself:
// requests must reach replicas unaltered.
//
// The limits of a request's head are those in force when its connection was accepted: a
// change of them makes a new http.Server, and the old one keeps its connections. How long
// a connection may be idle is up to clientConns, for all connections alike.
type frontServer struct {
	handler http.Handler
	logger  *zap.Logger
	conns   *clientConns
	// planned is the planned stop of the daemon, which interrupts requests at its end.
	planned *shutdown.Stop
	// draining makes each answer the last one of its connection.
	draining atomic.Bool

	mutex sync.Mutex
	// keep is the longest that an answer tells a client to keep its connection.
	keep     time.Duration
	limits   route.Limits
	current  *http.Server
	bound    net.Listener
	listener *handOver
	servers  []*http.Server
	// accepting ends with the loop that takes connections.
	accepting sync.WaitGroup
}

func newFrontServer(logger *zap.Logger) *frontServer {
	return &frontServer{logger: logger, conns: newClientConns(), planned: shutdown.New(), keep: longestKeep}
}

// ServeHTTP implements http.Handler.
func (front *frontServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.handled()
	}
	// What bounded the writes of the request before does not bound those of this one.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		front.logger.Debug("writes to the client's connection keep their bound", zap.Error(err))
	}
	ctx, release := front.planned.Bound(r.Context())
	defer release()
	told := &answer{ResponseWriter: w, front: front}
	front.handler.ServeHTTP(told, r.WithContext(ctx))
	told.begin()
}

// listen binds the address and serves it.
func (front *frontServer) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "front")
	}
	front.serve(listener)
	return nil
}

// serve takes the connections of a listener over.
func (front *frontServer) serve(listener net.Listener) {
	front.mutex.Lock()
	front.bound = listener
	front.startServer()
	front.mutex.Unlock()
	front.accepting.Go(func() { front.accept(listener) })
}

// accept gives each new connection to the server in force.
func (front *frontServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		front.take(conn)
	}
}

// take gives a connection to the server in force.
func (front *frontServer) take(conn net.Conn) {
	front.mutex.Lock()
	target := front.listener
	front.mutex.Unlock()
	target.give(front.conns.add(conn, time.Now()))
}

// configured takes the limits of a new configuration over.
func (front *frontServer) configured(configuration *route.Configuration) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.limits == configuration.Limits {
		return
	}
	front.limits = configuration.Limits
	front.conns.setLimits(connLimits{
		idle: orDefault(front.limits.IdleTimeout, defaultIdleTimeout),
		head: orDefault(front.limits.HeaderTimeout, defaultHeaderTimeout),
	})
	front.logger.Info("limits in force", zap.Int("header_bytes", front.limits.MaxHeaderBytes), zap.Int64("body_bytes", front.limits.MaxBodyBytes),
		zap.Duration("header_timeout", front.limits.HeaderTimeout), zap.Duration("idle_timeout", front.limits.IdleTimeout))
	if front.current != nil {
		front.startServer()
	}
}

// startServer makes a server with the limits in force. It closes no idle connections:
// its limit would be that of the time when a connection became idle, while the client
// goes by the one in force. The mutex is held.
func (front *frontServer) startServer() {
	server := &http.Server{
		Handler:   front,
		ConnState: front.conns.stateChanged,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ReadHeaderTimeout: orDefault(front.limits.HeaderTimeout, defaultHeaderTimeout),
		MaxHeaderBytes:    defaultHeaderBytes,
		ErrorLog:          zap.NewStdLog(front.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	if front.limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = front.limits.MaxHeaderBytes
	}
	front.current = server
	front.servers = append(front.servers, server)
	front.listener = &handOver{connections: make(chan net.Conn), closed: make(chan struct{})}
	go func(listener *handOver) { _ = server.Serve(listener) }(front.listener)
}

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// handOver is a listener whose connections come from another one.
type handOver struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

// give hands a connection to the server, or closes it if the server has stopped.
func (listener *handOver) give(conn net.Conn) {
	select {
	case listener.connections <- conn:
	case <-listener.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (listener *handOver) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.connections:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (listener *handOver) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

// Addr implements net.Listener.
func (listener *handOver) Addr() net.Addr { return &net.TCPAddr{} }
