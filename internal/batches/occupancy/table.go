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
	// reportHolds is how long a report is believed: three times as long as a daemon lets pass
	// between two of them, so that one that is lost or late changes nothing. It is also the
	// longest for which an item waits for room that nobody uses; texts take seconds.
	reportLifetime = 1200 * time.Millisecond
	// paceHolds is how long a pace is believed that others told: an engine's speed is that of
	// its machine and changes with trouble only, and a first text there shows what it is now.
	eventTimeLifetime = 30 * time.Second
	// remembered is how long a daemon that tells no more is remembered, so that an old report
	// of its which comes late is known for that.
	rememberFor = 30 * time.Second
	// mostDaemons bounds the daemons whose reports are held. More than so many owners at a time
	// would have one or two requests each at an engine.
	maxDaemons = 256
	// mostPaces bounds the replicas whose paces are held.
	maxEventTimes = 16384
	// ownerHolds is how long a daemon is taken for an owner that can be asked: it introduces
	// itself to each that may become one more often.
	ownerLifetime = 2 * introduceInterval
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
	current bool
	// ownerAt is when it was an owner last, as it told.
	ownerAt time.Time
	// offset is the least difference seen between the clock here and the sender's as a
	// report of this run came: by how much more one differs, it was on its way for longer
	// or waited for a machine that was suspended. Zero offsetAt: none was seen.
	offset   time.Duration
	offsetAt time.Time
}

// pacing is a pace that others told, with when it was measured.
type measuredTime struct {
	eventTime time.Duration
	at        time.Time
}

// Table holds what other daemons told of their requests, each for a time. It is safe for
// concurrent use; a nil table believes nothing.
//
// Invariants: elsewhere is the sum of the counts of all reports that hold; a machine has one
// report at most.
type Table struct {
	self   string
	now    bootclock.Clock
	logger *zap.Logger

	mu         sync.Mutex
	daemons    map[string]*daemon
	inFlight   map[Key]int
	eventTimes map[Key]measuredTime
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
	return &Table{self: run, now: now, logger: logger, daemons: map[string]*daemon{}, inFlight: map[Key]int{}, eventTimes: map[Key]measuredTime{}}
}

// Others returns how many requests of other daemons are under way at a replica, as these told.
func (t *Table) InFlight(replica Key) int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inFlight) == 0 {
		return 0
	}
	t.lapse(t.now())
	return t.inFlight[replica]
}

// Pace returns the pace of a replica that others measured last, and how long ago; 0 if none
// is believed.
func (t *Table) EventTime(replica Key) (pace, age time.Duration) {
	if t == nil {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.eventTimes[replica]
	age = t.now().Sub(known.at)
	if !ok || age > eventTimeLifetime {
		return 0, 0
	}
	return known.eventTime, max(age, 0)
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
	for _, d := range t.daemons {
		for _, dm := range d.report.Demands {
			if d.current && dm.Service == service {
				found = append(found, dm)
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
	for machine, d := range t.daemons {
		if d.current {
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
	for machine, d := range t.daemons {
		if !d.ownerAt.IsZero() && now.Sub(d.ownerAt) <= ownerLifetime {
			machines = append(machines, machine)
		}
	}
	slices.SortFunc(machines, func(a, b string) int {
		return cmp.Or(t.daemons[b].ownerAt.Compare(t.daemons[a].ownerAt), cmp.Compare(a, b))
	})
	return machines
}

// Beliefs returns all that is believed.
func (t *Table) Occupancy() Occupancy {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	var told Occupancy
	for _, d := range t.daemons {
		if d.current {
			report := d.report
			report.Measured = nil
			told.Reports = append(told.Reports, Relayed{Report: report, Age: uint32(now.Sub(d.at) / ageUnit)})
		}
	}
	for replica, known := range t.eventTimes {
		if age := now.Sub(known.at); age <= eventTimeLifetime && len(told.Measured) < maxEntries {
			told.Measured = append(told.Measured, NewMeasurement(replica, known.eventTime, age))
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
