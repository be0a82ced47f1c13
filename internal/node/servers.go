package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/route"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 32 << 10
	healthTimeout        = 5 * time.Second
	acceptPause          = 20 * time.Millisecond
)

// frontServer is the listener for clients. It stands on net/http's server and
// not on go-zero's rest, whose router cleans paths and answers odd ones itself:
// requests must reach replicas unaltered.
//
// The limits of a connection are those in force when it was accepted: a change
// of the limits makes a new http.Server, and the old one keeps its connections.
type frontServer struct {
	handler http.Handler
	logger  *zap.Logger

	mutex    sync.Mutex
	limits   route.Limits
	current  *http.Server
	bound    net.Listener
	listener *handOver
	servers  []*http.Server
	draining bool
}

func newFrontServer(logger *zap.Logger) *frontServer { return &frontServer{logger: logger} }

// listen binds the address and serves it.
func (front *frontServer) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "front")
	}
	front.mutex.Lock()
	front.bound = listener
	front.startServer()
	front.mutex.Unlock()
	go front.accept(listener)
	return nil
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
		target.give(conn)
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
		Handler:           front.handler,
		ReadHeaderTimeout: orDefault(front.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(front.limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    defaultHeaderBytes,
		ErrorLog:          zap.NewStdLog(front.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	if front.limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = front.limits.MaxHeaderBytes
	}
	if front.draining {
		server.SetKeepAlivesEnabled(false)
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

// drain closes kept connections between requests from now on.
func (front *frontServer) drain() {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	front.draining = true
	for _, server := range front.servers {
		server.SetKeepAlivesEnabled(false)
	}
}

// shutdown takes no more connections and waits until no request is under way
// or the context ends.
func (front *frontServer) shutdown(ctx context.Context) {
	front.mutex.Lock()
	servers := front.servers
	if front.bound != nil {
		_ = front.bound.Close()
	}
	front.mutex.Unlock()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			front.logger.Warn("requests cut off by the stop", zap.Error(err))
			_ = server.Close()
		}
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

// healthServer tells whether clients should come here, and the metrics.
type healthServer struct {
	ready   func() (bool, string)
	metrics http.Handler
	logger  *zap.Logger
}

func (health *healthServer) listen(readyAddress, metricsAddress string) error {
	readiness := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		ready, reason := health.ready()
		if !ready {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = writer.Write([]byte(reason))
	})
	if readyAddress != "" {
		if err := serveHealth(readyAddress, readiness); err != nil {
			return err
		}
	}
	if metricsAddress == "" {
		return nil
	}
	// Without metrics a daemon still serves.
	if err := serveHealth(metricsAddress, health.metrics); err != nil {
		health.logger.Error("metrics not served", zap.String("address", metricsAddress), zap.Error(err))
	}
	return nil
}

func serveHealth(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "health")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: healthTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}
