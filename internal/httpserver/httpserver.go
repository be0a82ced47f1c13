// Package httpserver serves HTTP through go-zero's rest with every middleware
// off. Each of them refuses or cuts requests by rules of its own (a timeout of
// 3 s, bodies of 1 MiB, a circuit breaker, shedding by processor load, a
// connection cap); what is wanted of them is done by the handlers on purpose.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// Server is one listener.
type Server struct{ server *http.Server }

// Start serves the routes on an address in the background. An address in use
// or malformed is an error.
func Start(address string, routes []rest.Route, notFound, notAllowed http.Handler) (*Server, error) {
	// go-zero binds the address itself and exits the process on failure, so an
	// address in use is found first, for a clear error.
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "http server")
	}
	_ = probe.Close()
	conf, err := configuration(address)
	if err != nil {
		return nil, err
	}
	restServer, err := rest.NewServer(conf, rest.WithNotFoundHandler(notFound), rest.WithNotAllowedHandler(notAllowed))
	if err != nil {
		return nil, errors.Wrap(err, "http server")
	}
	restServer.AddRoutes(routes)
	captured := make(chan *http.Server, 1)
	go restServer.StartWithOpts(func(httpServer *http.Server) {
		httpServer.ReadHeaderTimeout = headerTimeout
		captured <- httpServer
	})
	return &Server{server: <-captured}, nil
}

func configuration(address string) (rest.RestConf, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "http server: address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "http server: port")
	}
	conf := rest.RestConf{Host: host, Port: port}
	conf.ServiceConf = service.ServiceConf{Name: "woodworks"}
	conf.Log.Mode = "console"
	conf.Log.Stat = false
	return conf, nil
}

// Shutdown closes the listener and waits for requests in flight to end.
func (server *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(server.server.Shutdown(ctx), "http server")
}

// Close cuts everything at once.
func (server *Server) Close() { _ = server.server.Close() }
