package node

// registerMetrics has the metrics of all parts shown at the metrics address.
func (n *Node) registerMetrics() {
	n.registerBatchMetrics()
	n.registerJournalMetrics()
	n.registerDutyMetrics()
	n.registerHolding()
	n.quarantine.registerMetrics(n.metrics)
	n.registerOccupancyMetrics()
	n.registerConnectionMetrics(n.metrics)
	registerAdmissionMetrics(n.metrics, n.handler.Admission)
}

// registerBatchMetrics tells of requests, batches and the engines that run them.
func (n *Node) registerBatchMetrics() {
	n.metrics.Gauge("requests_in_flight", "Requests of clients being answered.", func() float64 { return float64(n.handler.InFlight()) })
	n.metrics.Gauge("batches_owned", "Batches that this daemon runs.", func() float64 { batches, _ := n.runner.Load(); return float64(batches) })
	n.metrics.Gauge("items_waiting", "Items that wait for a replica.", func() float64 { _, waiting := n.runner.Load(); return float64(waiting) })
	n.metrics.Gauge("lease_held", "1 while this daemon holds the lease for orders to engines.", func() float64 { return oneIf(n.lease.Held()) })
	n.metrics.Counter("items_started_total", "Attempts at items sent to replicas.", func() float64 { return float64(n.runner.Started()) })
	n.metrics.Counter("engine_orders_total", "Orders given to engines.", func() float64 { return float64(n.syncer.Orders()) })
}

// registerJournalMetrics tells of the ways to the journal.
func (n *Node) registerJournalMetrics() {
	n.metrics.Gauge("journal_silence_seconds", "Time since the journal last answered.", func() float64 { return n.silence().Seconds() })
	n.metrics.Counter("journal_calls_given_up_total", "Calls to the journal given up as later ones were answered.", func() float64 { return float64(n.journal.GivenUp()) })
	if n.relay != nil {
		n.metrics.Gauge("journal_path_lost", "1 while this daemon's own path to the journal is lost.", func() float64 { return oneIf(n.relay.Lost()) })
		n.metrics.Counter("journal_calls_relayed_total", "Calls to the journal answered through a peer.", func() float64 { done, _ := n.relay.Relayed(); return float64(done) })
	}
}

// oneIf is how a condition is shown by a gauge.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
