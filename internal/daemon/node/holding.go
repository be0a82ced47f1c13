package node

import "woodworks/internal/requests/holding"

// SetHeld changes what the daemon may hold on behalf of clients. It may be called at any
// time; what is held beyond that stays held.
func (node *Node) SetHeld(limits holding.Limits) { node.holding.SetLimits(limits) }

func (node *Node) registerHolding() {
	for _, share := range holding.All() {
		node.metrics.Gauge("held_"+share.String()+"_bytes", "Bytes held on behalf of clients: "+share.String()+".", func() float64 { return float64(node.holding.Held(share)) })
	}
	node.metrics.Gauge("held_most_bytes", "The most bytes that were ever held on behalf of clients.", func() float64 {
		_, most := node.holding.Sum()
		return float64(most)
	})
}
