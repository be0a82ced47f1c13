package node

import (
	"context"
	"time"

	"woodworks/internal/callers/usage"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/daemon/wallclock"
	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
	"woodworks/internal/replicas/fleet"
)

const (
	// usageWriteFraction is the fraction of the journal's write rate limit that all daemons
	// together use to record the usage of tenants.
	usageWriteFraction = 0.2
	// flushRetryDelay is the delay after a failed write of the last usage counts.
	flushRetryDelay = 200 * time.Millisecond
)

// buildDuties creates the components for the duties that one daemon at a time performs for the
// platform: reports of usage and orders for replicas.
func (n *Node) buildDuties(drivers Drivers) {
	if drivers.Duties == nil {
		return
	}
	if drivers.Duties.Duties().Fleet {
		n.fleet = fleet.NewManager(fleet.Deps{
			Journal: drivers.Journal, Lease: n.lease, Driver: drivers.Duties, Holder: n.settings.Name,
			Table: n.table, List: n.replicaFollower, Configuration: n.operator.Configuration, Demands: n.demands,
		}, n.logger)
	}
	windows := duty.UsageSchedule{WindowLength: n.settings.Timing.UsageWindow.Std(), DueAfter: n.settings.Timing.UsageDue.Std()}
	if !drivers.Duties.Duties().Usage || windows.WindowLength <= 0 {
		return
	}
	clock := wallclock.New(bootclock.Now)
	interval := journal.SharedInterval(n.journal.RateLimits().WritesPerSecond*usageWriteFraction, n.daemonCount)
	n.usage = usage.NewRecorder(drivers.Journal, n.identity, windows, interval, clock, n.logger)
	n.handler.OnRun = n.usage.CountRequest
	n.reporter = usage.NewReporter(drivers.Journal, n.lease, drivers.Duties, n.settings.Name, windows, clock, n.logger)
}

// startDuties runs the components that buildDuties created.
func (n *Node) startDuties() {
	if n.usage != nil {
		go n.usage.Run(n.context)
		go n.reporter.Run(n.context)
	}
	if n.fleet != nil {
		go n.fleet.Run(n.context)
	}
}

// registerDutyMetrics registers the metrics of usage reports and of orders for replicas.
func (n *Node) registerDutyMetrics() {
	if n.reporter != nil {
		metrics.Counter(n.metrics, "usage_reports_total",
			"Reports of usage that the platform took from this daemon.", n.reporter.Reported.Load)
		metrics.Counter(n.metrics, "usage_reports_failed_total", "Calls to report usage that failed.", n.reporter.Failed.Load)
	}
	if n.fleet != nil {
		metrics.Counter(n.metrics, "fleet_orders_total",
			"Orders for replicas that the platform took from this daemon.", n.fleet.OrdersAccepted.Load)
		metrics.Counter(n.metrics, "fleet_orders_failed_total", "Orders for replicas that failed.", n.fleet.OrdersFailed.Load)
	}
}

// flushUsage writes the usage counts that are not written yet, and retries until it succeeds or the
// context ends: counts only held by this daemon would be lost.
func (n *Node) flushUsage(ctx context.Context) {
	for n.usage != nil && ctx.Err() == nil && n.usage.Flush(ctx) != nil {
		periodic.Pause(ctx, flushRetryDelay)
	}
}
