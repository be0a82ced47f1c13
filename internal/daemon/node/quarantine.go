package node

import (
	"context"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/journal"
	"woodworks/internal/requests/quarantine"
)

// quarantineDeps are the parts that keep contents under which replicas end from further ones.
type quarantineDeps struct {
	table    *quarantine.Table
	recorder *quarantine.Recorder
	follower *journal.KeyedFollower
	// gossiper is nil where the settings name no address for peers.
	gossiper *quarantine.Gossiper
}

// newQuarantine makes the parts. The relay is there already, if there is one.
func (n *Node) newQuarantine(log journal.Journal) *quarantineDeps {
	table := quarantine.New(n.settings.Name, bootclock.Now, n.logger)
	parts := &quarantineDeps{table: table, recorder: quarantine.NewRecorder(table, log, n.relay != nil, n.logger)}
	contact := n.settings.Timing.ContactBound.Std()
	if n.relay != nil {
		// Peers tell what is new; the journal is for what this daemon has missed.
		contact = peerContactBound
		parts.gossiper = quarantine.NewGossiper(table, n.relay, n.logger)
		n.relay.Register(quarantine.ServiceName, quarantine.NewService(table))
	}
	parts.follower = journal.NewKeyedFollower(log, quarantine.Partition, parts.recorder, contact, n.logger)
	parts.follower.SetInterval(n.readInterval(peerReadFraction))
	return parts
}

// run keeps the table up to date until the context ends.
func (q *quarantineDeps) run(ctx context.Context) {
	if q.gossiper != nil {
		go q.gossiper.Run(ctx)
	}
	go q.recorder.Run(ctx)
	q.follower.Run(ctx)
}

func (n *Node) registerQuarantineMetrics() {
	m, table := n.metrics, n.quarantine.table
	metrics.Gauge(m, "contents_suspected",
		"Contents of requests under which replicas have ended without an answer since.",
		func() int { suspected, _, _ := table.Count(); return suspected })
	metrics.Gauge(m, "contents_refused", "Contents of requests that are refused as replicas ended under them.",
		func() int { _, refused, _ := table.Count(); return refused })
	metrics.Counter(m, "requests_quarantined_total", "Tries that were refused for their content's sake.",
		func() uint64 { _, _, turnedAway := table.Count(); return turnedAway })
}
