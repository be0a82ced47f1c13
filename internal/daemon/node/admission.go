package node

import (
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/requests/admission"
)

// newAdmission makes the part that decides which plain requests wait while a service is full.
func newAdmission(node *Node) *admission.Controller {
	return admission.New(admission.Options{
		Replicas: node.table.Replicas, Daemons: node.daemons, Clock: bootclock.Now,
		Observe: node.metrics.Admission, Logger: node.logger,
	})
}

func registerAdmissionMetrics(m *metrics.Metrics, controller *admission.Controller) {
	metrics.Gauge(m, "admission_waiting", "Plain requests that wait for a place at a full service.",
		func() int { return controller.Count().Waiting })
	metrics.Gauge(m, "admission_full_services", "Services that this daemon has seen to be full.",
		func() int { return controller.Count().Full })
	metrics.Gauge(m, "admission_places", "This daemon's part of the places of the services that are full.",
		func() float64 { return controller.Count().Places })
}
