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

	"woodworks/internal/periodic"
	"woodworks/internal/route"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 32 << 10
	acceptPause          = 20 * time.Millisecond
	// quietTime is how long a connection has been idle when a stop closes it: by
	// then a client that was given it has sent its request.
	quietTime = time.Second
	// closePause is the time between two looks for such connections.
	closePause = 20 * time.Millisecond
)

// frontServer is the listener for clients. It stands on net/http's server and
// not on go-zero's rest, whose router cleans paths and answers odd ones itself:
// requests must reach replicas unaltered.
//
// The limits of a connection are those in force when it was accepted: a change
// of the limits makes a new http.Server, and the old one keeps its connections.
type frontServer struct {
	handler  http.Handler
	logger   *zap.Logger
	conns    *clientConns
	draining atomic.Bool

	mutex    sync.Mutex
	limits   route.Limits
	current  *http.Server
	bound    net.Listener
	listener *handOver
	servers  []*http.Server
}

func newFrontServer(logger *zap.Logger) *frontServer {
	return &frontServer{logger: logger, conns: newClientConns()}
}

// ServeHTTP implements http.Handler. While the daemon stops, each answer is the
// last of its connection.
func (front *frontServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if front.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	front.handler.ServeHTTP(w, r)
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
	go front.accept(listener)
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
		front.mutex.Lock()
		target := front.listener
		front.mutex.Unlock()
		target.give(front.conns.add(conn, time.Now()))
	}
}

// configured takes the limits of a new configuration over.
func (front *frontServer) configured(configuration *route.Configuration) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.limits == configuration.Limits {
		return
	}
	front.limits = configuration.Limits
	front.logger.Info("limits in force", zap.Int("header_bytes", front.limits.MaxHeaderBytes), zap.Int64("body_bytes", front.limits.MaxBodyBytes),
		zap.Duration("header_timeout", front.limits.HeaderTimeout), zap.Duration("idle_timeout", front.limits.IdleTimeout))
	if front.current != nil {
		front.startServer()
	}
}

// startServer makes a server with the limits in force. The mutex is held.
func (front *frontServer) startServer() {
	server := &http.Server{
		Handler:           front,
		ConnState:         front.conns.stateChanged,
		ReadHeaderTimeout: orDefault(front.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(front.limits.IdleTimeout, defaultIdleTimeout),
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

// stop takes requests for a while longer, each answer being the last of its connection,
// and then shuts down.
func (front *frontServer) stop(ctx context.Context) {
	front.drain()
	periodic.Pause(ctx, drainTime)
	front.shutdown(ctx)
}

// drain makes each further answer the last one of its connection. Idle
// connections stay open, as a request may be on its way.
func (front *frontServer) drain() { front.draining.Store(true) }

// shutdown takes no more connections and waits until none is open or the
// context ends. It closes those that have been quiet for quietTime.
func (front *frontServer) shutdown(ctx context.Context) {
	front.mutex.Lock()
	servers := front.servers
	if front.bound != nil {
		_ = front.bound.Close()
	}
	front.mutex.Unlock()
	for front.conns.closeQuiet(time.Now().Add(-quietTime)) > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, closePause)
	}
	if left := len(front.conns.all()); left > 0 {
		front.logger.Warn("connections cut off by the stop", zap.Int("connections", left))
	}
	for _, server := range servers {
		_ = server.Close()
	}
}

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
