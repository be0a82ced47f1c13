// Package usage counts the requests of tenants and reports the counts to the platform, once for
// each window of wall-clock time.
//
// Every daemon counts the requests that it sends to replicas and appends its counts to one
// partition of the journal, often enough that a killed daemon loses few of them. The daemon
// that holds the lease for duties reads the counts, appends a decision with the counts of each
// window to the same partition, and only then reports them. A later holder of the lease reads
// the same decision and reports the same counts: of several decisions for a window, the
// first in the journal applies.
//
// The package owns the records of that partition and, in memory, the counts that aren't
// written yet. It relies on the lease and its fence, and on wall clocks that are roughly
// right, as they determine the window in which a request counts.
//
// A request counts in the window in which it was sent to a replica, by the sender's
// clock, once for each replica that ran it or may have run it.
//
// # Usage
//
//	recorder := usage.NewRecorder(log, self, windows, minInterval, clock, logger)
//	go recorder.Run(ctx)
//	recorder.CountRequest(tenant, sentAt)
//
//	reporter := usage.NewReporter(log, held, driver, name, windows, clock, logger)
//	go reporter.Run(ctx) // acts only while the lease is held
package usage

import (
	"time"

	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
)

// Partition holds the counts, the decisions and the notes of finished reports.
var Partition = journal.Partition{Topic: "woodworks.usage"}

// windowOf returns the number of the window that contains a time of day. Windows are numbered from
// the Unix epoch.
func windowOf(at time.Time, windows duty.UsageSchedule) int64 {
	return at.UnixMilli() / windows.WindowLength.Milliseconds()
}

// windowEnd returns the time of day at which a window ends.
func windowEnd(window int64, windows duty.UsageSchedule) time.Time {
	return time.UnixMilli((window + 1) * windows.WindowLength.Milliseconds())
}
