package node

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/quarantine"
)

// healthHeaderTimeout is how long the head of a request for health or metrics may take.
const healthHeaderTimeout = 5 * time.Second

// healthServer tells whether clients should come here, and the metrics.
type healthServer struct {
	ready   func() (bool, string)
	metrics http.Handler
	// quarantine shows operators the contents that are held back.
	quarantine http.Handler
	logger     *zap.Logger
}

func (h *healthServer) listen(readyAddress, metricsAddress string) error {
	readiness := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := h.ready()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if _, err := w.Write([]byte(reason)); err != nil {
			h.logger.Debug("answer about readiness not taken", zap.Error(err)) // whoever asked has left
		}
	})
	if readyAddress != "" {
		if err := serveHealth(readyAddress, readiness, h.logger); err != nil {
			return err
		}
	}
	if metricsAddress == "" {
		return nil
	}
	// Without metrics a daemon still serves.
	if err := serveHealth(metricsAddress, h.operatorHandler(), h.logger); err != nil {
		h.logger.Error("metrics not served", zap.String("address", metricsAddress), zap.Error(err))
	}
	return nil
}

// operatorHandler returns the handler of the address that only operatorHandler reach.
func (h *healthServer) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(quarantine.Path, h.quarantine)
	mux.Handle(quarantine.Path+"/", h.quarantine)
	mux.Handle("/", h.metrics)
	return mux
}

func serveHealth(address string, handler http.Handler, logger *zap.Logger) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "health")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: healthHeaderTimeout}
	go func() {
		logger.Error("listener for health ended", zap.String("address", address), zap.Error(server.Serve(listener)))
	}()
	return nil
}
