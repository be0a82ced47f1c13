package occupancy

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/membership/identity"
)

// Outcome says what became of a report.
type Outcome int

// The outcomes of Merge.
const (
	// Taken: the report is the one that is believed of its daemon.
	Taken Outcome = iota
	// Refused: it is late, older than one before, or one too many.
	Refused
	// Unfounded: the report that it is based on is not here.
	Unfounded
)

// Merge takes in a report that its sender has just sent.
func (t *Table) Merge(report Report) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	known := t.daemonOf(&report, now)
	if known == nil {
		t.counts.Refused++
		return Refused
	}
	if report.Base > 0 {
		if known.report.Number != report.Base {
			t.counts.Refused++
			return Unfounded
		}
		report.Counts, report.Base = changed(known.report.Counts, report.Counts), 0
	}
	late := known.lateness(&report, now)
	if report.Introduces {
		t.introduce(known, &report, now.Add(-late))
		return Taken
	}
	if !t.take(known, report, now.Add(-late), now) {
		return Refused
	}
	return Taken
}

// Adopt takes in what another daemon believes, where it is newer than what is believed here.
// It returns how many reports were.
func (t *Table) Adopt(beliefs Beliefs) (reports int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	for _, relayed := range beliefs.Reports[:min(len(beliefs.Reports), mostDaemons)] {
		known := t.daemonOf(&relayed.Report, now)
		if known != nil && relayed.Report.Base == 0 && t.take(known, relayed.Report, now.Add(-time.Duration(relayed.Age)*ageUnit), now) {
			reports++
		}
	}
	t.addPaces(beliefs.Paces, now)
	return reports
}

// daemonOf returns the daemon that a report may be taken into, or nil if the report is to be
// refused. The mutex is held.
func (t *Table) daemonOf(report *Report, now time.Time) *daemon {
	machine := identity.Machine(report.Run)
	if machine == "" || machine == identity.Machine(t.run) {
		return nil
	}
	known := t.daemons[machine]
	switch {
	case known == nil && len(t.daemons) >= mostDaemons && !t.forgetOne():
		return nil
	case known == nil:
	case known.report.Run != report.Run:
		// The order of two runs is told by the machine's own time of day, which may have been
		// put back: it decides only as long as the later run is known to be alive.
		if known.holds && identity.Started(report.Run) < identity.Started(known.report.Run) {
			return nil
		}
		t.drop(known)
	case !report.Introduces && report.Number <= known.report.Number:
		return nil
	default:
		return known
	}
	known = &daemon{report: Report{Run: report.Run}}
	t.daemons[machine] = known
	return known
}

// lateness is for how much longer than usual a report was on its way.
func (d *daemon) lateness(report *Report, now time.Time) time.Duration {
	offset := now.Sub(time.UnixMilli(report.Sent))
	if !d.offsetAt.IsZero() {
		d.offset += time.Duration(clockDrift * float64(now.Sub(d.offsetAt)))
	}
	if d.offsetAt.IsZero() || offset < d.offset {
		d.offset = offset
	}
	d.offsetAt = now
	return offset - d.offset
}

// introduce notes that a daemon is an owner, and the paces that it told. The report that is
// believed of it stays. The mutex is held.
func (t *Table) introduce(known *daemon, report *Report, at time.Time) {
	t.counts.Received++
	known.ownerAt = at
	t.addPaces(report.Paces[:min(len(report.Paces), longestReport)], at)
}

// take makes a report the one that is believed of its daemon. The mutex is held.
func (t *Table) take(known *daemon, report Report, at, now time.Time) bool {
	report.bounded()
	if now.Sub(at) > reportHolds {
		// Its counts are over, yet those before it even more so.
		t.drop(known)
		known.report, known.at = report, at
		t.counts.Refused++
		return false
	}
	if !known.holds && !report.over() {
		t.logger.Info("owner's requests heard of", zap.String("owner", report.Run), zap.Uint64("report", report.Number),
			zap.Int("replicas", len(report.Counts)), zap.Duration("age", now.Sub(at)))
	}
	t.drop(known)
	t.counts.Received++
	known.report, known.at, known.holds = report, at, !report.over()
	known.ownerAt = time.Time{}
	if known.holds {
		known.ownerAt = at
	}
	t.addPaces(report.Paces, at)
	if !known.holds {
		return true
	}
	for _, each := range report.Counts {
		t.elsewhere[each.Replica] += int(each.Requests)
		t.counts.Elsewhere += int(each.Requests)
	}
	if lapses := at.Add(reportHolds); t.nextLapse.IsZero() || lapses.Before(t.nextLapse) {
		t.nextLapse = lapses
	}
	return true
}

// drop counts a daemon's report no more. The mutex is held.
func (t *Table) drop(known *daemon) {
	if !known.holds {
		return
	}
	known.holds = false
	for _, each := range known.report.Counts {
		t.counts.Elsewhere -= int(each.Requests)
		if t.elsewhere[each.Replica] -= int(each.Requests); t.elsewhere[each.Replica] <= 0 {
			delete(t.elsewhere, each.Replica)
		}
	}
}

// addPaces takes paces in that were told at a time, where they are newer than those known.
// The mutex is held.
func (t *Table) addPaces(told []Pacing, at time.Time) {
	for _, each := range told {
		measured := at.Add(-time.Duration(each.Age) * ageUnit)
		before, known := t.paces[each.Replica]
		if each.Pace == 0 || known && !measured.After(before.at) || !known && len(t.paces) >= mostPaces {
			continue
		}
		t.paces[each.Replica] = pacing{pace: time.Duration(each.Pace) * PaceUnit, at: measured}
	}
}

// lapse ends the belief in reports that are too old. The mutex is held.
func (t *Table) lapse(now time.Time) {
	if t.nextLapse.IsZero() || now.Before(t.nextLapse) {
		return
	}
	t.nextLapse = time.Time{}
	for _, known := range t.daemons {
		lapses := known.at.Add(reportHolds)
		switch {
		case !known.holds:
		case !now.Before(lapses):
			t.drop(known)
			t.counts.Expired++
			t.logger.Info("owner's requests no longer known", zap.String("owner", known.report.Run), zap.Uint64("report", known.report.Number), zap.Duration("age", now.Sub(known.at)))
		case t.nextLapse.IsZero() || lapses.Before(t.nextLapse):
			t.nextLapse = lapses
		}
	}
}

// forgetOne forgets the daemon that has told nothing for longest, of those whose reports
// don't hold. The mutex is held.
func (t *Table) forgetOne() bool {
	oldest := ""
	for machine, known := range t.daemons {
		if !known.holds && (oldest == "" || known.at.Before(t.daemons[oldest].at)) {
			oldest = machine
		}
	}
	delete(t.daemons, oldest)
	return oldest != ""
}

// Sweep forgets daemons and paces of long ago.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	for machine, known := range t.daemons {
		if !known.holds && now.Sub(known.at) > remembered && now.Sub(known.ownerAt) > remembered {
			delete(t.daemons, machine)
		}
	}
	for replica, known := range t.paces {
		if now.Sub(known.at) > paceHolds {
			delete(t.paces, replica)
		}
	}
}
