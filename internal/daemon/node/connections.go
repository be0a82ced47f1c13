package node

import (
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/upstream"
)

// maxConnections is how many connections to a replica this daemon may have of those that it takes
// from all, 0 without bound. Where daemons don't know each other nothing is shared. Engines
// run as many requests at once as they have slots, whoever sends them, and owners of batches
// are few: an owner may use as many connections, which others leave idle.
func (n *Node) maxConnections(chosen replica.Replica) int {
	configuration := n.operator.Configuration()
	if n.relay == nil || configuration == nil {
		return forward.UnboundedConnections(chosen)
	}
	service := configuration.Services[chosen.Service]
	daemons := n.daemonCount()
	if !n.peerFollower.Synced() {
		// Any number of others may be there.
		daemons = max(service.MaxConnections, 1)
	}
	return upstream.ConnectionShare(service.MaxConnections, daemons, max(service.Slots, chosen.Slots), service.IsEngine)
}

// registerConnectionMetrics tells of connections to replicas.
func (n *Node) registerConnectionMetrics() {
	metrics.Counter(n.metrics, "replica_connections_total", "Connections made to replicas.", n.pool.Dials.Load)
	metrics.Counter(n.metrics, "replica_connections_lacking_total",
		"Requests that found as many connections to a replica in use as this daemon may have, and none free in time.",
		n.pool.Exhausted.Load)
	metrics.Gauge(n.metrics, "replica_connections_used_ratio",
		"Connections to a replica against this daemon's part of what it takes, at the replica where that is highest.",
		n.maxConnectionsUsedRatio)
}

// maxConnectionsUsedRatio is the highest part of the connections allowed to one replica that there is.
func (n *Node) maxConnectionsUsedRatio() float64 {
	configuration, most := n.operator.Configuration(), 0.0
	if configuration == nil {
		return 0
	}
	for service := range configuration.Services {
		for _, rep := range n.table.Replicas(service) {
			if part := n.maxConnections(rep); part > 0 {
				most = max(most, float64(n.pool.OpenConnections(rep.Address))/float64(part))
			}
		}
	}
	return most
}
