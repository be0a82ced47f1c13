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
	"woodworks/internal/requests/ingress"
	"woodworks/internal/requests/route"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes apply unless a configuration
	// sets a limit.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 32 << 10
	// acceptRetryDelay is the delay after a failed accept, for example for lack of file
	// descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// clientListener is a listener for clients. It uses net/http's server and not go-zero's rest, whose
// router cleans paths and answers some requests itself: requests must reach replicas unaltered.
//
// The limits of a request's head are those in force when its connection was accepted: a change of
// them creates a new http.Server, and existing connections stay with the old one. The idle limit is
// enforced by clientConns and applies to all connections.
type clientListener struct {
	handler http.Handler
	logger  *zap.Logger
	conns   *clientConns
	// plannedStop is the planned stop of the daemon, which interrupts requests at its end.
	plannedStop *shutdown.Stop
	// draining makes each answer close its connection.
	draining atomic.Bool
	// keepAlive is the longest Keep-Alive timeout in an answer, a time.Duration.
	keepAlive atomic.Int64

	mu       sync.Mutex
	limits   route.Limits
	current  *http.Server
	listener net.Listener
	queue    *connQueue
	servers  []*http.Server
	// accepting waits for the goroutine that accepts connections.
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
		watched, cancel := ingress.WithClientLeft(r.Context(), c.clientLeft)
		defer cancel()
		if !r.ProtoAtLeast(1, 1) {
			defer resetIfAborted(c)
		}
		r = r.WithContext(watched)
	}
	// A write deadline set for the previous request must not apply to this one.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		l.logger.Debug("failed to clear the write deadline of a client connection", zap.Error(err))
	}
	ctx, release := l.plannedStop.Bound(r.Context())
	defer release()
	a := &responseWriter{ResponseWriter: w, listener: l}
	l.handler.ServeHTTP(a, r.WithContext(ctx))
	a.prepareHeader()
}

// resetIfAborted is deferred by the handler of a request. If the handler aborts the answer, the connection is
// reset: in HTTP/1.0 only the close of the connection ends a body of unknown length.
func resetIfAborted(c *clientConn) {
	if aborted := recover(); aborted != nil {
		c.resetOnClose()
		panic(aborted)
	}
}

// listen binds the address and serves it in the background.
func (l *clientListener) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	l.serve(listener)
	return nil
}

// serve accepts and serves the connections of listener in the background.
func (l *clientListener) serve(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	l.startServer()
	l.mu.Unlock()
	l.accepting.Go(func() { l.accept(listener) })
}

// accept passes each new connection to the current server until the listener is closed.
func (l *clientListener) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			l.logger.Warn("failed to accept a client connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.enqueue(conn)
	}
}

// enqueue passes a connection to the current server.
func (l *clientListener) enqueue(conn net.Conn) {
	l.mu.Lock()
	target := l.queue
	l.mu.Unlock()
	target.push(l.conns.add(conn, time.Now()))
}

// applyConfiguration applies the limits of a new configuration.
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
	l.logger.Info("limits applied", zap.Int("header_bytes", l.limits.MaxHeaderBytes),
		zap.Int64("body_bytes", l.limits.MaxBodyBytes),
		zap.Duration("header_timeout", l.limits.HeaderTimeout), zap.Duration("idle_timeout", l.limits.IdleTimeout))
	if l.current != nil {
		l.startServer()
	}
}

// startServer starts a server with the current limits. It sets no IdleTimeout: net/http would apply
// the limit from when a connection became idle, while its client knows the current one. The mutex
// must be held.
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
		l.logger.Error("client listener ended", zap.Error(err))
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connQueue is a net.Listener that accepts the connections passed to push.
type connQueue struct {
	connections chan net.Conn
	// closed is closed, once, when no more connections are accepted.
	closed chan struct{}
	once   sync.Once
}

// push passes a connection to the server, or closes it if the server has stopped.
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
