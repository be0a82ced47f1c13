package occupancy

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/membership/identity"
)

// Outcome is the result of merging a report.
type Outcome int

// Results of Table.Merge.
const (
	// Accepted means that the report took effect.
	Accepted Outcome = iota
	// Refused means that the report is too old or out of order, or that the table is full.
	Refused
	// BaseMissing means that the table lacks the report that a delta is based on.
	BaseMissing
)

// Merge applies a report that was received from its sender.
func (t *Table) Merge(report Report) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireReports(now)
	d := t.daemonFor(&report, now)
	if d == nil {
		t.stats.Refused++
		return Refused
	}
	if report.BaseNumber > 0 {
		if d.report.Number != report.BaseNumber {
			t.stats.Refused++
			return BaseMissing
		}
		report.Counts, report.BaseNumber = applyDiff(d.report.Counts, report.Counts), 0
	}
	delay := d.excessDelay(&report, now)
	if report.IsIntroduction {
		t.acceptIntroduction(d, &report, now.Add(-delay))
		return Accepted
	}
	if t.acceptReport(d, report, now.Add(-delay), now) {
		return Accepted
	}
	return Refused
}

// Adopt merges those reports and measurements of another daemon's snapshot that are newer than the
// table's. It returns the number of reports that were accepted.
func (t *Table) Adopt(o Snapshot) (reports int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireReports(now)
	for _, relayed := range o.Reports[:min(len(o.Reports), maxDaemons)] {
		d, at := t.daemonFor(&relayed.Report, now), now.Add(-time.Duration(relayed.Age)*ageUnit)
		if d != nil && relayed.Report.BaseNumber == 0 && t.acceptReport(d, relayed.Report, at, now) {
			reports++
		}
	}
	t.addMeasurements(o.Measurements, now)
	return reports
}

// daemonFor returns the state of the report's sender, created if needed, or nil if the report must
// be refused. The mutex is held.
func (t *Table) daemonFor(report *Report, now time.Time) *daemonState {
	machine := identity.Machine(report.Sender)
	if machine == "" || machine == identity.Machine(t.self) {
		return nil
	}
	d := t.daemons[machine]
	switch {
	case d == nil && len(t.daemons) >= maxDaemons && !t.evictOldest():
		return nil
	case d == nil:
	case d.report.Sender != report.Sender:
		// Start times of incarnations come from the machine's wall clock, which may have been
		// set back. The order is enforced only while the later incarnation is known to be
		// alive.
		if d.current && identity.StartNanos(report.Sender) < identity.StartNanos(d.report.Sender) {
			return nil
		}
		t.removeCounts(d)
	case !report.IsIntroduction && report.Number <= d.report.Number:
		return nil
	default:
		return d
	}
	d = &daemonState{report: Report{Sender: report.Sender}}
	t.daemons[machine] = d
	return d
}

// excessDelay returns how much longer the report took to arrive than the fastest report of its
// incarnation, and updates minOffset.
func (d *daemonState) excessDelay(report *Report, now time.Time) time.Duration {
	offset := now.Sub(time.UnixMilli(report.SentMillis))
	if !d.minOffsetAt.IsZero() {
		d.minOffset += time.Duration(maxClockDrift * float64(now.Sub(d.minOffsetAt)))
	}
	if d.minOffsetAt.IsZero() || offset < d.minOffset {
		d.minOffset = offset
	}
	d.minOffsetAt = now
	return offset - d.minOffset
}

// acceptIntroduction records that a daemon is an owner, and stores the measurements of the
// introduction, which was sent at the local time at. The current report of the daemon stays. The
// mutex is held.
func (t *Table) acceptIntroduction(d *daemonState, report *Report, at time.Time) {
	t.stats.Received++
	d.ownerSeenAt = at
	t.addMeasurements(report.Measurements[:min(len(report.Measurements), maxEntries)], at)
}

// acceptReport makes a report that was sent at a given local time the latest one of its
// daemon. It returns false if the report has already expired. The mutex is held.
func (t *Table) acceptReport(d *daemonState, report Report, at, now time.Time) bool {
	report.truncate()
	if now.Sub(at) > reportTTL {
		// The report has expired, and so has the one that it replaces.
		t.removeCounts(d)
		d.report, d.sentAt = report, at
		t.stats.Refused++
		return false
	}
	if !d.current && !report.isEmpty() {
		t.logger.Info("reports from another owner started", zap.String("owner", report.Sender),
			zap.Uint64("report", report.Number), zap.Int("replicas", len(report.Counts)),
			zap.Duration("age", now.Sub(at)))
	}
	t.removeCounts(d)
	t.stats.Received++
	d.report, d.sentAt, d.current = report, at, !report.isEmpty()
	d.ownerSeenAt = time.Time{}
	if d.current {
		d.ownerSeenAt = at
	}
	t.addMeasurements(report.Measurements, at)
	if !d.current {
		return true
	}
	for _, c := range report.Counts {
		t.inFlight[c.Replica] += int(c.Requests)
		t.stats.OthersInFlight += int(c.Requests)
	}
	t.updateNextExpiry(d)
	return true
}

// updateNextExpiry sets nextExpiry to the expiry of a daemon's report if nextExpiry is later or
// zero. The mutex is held.
func (t *Table) updateNextExpiry(d *daemonState) {
	if expiry := d.expiresAt(); t.nextExpiry.IsZero() || expiry.Before(t.nextExpiry) {
		t.nextExpiry = expiry
	}
}

// removeCounts subtracts the counts of a daemon's current report from the sums, and marks the
// report as no longer current. The mutex is held.
func (t *Table) removeCounts(d *daemonState) {
	if !d.current {
		return
	}
	d.current = false
	for _, c := range d.report.Counts {
		t.stats.OthersInFlight -= int(c.Requests)
		if t.inFlight[c.Replica] -= int(c.Requests); t.inFlight[c.Replica] <= 0 {
			delete(t.inFlight, c.Replica)
		}
	}
}

// addMeasurements stores the event times that were reported at the local time at, unless a newer
// one of the replica is known. New replicas beyond maxEventTimes are ignored. The mutex is held.
func (t *Table) addMeasurements(measurements []Measurement, at time.Time) {
	for _, m := range measurements {
		measured := at.Add(-time.Duration(m.Age) * ageUnit)
		before, ok := t.eventTimes[m.Replica]
		if m.EventTime == 0 || ok && !measured.After(before.measuredAt) || !ok && len(t.eventTimes) >= maxEventTimes {
			continue
		}
		t.eventTimes[m.Replica] = reportedEventTime{
			eventTime: time.Duration(m.EventTime) * eventTimeUnit, measuredAt: measured}
	}
}

// expireReports removes the reports that have expired. The mutex is held.
func (t *Table) expireReports(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for _, d := range t.daemons {
		switch {
		case !d.current:
		case !now.Before(d.expiresAt()):
			t.removeCounts(d)
			t.stats.Expired++
			t.logger.Info("report from another owner expired", zap.String("owner", d.report.Sender),
				zap.Uint64("report", d.report.Number), zap.Duration("age", now.Sub(d.sentAt)))
		default:
			t.updateNextExpiry(d)
		}
	}
}

// evictOldest removes the daemon with the oldest report among those without a current one. It
// reports whether there was one. The mutex is held.
func (t *Table) evictOldest() bool {
	oldest := ""
	for machine, d := range t.daemons {
		if !d.current && (oldest == "" || d.sentAt.Before(t.daemons[oldest].sentAt)) {
			oldest = machine
		}
	}
	delete(t.daemons, oldest)
	return oldest != ""
}

// Sweep removes daemons that have no current report and whose last report and last introduction
// are older than daemonTTL. It also removes event times older than eventTimeMaxAge. It is called
// periodically.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireReports(now)
	maps.DeleteFunc(t.daemons, func(_ string, d *daemonState) bool {
		return !d.current && now.Sub(d.sentAt) > daemonTTL && now.Sub(d.ownerSeenAt) > daemonTTL
	})
	maps.DeleteFunc(t.eventTimes, func(_ Key, m reportedEventTime) bool {
		return now.Sub(m.measuredAt) > eventTimeMaxAge
	})
}
