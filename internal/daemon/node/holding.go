package node

import (
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/requests/holding"
)

// SetHoldingLimits changes the limits of the memory held on behalf of clients. It may be called at
// any time; memory already held beyond the new limits stays held.
func (n *Node) SetHoldingLimits(limits holding.Limits) { n.holding.SetLimits(limits) }

func (n *Node) registerHoldingMetrics() {
	for _, category := range holding.Categories() {
		metrics.Gauge(n.metrics, "held_"+category.String()+"_bytes", "Bytes held on behalf of clients: "+category.String()+".",
			func() int64 { return n.holding.Held(category) })
	}
	metrics.Gauge(n.metrics, "held_most_bytes", "The most bytes that were ever held on behalf of clients.", func() int64 {
		_, peak := n.holding.Usage()
		return peak
	})
}
