package node

import (
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/upstream"
)

// maxConnections returns how many connections this daemon may have to a replica, or 0 for no bound.
// Daemons share the replica's limit; without a relay they don't know each other, and there is no
// bound. Engines run as many requests at once as they have slots, whoever sends them, and few
// daemons own batches: for an engine the daemon may have up to one connection per slot, which the
// others leave unused.
func (n *Node) maxConnections(chosen replica.Replica) int {
	configuration := n.operator.Configuration()
	if n.relay == nil || configuration == nil {
		return forward.UnboundedConnections(chosen)
	}
	service := configuration.Services[chosen.Service]
	daemons := n.daemonCount()
	if !n.peerFollower.Synced() {
		// The number of daemons is not known yet: assume the most.
		daemons = max(service.MaxConnections, 1)
	}
	return upstream.ConnectionShare(service.MaxConnections, daemons, max(service.Slots, chosen.Slots), service.IsEngine)
}

// registerConnectionMetrics registers the metrics of connections to replicas.
func (n *Node) registerConnectionMetrics() {
	metrics.Counter(n.metrics, "replica_connections_total", "Connections made to replicas.", n.pool.Connections)
	metrics.Counter(n.metrics, "replica_connections_lacking_total",
		"Requests that found as many connections to a replica in use as this daemon may have, and none free in time.",
		n.pool.Exhausted.Load)
	metrics.Gauge(n.metrics, "replica_connections_used_ratio",
		"Connections to a replica against this daemon's part of what it takes, at the replica where that is highest.",
		n.maxConnectionsUsedRatio)
}

// maxConnectionsUsedRatio returns the highest ratio of open to allowed connections of all replicas,
// or 0 if none has a bound.
func (n *Node) maxConnectionsUsedRatio() float64 {
	configuration, highest := n.operator.Configuration(), 0.0
	if configuration == nil {
		return 0
	}
	for service := range configuration.Services {
		for _, rep := range n.table.Replicas(service) {
			if allowed := n.maxConnections(rep); allowed > 0 {
				highest = max(highest, float64(n.pool.OpenConnections(rep.Address))/float64(allowed))
			}
		}
	}
	return highest
}
