package occupancy

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/membership/identity"
)

// Outcome says what became of a report.
type Outcome int

// The outcomes of Merge.
const (
	// Accepted: the report is the one that counts for its daemon.
	Accepted Outcome = iota
	// Refused: it is late, older than one before, or one too many.
	Refused
	// BaseMissing: the report that it is based on is not here.
	BaseMissing
)

// Merge takes in a report that its sender has just sent.
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
	late := d.excessDelay(&report, now)
	if report.IsIntroduction {
		t.acceptIntroduction(d, &report, now.Add(-late))
		return Accepted
	}
	if t.acceptReport(d, report, now.Add(-late), now) {
		return Accepted
	}
	return Refused
}

// Adopt takes in what another daemon knows, where it is newer than what is known here.
// It returns how many reports were.
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

// daemonFor returns the daemon that a report may be taken into, or nil if the report is to be
// refused. The mutex is held.
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
		// Two incarnations are ordered by the machine's own time of day, which may have been set
		// back: that decides only as long as the later one is known to be alive.
		if d.current && identity.Started(report.Sender) < identity.Started(d.report.Sender) {
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

// excessDelay is for how much longer than usual a report was on its way.
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

// acceptIntroduction notes that a daemon is an owner, and the event times that it reported. Its
// report before stays. The mutex is held.
func (t *Table) acceptIntroduction(d *daemonState, report *Report, at time.Time) {
	t.stats.Received++
	d.ownerSeenAt = at
	t.addMeasurements(report.Measurements[:min(len(report.Measurements), maxEntries)], at)
}

// acceptReport makes a report the one that counts for its daemon. The mutex is held.
func (t *Table) acceptReport(d *daemonState, report Report, at, now time.Time) bool {
	report.truncate()
	if now.Sub(at) > reportTTL {
		// Its counts are over, yet those before it even more so.
		t.removeCounts(d)
		d.report, d.sentAt = report, at
		t.stats.Refused++
		return false
	}
	if !d.current && !report.isEmpty() {
		t.logger.Info("report of another owner begins", zap.String("owner", report.Sender),
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

// updateNextExpiry remembers when a daemon's report lapses if none does before. The mutex is held.
func (t *Table) updateNextExpiry(d *daemonState) {
	if lapses := d.expiresAt(); t.nextExpiry.IsZero() || lapses.Before(t.nextExpiry) {
		t.nextExpiry = lapses
	}
}

// removeCounts takes a daemon's report out of the counts. The mutex is held.
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

// addMeasurements takes event times in that were reported at a time, where they are newer than
// those known. The mutex is held.
func (t *Table) addMeasurements(measurements []Measurement, at time.Time) {
	for _, m := range measurements {
		measured := at.Add(-time.Duration(m.Age) * ageUnit)
		before, ok := t.eventTimes[m.Replica]
		if m.EventTime == 0 || ok && !measured.After(before.measuredAt) || !ok && len(t.eventTimes) >= maxEventTimes {
			continue
		}
		t.eventTimes[m.Replica] = reportedEventTime{eventTime: time.Duration(m.EventTime) * eventTimeUnit, measuredAt: measured}
	}
}

// expireReports ends reports that are too old. The mutex is held.
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
			t.logger.Info("report of another owner lapsed", zap.String("owner", d.report.Sender),
				zap.Uint64("report", d.report.Number), zap.Duration("age", now.Sub(d.sentAt)))
		default:
			t.updateNextExpiry(d)
		}
	}
}

// evictOldest forgets the daemon that has reported nothing for longest, of those whose reports
// don't count. The mutex is held.
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

// Sweep forgets daemons and event times of long ago.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireReports(now)
	maps.DeleteFunc(t.daemons, func(_ string, d *daemonState) bool {
		return !d.current && now.Sub(d.sentAt) > daemonTTL && now.Sub(d.ownerSeenAt) > daemonTTL
	})
	maps.DeleteFunc(t.eventTimes, func(_ Key, m reportedEventTime) bool { return now.Sub(m.measuredAt) > eventTimeMaxAge })
}
