package node

import (
	"context"
	"slices"
	"time"

	"woodworks/internal/batches/occupancy"
	"woodworks/internal/batches/runner"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/replicas/replica"
)

// occupancyDeps are the components that exchange reports of requests in progress between owners of
// batches. The pointer is nil if the settings have no peer address.
type occupancyDeps struct {
	table     *occupancy.Table
	publisher *occupancy.Publisher
}

// newOccupancy creates the components and connects them to the runner. It returns nil without a
// relay.
func (n *Node) newOccupancy() *occupancyDeps {
	if n.relay == nil {
		return nil
	}
	table := occupancy.NewTable(n.identity, bootclock.Now, n.logger)
	publisher := occupancy.NewPublisher(table, n.relay, n.runner.OccupancyReport, n.possibleOwners, n.logger)
	n.runner.ShareEngines(table, publisher.Wake)
	n.relay.Register(occupancy.ServiceName, occupancy.NewService(table, publisher, n.runner.ReportReceived))
	return &occupancyDeps{table: table, publisher: publisher}
}

// possibleOwners returns the identities of the daemons that may become owners of batches or holder
// of the lease for engine orders.
func (n *Node) possibleOwners(ctx context.Context) []string {
	owners := n.member.WatchersOf(ctx, runner.RunnersTopic)
	for _, partition := range candidatePartitions(n.partitions) {
		if owner, known := n.member.WatcherOf(ctx, partition); known && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}

// eventTimeOf returns the event time of an engine and the age of that measurement. It prefers the
// newer one of this daemon's and its peers'. It is a modelsync.EventTimeFunc and may be called on a
// nil receiver.
func (o *occupancyDeps) eventTimeOf(e replica.Replica) (eventTime, age time.Duration) {
	own := time.Since(e.LastEventAt)
	if o == nil {
		return e.EventTime, own
	}
	others, othersAge := o.table.EventTime(runner.ReplicaKey(e))
	if others > 0 && (e.EventTime == 0 || othersAge < own) {
		return others, othersAge
	}
	return e.EventTime, own
}

func (o *occupancyDeps) run(ctx context.Context) {
	if o != nil {
		o.publisher.Run(ctx)
	}
}

func (o *occupancyDeps) sweep() {
	if o != nil {
		o.table.Sweep()
	}
}

func (n *Node) registerOccupancyMetrics() {
	o := n.occupancy
	if o == nil {
		return
	}
	metrics.Gauge(n.metrics, "requests_elsewhere", "Requests of other owners believed to be under way at replicas.",
		func() int { return o.table.Stats().OthersInFlight })
	metrics.Counter(n.metrics, "occupancy_reports_received_total", "Reports of other owners' requests taken in.",
		func() uint64 { return o.table.Stats().Received })
	metrics.Counter(n.metrics, "occupancy_reports_refused_total",
		"Reports of other owners' requests that were late, old or too many.",
		func() uint64 { return o.table.Stats().Refused })
	metrics.Counter(n.metrics, "occupancy_reports_expired_total",
		"Reports of other owners' requests that were not followed by another in time.",
		func() uint64 { return o.table.Stats().Expired })
	metrics.Counter(n.metrics, "occupancy_reports_sent_total", "Reports of own requests sent to other daemons.",
		func() uint64 { return o.publisher.Stats().Sent })
	metrics.Counter(n.metrics, "occupancy_reports_failed_total", "Reports of own requests that were not answered.",
		func() uint64 { return o.publisher.Stats().Failed })
	metrics.Counter(n.metrics, "occupancy_bytes_sent_total", "Bytes of reports of own requests, with their headers.",
		func() uint64 { return o.publisher.Stats().Bytes })
}
