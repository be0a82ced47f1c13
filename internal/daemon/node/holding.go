package node

import (
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/requests/holding"
)

// SetHoldingLimits changes what the daemon may hold on behalf of clients. It may be called at any
// time; what is held beyond that stays held.
func (n *Node) SetHoldingLimits(limits holding.Limits) { n.holding.SetLimits(limits) }

func (n *Node) registerHoldingMetrics() {
	for _, share := range holding.Categories() {
		metrics.Gauge(n.metrics, "held_"+share.String()+"_bytes", "Bytes held on behalf of clients: "+share.String()+".",
			func() int64 { return n.holding.Held(share) })
	}
	metrics.Gauge(n.metrics, "held_most_bytes", "The most bytes that were ever held on behalf of clients.", func() int64 {
		_, most := n.holding.Usage()
		return most
	})
}
