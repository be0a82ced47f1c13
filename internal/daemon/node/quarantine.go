package node

import (
	"context"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/journal"
	"woodworks/internal/requests/quarantine"
)

// quarantineDeps are the components of the quarantine, which stops requests whose content ended
// replicas from reaching further replicas.
type quarantineDeps struct {
	table    *quarantine.Table
	recorder *quarantine.Recorder
	follower *journal.KeyedFollower
	// gossiper is nil if the settings have no peer address.
	gossiper *quarantine.Gossiper
}

// newQuarantine creates the components. The relay, if any, must have been created before.
func (n *Node) newQuarantine(log journal.Journal) *quarantineDeps {
	table := quarantine.New(n.settings.Name, bootclock.Now, n.logger)
	deps := &quarantineDeps{table: table, recorder: quarantine.NewRecorder(table, log, n.relay != nil, n.logger)}
	contact := n.settings.Timing.ContactBound.Std()
	if n.relay != nil {
		// New entries arrive by gossip; the journal only supplies those that this daemon has
		// missed.
		contact = peerContactBound
		deps.gossiper = quarantine.NewGossiper(table, n.relay, n.logger)
		n.relay.Register(quarantine.ServiceName, quarantine.NewService(table))
	}
	deps.follower = journal.NewKeyedFollower(log, quarantine.Partition, deps.recorder, contact, n.logger)
	deps.follower.SetInterval(n.readInterval(peerReadFraction))
	return deps
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
