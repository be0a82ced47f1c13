package node

import (
	"context"
	"time"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/handoff"
	"woodworks/internal/requests/route"
)

// buildHandoff has plain requests of seldom asked services sent by one daemon of the zone,
// where the settings ask for it. The handler and the relay, if there is one, are there already.
func (node *Node) buildHandoff(forwarder *forward.Forwarder) {
	if node.relay == nil || !node.settings.Handoff.Enabled {
		return
	}
	handing := handoff.New(handoff.Options{
		Name: node.settings.Name, Identity: node.identity, Peers: node.relay, Direct: forwarder,
		Connected:     func(service string) bool { return connected(forwarder, service) },
		Configuration: node.operator.Configuration, Quarantine: node.quarantine.table,
		MayRetry: func(rt *route.Route, offers int) bool { return node.handler.Retries.May(rt, offers) },
		Ran:      func(tenant string, sentAt time.Time) { node.handler.Ran(tenant, sentAt) },
		Clock:    bootclock.Now, Logger: node.logger, Observe: node.metrics.HandedOn,
	})
	node.handler.Plain = handing
	node.handed = handing.Service(node.context)
	node.relay.Register(handoff.ServiceName, node.handed)
}

// connected reports whether a connection to a replica of a service rests here.
func connected(forwarder *forward.Forwarder, service string) bool {
	for _, each := range forwarder.Replicas(service) {
		if each.Connected {
			return true
		}
	}
	return false
}

// drainHandoff lets the requests of peers end that run here, and takes no more.
func (node *Node) drainHandoff(ctx context.Context) {
	if node.handed != nil {
		node.handed.Drain(ctx)
	}
}
