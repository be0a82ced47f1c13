package node

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/quarantine"
)

// healthHeaderTimeout bounds reading the head of a request for health or metrics.
const healthHeaderTimeout = 5 * time.Second

// healthServer serves readiness, metrics and the operators' view of the quarantine.
type healthServer struct {
	ready   func() (bool, string)
	metrics http.Handler
	// quarantine lists and clears quarantined contents for operators.
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
			h.logger.Debug("failed to write readiness response", zap.Error(err)) // the prober has disconnected
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
	// A daemon without a metrics listener still serves clients.
	if err := serveHealth(metricsAddress, h.operatorHandler(), h.logger); err != nil {
		h.logger.Error("failed to listen for metrics", zap.String("address", metricsAddress), zap.Error(err))
	}
	return nil
}

// operatorHandler returns the handler of the metrics address, which only operators can reach.
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
		logger.Error("health listener ended", zap.String("address", address), zap.Error(server.Serve(listener)))
	}()
	return nil
}
