package node

import "woodworks/internal/requests/holding"

// SetHeld changes what the daemon may hold on behalf of clients. It may be called at any
// time; what is held beyond that stays held.
func (n *Node) SetHeld(limits holding.Limits) { n.holding.SetLimits(limits) }

func (n *Node) registerHolding() {
	for _, share := range holding.All() {
		n.metrics.Gauge("held_"+share.String()+"_bytes", "Bytes held on behalf of clients: "+share.String()+".", func() float64 { return float64(n.holding.Held(share)) })
	}
	n.metrics.Gauge("held_most_bytes", "The most bytes that were ever held on behalf of clients.", func() float64 {
		_, most := n.holding.Sum()
		return float64(most)
	})
}
