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
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes hold until a
	// configuration sets limits of its own.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 32 << 10
	// acceptRetryDelay is the time between two tries to accept where the first has failed, as
	// for lack of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// clientListener is the listener for clients. It stands on net/http's server and
// not on go-zero's rest, whose router cleans paths and answers odd ones itself:
// requests must reach replicas unaltered.
//
// The limits of a request's head are those in force when its connection was accepted: a
// change of them makes a new http.Server, and the old one keeps its connections. How long
// a connection may be idle is up to clientConns, for all connections alike.
type clientListener struct {
	handler http.Handler
	logger  *zap.Logger
	conns   *clientConns
	// plannedStop is the plannedStop stop of the daemon, which interrupts requests at its end.
	plannedStop *shutdown.Stop
	// draining makes each answer the last one of its connection.
	draining atomic.Bool
	// keepAlive is the longest that an answer tells a client to keepAlive its connection, a time.Duration.
	keepAlive atomic.Int64

	mu       sync.Mutex
	limits   route.Limits
	current  *http.Server
	listener net.Listener
	queue    *connQueue
	servers  []*http.Server
	// accepting ends with the loop that takes connections.
	accepting sync.WaitGroup
}

func newClientListener(planned *shutdown.Stop, logger *zap.Logger) *clientListener {
	l := &clientListener{logger: logger, conns: newClientConns(), plannedStop: planned}
	l.keepAlive.Store(int64(maxKeepAlive))
	return l
}

// ServeHTTP implements http.Handler.
func (l *clientListener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.markHandling()
	}
	// What bounded the writes of the request before does not bound those of this one.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		l.logger.Debug("writes to the client's connection keep their bound", zap.Error(err))
	}
	ctx, release := l.plannedStop.Bound(r.Context())
	defer release()
	a := &responseWriter{ResponseWriter: w, listener: l}
	l.handler.ServeHTTP(a, r.WithContext(ctx))
	a.prepareHeader()
}

// listen binds the address and serves it.
func (l *clientListener) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	l.serve(listener)
	return nil
}

// serve takes the connections of a listener over.
func (l *clientListener) serve(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	l.startServer()
	l.mu.Unlock()
	l.accepting.Go(func() { l.accept(listener) })
}

// accept gives each new connection to the server in force.
func (l *clientListener) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			l.logger.Warn("connection of a client not accepted", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.enqueue(conn)
	}
}

// enqueue gives a connection to the server in force.
func (l *clientListener) enqueue(conn net.Conn) {
	l.mu.Lock()
	target := l.queue
	l.mu.Unlock()
	target.push(l.conns.add(conn, time.Now()))
}

// applyConfiguration takes the limits of a new configuration over.
func (l *clientListener) applyConfiguration(configuration *route.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == configuration.Limits {
		return
	}
	l.limits = configuration.Limits
	l.conns.setLimits(connLimits{
		idle: orDefault(l.limits.IdleTimeout, defaultIdleTimeout),
		head: orDefault(l.limits.HeaderTimeout, defaultHeaderTimeout),
	})
	l.logger.Info("limits in force", zap.Int("header_bytes", l.limits.MaxHeaderBytes),
		zap.Int64("body_bytes", l.limits.MaxBodyBytes),
		zap.Duration("header_timeout", l.limits.HeaderTimeout), zap.Duration("idle_timeout", l.limits.IdleTimeout))
	if l.current != nil {
		l.startServer()
	}
}

// startServer makes a server with the limits in force. It closes no idle connections:
// its limit would be that of the time when a connection became idle, while the client
// goes by the one in force. The mutex is held.
func (l *clientListener) startServer() {
	server := &http.Server{
		Handler:   l,
		ConnState: l.conns.stateChanged,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ReadHeaderTimeout: orDefault(l.limits.HeaderTimeout, defaultHeaderTimeout),
		MaxHeaderBytes:    defaultHeaderBytes,
		ErrorLog:          zap.NewStdLog(l.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	if l.limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = l.limits.MaxHeaderBytes
	}
	l.current = server
	l.servers = append(l.servers, server)
	l.queue = &connQueue{connections: make(chan net.Conn), closed: make(chan struct{})}
	go l.serveQueue(server, l.queue)
}

// serveQueue serves the connections of a queue until the server is closed.
func (l *clientListener) serveQueue(server *http.Server, queue *connQueue) {
	err := server.Serve(queue)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.logger.Error("listener for clients ended", zap.Error(err))
	}
}

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connQueue is a listener whose connections come from another one.
type connQueue struct {
	connections chan net.Conn
	// closed is closed, once, when no more connections are taken.
	closed chan struct{}
	once   sync.Once
}

// push hands a connection to the server, or closes it if the server has stopped.
func (q *connQueue) push(conn net.Conn) {
	select {
	case q.connections <- conn:
	case <-q.closed:
		_ = conn.Close() // nothing has been read from it
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.connections:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{} }
