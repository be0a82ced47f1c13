package node

import "woodworks/internal/daemon/metrics"

// registerMetrics registers the gauges and counters whose values are read from the components of
// the node.
func (n *Node) registerMetrics() {
	n.registerBatchMetrics()
	n.registerJournalMetrics()
	n.registerDutyMetrics()
	n.registerHoldingMetrics()
	n.registerQuarantineMetrics()
	n.registerOccupancyMetrics()
	n.registerConnectionMetrics()
	n.registerAdmissionMetrics()
}

// registerBatchMetrics registers the metrics of requests, batches and orders to engines.
func (n *Node) registerBatchMetrics() {
	metrics.Gauge(n.metrics, "requests_in_flight", "Requests of clients being answered.", n.handler.InFlight)
	metrics.Gauge(n.metrics, "batches_owned", "Batches that this daemon runs.",
		func() int { batches, _ := n.runner.Load(); return batches })
	metrics.Gauge(n.metrics, "items_waiting", "Items that wait for a replica.",
		func() int { _, waiting := n.runner.Load(); return waiting })
	metrics.Gauge(n.metrics, "items_longest_wait_seconds", "Longest time that an item has waited for a replica by now.",
		func() float64 { return n.runner.LongestWait().Seconds() })
	metrics.Gauge(n.metrics, "lease_held", "1 while this daemon holds the lease for orders to engines.",
		func() int { return boolGauge(n.lease.Held()) })
	metrics.Counter(n.metrics, "items_started_total", "Attempts at items sent to replicas.", n.runner.ItemsStarted)
	metrics.Counter(n.metrics, "engine_orders_total", "Orders given to engines.", n.syncer.OrdersSent.Load)
}

// registerJournalMetrics registers the metrics of the paths to the journal.
func (n *Node) registerJournalMetrics() {
	metrics.Gauge(n.metrics, "journal_silence_seconds", "Time since the journal last answered.",
		func() float64 { return n.journalSilence().Seconds() })
	metrics.Counter(n.metrics, "journal_calls_given_up_total",
		"Calls to the journal given up as later ones were answered.", n.journal.CallsGivenUp.Load)
	if n.relay != nil {
		metrics.Gauge(n.metrics, "journal_path_lost", "1 while this daemon's own path to the journal is lost.",
			func() int { return boolGauge(n.relay.PathLost()) })
		metrics.Counter(n.metrics, "journal_calls_relayed_total", "Calls to the journal answered through a peer.",
			n.relay.RelayedCalls.Load)
	}
}

// boolGauge returns the value of a gauge for a condition: 1 if true, else 0.
func boolGauge(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
