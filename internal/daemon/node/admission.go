package node

import (
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/requests/admission"
)

// newAdmission returns the controller that decides which plain requests wait while a service is
// full.
func (n *Node) newAdmission() *admission.Controller {
	return admission.New(admission.Options{
		Replicas: n.table.Replicas, Daemons: n.daemonCount, Clock: bootclock.Now,
		Observe: n.metrics.Admission, Logger: n.logger,
	})
}

func (n *Node) registerAdmissionMetrics() {
	m, controller := n.metrics, n.handler.Admission
	metrics.Gauge(m, "admission_waiting", "Plain requests that wait for a place at a full service.",
		func() int { return controller.Count().Waiting })
	metrics.Gauge(m, "admission_full_services", "Services that this daemon has seen to be full.",
		func() int { return controller.Count().FullServices })
	metrics.Gauge(m, "admission_places", "This daemon's part of the places of the services that are full.",
		func() float64 { return controller.Count().SlotShare })
}
