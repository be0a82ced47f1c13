// Package usage counts the requests that tenants had run, and reports them once for
// each window of the time of day.
//
// Every daemon counts what it sends to replicas and appends its counts to one partition
// of the journal, often enough that a daemon that is killed loses little. The daemon
// that holds the lease for duties reads them, settles the figures of each window in the
// same partition, and only then reports them. Whoever holds the lease after it finds the
// settled figures and can report nothing else: of several decisions the first in the
// journal counts for all.
//
// The package owns the records of that partition, and in memory what a daemon has counted and
// not written yet. It relies on the lease and its fence, and on the time of day being about
// right: it decides in which window a request counts.
//
// A request counts in the window in which it was sent to a replica, by the sender's
// clock, once for each replica that ran it or may have run it.
//
// # Usage
//
//	recorder := usage.NewRecorder(log, self, windows, minInterval, clock, logger)
//	go recorder.Run(ctx)
//	recorder.Ran(tenant, sentAt)
//
//	reporter := usage.NewReporter(log, held, driver, name, windows, clock, logger)
//	go reporter.Run(ctx) // acts only while the lease is held
package usage

import (
	"time"

	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
)

// Partition is where counts and decisions are kept.
var Partition = journal.Partition{Topic: "woodworks.usage"}

// windowOf returns the number of the window that a time of day lies in.
func windowOf(at time.Time, windows duty.Windows) int64 {
	return at.UnixMilli() / windows.Length.Milliseconds()
}

// windowEnd returns when a window ends.
func windowEnd(window int64, windows duty.Windows) time.Time {
	return time.UnixMilli((window + 1) * windows.Length.Milliseconds())
}
