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
	// reportTTL is how long a report counts after it was sent. It spans three repetitions, so that
	// one may be lost or late. It also bounds how long an item waits for slots that a vanished
	// owner no longer uses.
	reportTTL = 1200 * time.Millisecond
	// eventTimeMaxAge is the age at which a reported event time expires. An engine's speed is
	// that of its machine and changes only with faults; the first output there shows the new one.
	eventTimeMaxAge = 30 * time.Second
	// daemonTTL is how long a daemon without reports is kept, so that late reports of it are
	// recognised as old.
	daemonTTL = 30 * time.Second
	// maxDaemons limits the daemons whose reports are kept.
	maxDaemons = 256
	// maxEventTimes limits the replicas whose event times are kept.
	maxEventTimes = 16384
	// ownerTTL is how long a daemon counts as an owner after its last report or introduction.
	ownerTTL = 2 * introduceInterval
	// maxClockDrift bounds the relative difference in speed of two machines' clocks. It is far
	// above the drift of quartz clocks.
	maxClockDrift = 0.001
)

// daemonState is what is known of the daemon on one machine.
type daemonState struct {
	// report is the latest report of the daemon. A delta is stored with its base applied.
	report Report
	// sentAt is when the report was sent, by the local clock.
	sentAt time.Time
	// current is set while the report counts, that is, until it expires. An empty report never
	// counts.
	current bool
	// ownerSeenAt is when the daemon last reported to be an owner.
	ownerSeenAt time.Time
	// minOffset is the smallest difference seen between the local time of arrival and the sender's
	// time of sending, over the reports of this incarnation. A larger difference means that a
	// report was delayed, or that a machine was suspended. minOffsetAt is when minOffset was last
	// updated, or zero.
	minOffset   time.Duration
	minOffsetAt time.Time
}

// expiresAt returns when the report stops counting.
func (d *daemonState) expiresAt() time.Time { return d.sentAt.Add(reportTTL) }

// reportedEventTime is an event time reported by another daemon, with the time of its
// measurement.
type reportedEventTime struct {
	eventTime  time.Duration
	measuredAt time.Time
}

// Table holds the latest reports of other daemons. It is safe for concurrent use.
//
// Invariants: inFlight is the sum of the counts of all current reports; a machine has at most
// one report.
type Table struct {
	self   string
	now    bootclock.Clock
	logger *zap.Logger

	mu         sync.Mutex
	daemons    map[string]*daemonState
	inFlight   map[Key]int
	eventTimes map[Key]reportedEventTime
	// nextExpiry is the earliest expiry of a current report, or zero.
	nextExpiry time.Time
	stats      TableStats
}

// TableStats holds counters since the start, and the present value OthersInFlight.
type TableStats struct {
	// Received counts accepted reports, Refused those that were too old, out of order or
	// beyond a limit, Expired those that were not followed by another in time.
	Received, Refused, Expired uint64
	// OthersInFlight is the number of requests of other daemons according to their current
	// reports.
	OthersInFlight int
}

// NewTable returns an empty table of the daemon with identity self.
func NewTable(self string, now bootclock.Clock, logger *zap.Logger) *Table {
	return &Table{
		self: self, now: now, logger: logger,
		daemons: map[string]*daemonState{}, inFlight: map[Key]int{}, eventTimes: map[Key]reportedEventTime{},
	}
}

// InFlight returns the number of requests that other daemons report at a replica.
func (t *Table) InFlight(replica Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inFlight) == 0 {
		return 0
	}
	t.expireReports(t.now())
	return t.inFlight[replica]
}

// EventTime returns the latest event time that another daemon measured at a replica, and its age.
// Both are 0 if no event time is known.
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

// Demands returns the demands that other daemons currently report for a service.
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

// Reporters returns the machines with a current report.
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

// Owners returns the machines that reported within ownerTTL to be owners, the latest first.
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

// Snapshot returns all current reports and event times, with their ages. At most maxEntries
// event times are included.
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

// Stats returns the table's statistics.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(t.now())
	return t.stats
}
