package occupancy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
)

const (
	// reportTTL is how long a report counts: three times as long as a daemon lets pass
	// between two of them, so that one that is lost or late changes nothing. It is also the
	// longest for which an item waits for room that nobody uses; texts take seconds.
	reportTTL = 1200 * time.Millisecond
	// eventTimeMaxAge is how long an event time counts that others measured: an engine's speed is
	// that of its machine and changes only with faults, and the first text there shows the new one.
	eventTimeMaxAge = 30 * time.Second
	// daemonTTL is how long a daemon that reports no more is remembered, so that a report of
	// its that arrives late is recognised as old.
	daemonTTL = 30 * time.Second
	// maxDaemons bounds the daemons whose reports are kept. More than so many owners at a time
	// would have one or two requests each at an engine.
	maxDaemons = 256
	// maxEventTimes bounds the replicas whose event times are kept.
	maxEventTimes = 16384
	// ownerTTL is how long a daemon is taken for an owner that can be asked: it introduces
	// itself to each that may become one more often.
	ownerTTL = 2 * introduceInterval
	// maxClockDrift is by how much two machines' clocks may differ in speed, as a ratio, far above the
	// drift of quartz.
	maxClockDrift = 0.001
)

// daemonState is what a machine reported last.
type daemonState struct {
	report Report
	// sentAt is when the report was sent, by the clock here.
	sentAt time.Time
	// current says that the report counts.
	current bool
	// ownerSeenAt is when it was an owner last, as it reported.
	ownerSeenAt time.Time
	// minOffset is the least difference seen between the clock here and the sender's as a
	// report of this incarnation came: by how much more one differs, it was on its way for longer
	// or waited for a machine that was suspended. Zero offsetAt: none was seen.
	minOffset   time.Duration
	minOffsetAt time.Time
}

// expiresAt is when the report counts no more.
func (d *daemonState) expiresAt() time.Time { return d.sentAt.Add(reportTTL) }

// reportedEventTime is an event time that others reported, with when it was measured.
type reportedEventTime struct {
	eventTime  time.Duration
	measuredAt time.Time
}

// Table holds what other daemons reported of their requests, each for a time. It is safe for
// concurrent use.
//
// Invariants: inFlight is the sum of the counts of all current reports; a machine has one
// report at most.
type Table struct {
	self   string
	now    bootclock.Clock
	logger *zap.Logger

	mu         sync.Mutex
	daemons    map[string]*daemonState
	inFlight   map[Key]int
	eventTimes map[Key]reportedEventTime
	// nextExpiry is when the next report lapses at the earliest.
	nextExpiry time.Time
	stats      TableStats
}

// TableStats are totals of a table, but for Elsewhere, which is of now.
type TableStats struct {
	// Received are the reports taken in, Refused those that were late, old or too many,
	// Expired those that counted to the end of their time.
	Received, Refused, Expired uint64
	// OthersInFlight is how many requests of other daemons are under way, by their reports.
	OthersInFlight int
}

// NewTable returns an empty table of the daemon with the given identity.
func NewTable(self string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{
		self: self, now: now, logger: logger,
		daemons: map[string]*daemonState{}, inFlight: map[Key]int{}, eventTimes: map[Key]reportedEventTime{},
	}
}

// InFlight returns how many requests of other daemons are under way at a replica, as these
// report.
func (t *Table) InFlight(replica Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inFlight) == 0 {
		return 0
	}
	t.expireReports(t.now())
	return t.inFlight[replica]
}

// EventTime returns the event time of a replica that others measured last, and how long ago;
// 0 if none is known.
func (t *Table) EventTime(replica Key) (eventTime, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.eventTimes[replica]
	age = t.now().Sub(m.measuredAt)
	if !ok || age > eventTimeMaxAge {
		return 0, 0
	}
	return m.eventTime, max(age, 0)
}

// Demands returns what other daemons have and want of a service's engines.
func (t *Table) Demands(service Key) []Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(t.now())
	var demands []Demand
	for _, d := range t.daemons {
		for _, dm := range d.report.Demands {
			if d.current && dm.Service == service {
				demands = append(demands, dm)
			}
		}
	}
	return demands
}

// Reporters returns the machines whose reports count.
func (t *Table) Reporters() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(t.now())
	var machines []string
	for machine, d := range t.daemons {
		if d.current {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Owners returns the machines that are owners, as they reported lately, the last first.
func (t *Table) Owners() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var machines []string
	for machine, d := range t.daemons {
		if !d.ownerSeenAt.IsZero() && now.Sub(d.ownerSeenAt) <= ownerTTL {
			machines = append(machines, machine)
		}
	}
	slices.SortFunc(machines, func(a, b string) int {
		return cmp.Or(t.daemons[b].ownerSeenAt.Compare(t.daemons[a].ownerSeenAt), cmp.Compare(a, b))
	})
	return machines
}

// Snapshot returns all that is known.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireReports(now)
	var o Snapshot
	for _, d := range t.daemons {
		if d.current {
			report := d.report
			report.Measurements = nil
			o.Reports = append(o.Reports, RelayedReport{Report: report, Age: uint32(now.Sub(d.sentAt) / ageUnit)})
		}
	}
	for replica, m := range t.eventTimes {
		if age := now.Sub(m.measuredAt); age <= eventTimeMaxAge && len(o.Measurements) < maxEntries {
			o.Measurements = append(o.Measurements, NewMeasurement(replica, m.eventTime, age))
		}
	}
	return o
}

// Stats returns the totals.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(t.now())
	return t.stats
}
