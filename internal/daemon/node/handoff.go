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
func (n *Node) buildHandoff(forwarder *forward.Forwarder) {
	if n.relay == nil || !n.settings.Handoff.Enabled {
		return
	}
	handing := handoff.New(handoff.Options{
		Name: n.settings.Name, Identity: n.identity, Peers: n.relay, Direct: forwarder,
		Connected:     func(service string) bool { return connected(forwarder, service) },
		Configuration: n.operator.Configuration, Quarantine: n.quarantine.table,
		MayRetry: func(rt *route.Route, offers int) bool { return n.handler.Retries.May(rt, offers) },
		Ran:      func(tenant string, sentAt time.Time) { n.handler.Ran(tenant, sentAt) },
		Clock:    bootclock.Now, Logger: n.logger, Observe: n.metrics.HandedOn,
	})
	n.handler.Plain = handing
	n.handed = handing.Service(n.context)
	n.relay.Register(handoff.ServiceName, n.handed)
}

// connected reports whether a connection to a replica of a service rests here.
func connected(forwarder *forward.Forwarder, service string) bool {
	for _, e := range forwarder.Replicas(service) {
		if e.Connected {
			return true
		}
	}
	return false
}

// drainHandoff lets the requests of peers end that run here, and takes no more.
func (n *Node) drainHandoff(ctx context.Context) {
	if n.handed != nil {
		n.handed.Drain(ctx)
	}
}
