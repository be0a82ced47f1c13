package node

import (
	"context"
	"time"

	"woodworks/internal/callers/usage"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/daemon/wallclock"
	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
	"woodworks/internal/replicas/fleet"
)

const (
	// usageWriteShare is the part of the writes that the journal grants which all
	// daemons together use to tell what tenants used.
	usageWriteShare = 0.2
	// flushPause is the time between two tries to write the last counts of usage.
	flushPause = 200 * time.Millisecond
)

// buildDuties makes what the platform expects of one daemon at a time.
func (node *Node) buildDuties(drivers Drivers) {
	if drivers.Duties == nil {
		return
	}
	if drivers.Duties.Duties().Fleet {
		node.fleet = fleet.NewManager(fleet.Parts{
			Journal: drivers.Journal, Lease: node.lease, Driver: drivers.Duties, Holder: node.settings.Name, Table: node.table, List: node.replicaFollower,
			Configuration: node.operator.Configuration, Demands: node.demands,
		}, node.logger)
	}
	windows := duty.Windows{Length: node.settings.Timing.UsageWindow.Std(), Due: node.settings.Timing.UsageDue.Std()}
	if !drivers.Duties.Duties().Usage || windows.Length <= 0 {
		return
	}
	clock := wallclock.New(bootclock.Now)
	pace := journal.SharedWritePace(drivers.Journal, usageWriteShare, node.daemons)
	node.usage = usage.NewRecorder(drivers.Journal, node.identity, windows, pace, clock, node.logger)
	node.handler.Ran = node.usage.Ran
	node.reporter = usage.NewReporter(drivers.Journal, node.lease, drivers.Duties, node.settings.Name, windows, clock, node.logger)
}

// startDuties runs what the platform expects of one daemon at a time.
func (node *Node) startDuties() {
	if node.usage != nil {
		go node.usage.Run(node.context)
		go node.reporter.Run(node.context)
	}
	if node.fleet != nil {
		go node.fleet.Run(node.context)
	}
}

// registerDutyMetrics tells what this daemon did while it held the lease for duties.
func (node *Node) registerDutyMetrics() {
	if node.reporter != nil {
		node.metrics.Counter("usage_reports_total", "Reports of usage that the platform took from this daemon.", func() float64 { return float64(node.reporter.Reported()) })
		node.metrics.Counter("usage_reports_failed_total", "Calls to report usage that failed.", func() float64 { return float64(node.reporter.Failed()) })
	}
	if node.fleet != nil {
		node.metrics.Counter("fleet_orders_total", "Orders for replicas that the platform took from this daemon.", func() float64 { return float64(node.fleet.Orders()) })
		node.metrics.Counter("fleet_orders_failed_total", "Orders for replicas that failed.", func() float64 { return float64(node.fleet.Failed()) })
	}
}

// flushUsage writes what was counted of tenants' requests, again until it is done or the
// context ends: with this daemon it would be lost.
func (node *Node) flushUsage(ctx context.Context) {
	for node.usage != nil && ctx.Err() == nil && node.usage.Flush(ctx) != nil {
		periodic.Pause(ctx, flushPause)
	}
}
