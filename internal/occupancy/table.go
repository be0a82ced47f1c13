package occupancy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/bootclock"
	"woodworks/internal/identity"
)

const (
	// reportHolds is how long a report is believed: three times as long as a daemon lets pass
	// between two of them, so that one that is lost or late changes nothing. It is also the
	// longest for which an item waits for room that nobody uses, a small part of what the
	// shortest texts of a burst take.
	reportHolds = 1200 * time.Millisecond
	// paceHolds is how long a pace is believed that others told: an engine's speed is that of
	// its machine and changes with trouble only, and a first text there shows what it is now.
	paceHolds = 30 * time.Second
	// remembered is how long a daemon that tells no more is remembered, so that an old report
	// of its which comes late is known for that.
	remembered = 30 * time.Second
	// mostDaemons bounds the daemons whose reports are held. More than so many owners at a time
	// would have one or two requests each at an engine.
	mostDaemons = 256
	// mostPaces bounds the replicas whose paces are held.
	mostPaces = 16384
	// ownerHolds is how long a daemon is taken for an owner that can be asked: it introduces
	// itself to each that may become one more often.
	ownerHolds = 2 * introduceInterval
	// clockDrift is by how much two machines' clocks may differ in pace, far above what
	// quartz does.
	clockDrift = 0.001
)

// daemon is what a machine told last.
type daemon struct {
	report Report
	// at is when the report was sent, by the clock here.
	at time.Time
	// holds says that the report counts.
	holds bool
	// ownerAt is when it was an owner last, as it told.
	ownerAt time.Time
	// offset is the least difference seen between the clock here and the sender's as a
	// report of this run came: by how much more one differs, it was on its way for longer
	// or waited for a machine that was suspended. Zero offsetAt: none was seen.
	offset   time.Duration
	offsetAt time.Time
}

// pacing is a pace that others told, with when it was measured.
type pacing struct {
	pace time.Duration
	at   time.Time
}

// Table holds what other daemons told of their requests, each for a time. It is safe for
// concurrent use; a nil table believes nothing.
//
// Invariants: elsewhere is the sum of the counts of all reports that hold; a machine has one
// report at most.
type Table struct {
	run    string
	now    bootclock.Clock
	logger *zap.Logger

	mu        sync.Mutex
	daemons   map[string]*daemon
	elsewhere map[Key]int
	paces     map[Key]pacing
	// nextLapse is when the next report ceases to hold at the earliest.
	nextLapse time.Time
	counts    Counts
}

// Counts are totals of a table, but for Elsewhere, which is of now.
type Counts struct {
	// Received are the reports taken in, Refused those that were late, old or too many,
	// Expired those that were believed to the end of their time.
	Received, Refused, Expired uint64
	// Elsewhere is how many requests of other daemons are believed to be under way.
	Elsewhere int
}

// NewTable returns an empty table of the daemon with the given identity.
func NewTable(run string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{run: run, now: now, logger: logger, daemons: map[string]*daemon{}, elsewhere: map[Key]int{}, paces: map[Key]pacing{}}
}

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

// Others returns how many requests of other daemons are under way at a replica, as these told.
func (t *Table) Others(replica Key) int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(t.now())
	return t.elsewhere[replica]
}

// Pace returns the pace of a replica that others measured last, and how long ago; 0 if none
// is believed.
func (t *Table) Pace(replica Key) (pace, age time.Duration) {
	if t == nil {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.paces[replica]
	age = t.now().Sub(known.at)
	if !ok || age > paceHolds {
		return 0, 0
	}
	return known.pace, max(age, 0)
}

// Demands returns what other daemons have and want of a service's engines.
func (t *Table) Demands(service Key) []Demand {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(t.now())
	var found []Demand
	for _, known := range t.daemons {
		for _, each := range known.report.Demands {
			if known.holds && each.Service == service {
				found = append(found, each)
			}
		}
	}
	return found
}

// Reporters returns the machines whose reports hold.
func (t *Table) Reporters() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(t.now())
	var machines []string
	for machine, known := range t.daemons {
		if known.holds {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Owners returns the machines that are owners, as they told lately, those heard of last first.
func (t *Table) Owners() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var machines []string
	for machine, known := range t.daemons {
		if !known.ownerAt.IsZero() && now.Sub(known.ownerAt) <= ownerHolds {
			machines = append(machines, machine)
		}
	}
	slices.SortFunc(machines, func(a, b string) int {
		return cmp.Or(t.daemons[b].ownerAt.Compare(t.daemons[a].ownerAt), cmp.Compare(a, b))
	})
	return machines
}

// Beliefs returns all that is believed.
func (t *Table) Beliefs() Beliefs {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	var told Beliefs
	for _, known := range t.daemons {
		if known.holds {
			report := known.report
			report.Paces = nil
			told.Reports = append(told.Reports, Relayed{Report: report, Age: uint32(now.Sub(known.at) / ageUnit)})
		}
	}
	for replica, known := range t.paces {
		if age := now.Sub(known.at); age <= paceHolds && len(told.Paces) < longestReport {
			told.Paces = append(told.Paces, MakePacing(replica, known.pace, age))
		}
	}
	return told
}

// Counts returns the totals.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(t.now())
	return t.counts
}
