package runner

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/occupancy"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
)

// ownEventTimeMaxAge is for how long an event time that this daemon measured is preferred to one
// that others have measured since: each event of a text gives a new one.
const ownEventTimeMaxAge = 3 * time.Second

// sharing is what the dispatcher needs to share engines with other owners. A nil one shares
// them with nobody.
type sharing struct {
	self    string
	table   *occupancy.Table
	changed func()
	logger  *zap.Logger

	mu sync.Mutex
	// demands are what the last dispatch left waiting, by service; turns say whether starts are
	// held back for other owners.
	demands map[string]occupancy.Demand
	turns   map[string]occupancy.Turn
}

func newSharing(self string, table *occupancy.Table, changed func(), logger *zap.Logger) *sharing {
	return &sharing{
		self: self, table: table, changed: changed, logger: logger,
		demands: map[string]occupancy.Demand{}, turns: map[string]occupancy.Turn{},
	}
}

// ShareEngines has the runner take the reports of other owners in the table into account. Changed is
// called whenever the runner's own requests may have changed; it must not block. It is called
// before Run.
func (r *Runner) ShareEngines(table *occupancy.Table, changed func()) {
	r.shared = newSharing(r.self, table, changed, r.logger)
}

// KeyOf names the incarnation of a replica to other owners.
func KeyOf(rep replica.Replica) occupancy.Key { return occupancy.KeyOf(rep.ID, rep.StartedAt) }

// withReports adds to an engine what other owners report of it.
func (s *sharing) withReports(
	engine scheduling.Engine, rep replica.Replica, now time.Time,
) scheduling.Engine {
	if s == nil {
		return engine
	}
	key := KeyOf(rep)
	engine.OthersInFlight = s.table.InFlight(key)
	engine.Preference = occupancy.Preference(s.self, rep.ID)
	if own := now.Sub(rep.LastEventAt); rep.EventTime == 0 || own > ownEventTimeMaxAge {
		if eventTime, age := s.table.EventTime(key); eventTime > 0 && (rep.EventTime == 0 || age < own) {
			engine.EventTime = eventTime
		}
	}
	return engine
}

// inTurn returns the decisions of a service that may be carried out now, as other owners wait
// for room as well, and notes what is left waiting.
func (s *sharing) inTurn(
	service string, snap *scheduling.Snapshot, decisions []scheduling.Decision, now time.Time,
) []scheduling.Decision {
	if s == nil {
		return decisions
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := occupancy.KeyOf(service, time.Time{})
	own, _ := demandOf(key, snap, nil)
	started, _ := startsOf(decisions)
	due := len(started)
	turn, others := s.turns[service], s.table.Demands(key)
	left := turn.Leaves()
	allowed := turn.Allow(now, occupancy.Allowance(capacityOf(snap), own, others), due)
	s.turns[service] = turn
	if turn.Leaves() && !left {
		s.logger.Info("room left to other owners", zap.String("service", service),
			zap.Int("starts", due), zap.Int("allowed", allowed), zap.Uint32("in_flight", own.InFlight),
			zap.Uint32("waiting", own.Waiting), zap.Int("owners", len(others)))
	}
	kept := firstStarts(decisions, allowed)
	demand, room := demandOf(key, snap, kept)
	if allowed == due && room {
		// What waits beside room waits for something else, as for weights.
		demand.Waiting = 0
	}
	s.demands[service] = demand
	return kept
}

// dispatched ends a round of dispatch. What is kept of services without items is dropped.
func (s *sharing) dispatched(views map[string]*view) {
	if s == nil {
		return
	}
	s.mu.Lock()
	maps.DeleteFunc(s.demands, func(service string, _ occupancy.Demand) bool { return views[service] == nil })
	maps.DeleteFunc(s.turns, func(service string, _ occupancy.Turn) bool { return views[service] == nil })
	s.mu.Unlock()
	s.changed()
}

// HeardOfOthers has the dispatcher look again if items wait for room: a report may show that
// there is some. It never blocks.
func (r *Runner) HeardOfOthers() {
	s := r.shared
	s.mu.Lock()
	waits := false
	for _, d := range s.demands {
		waits = waits || d.Waiting > 0
	}
	s.mu.Unlock()
	if waits {
		r.Kick()
	}
}

// Occupied returns what this daemon has at the engines that it shares with other owners.
func (r *Runner) Occupied() (report occupancy.Report) {
	s := r.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.idle() {
		clear(s.demands)
		clear(s.turns)
		return report
	}
	now := time.Now()
	for service, demand := range s.demands {
		if r.stopping.Load() {
			demand.Waiting = 0
		}
		demand.InFlight = 0
		for _, rep := range r.table.Replicas(service) {
			inFlight := uint32(max(rep.InFlight, 0))
			demand.InFlight += inFlight
			report.Counts = append(report.Counts, occupancy.Count{Replica: KeyOf(rep), Requests: inFlight})
			if age := now.Sub(rep.LastEventAt); rep.EventTime > 0 && age <= ownEventTimeMaxAge {
				report.Measured = append(report.Measured, occupancy.NewMeasurement(KeyOf(rep), rep.EventTime, age))
			}
		}
		report.Demands = append(report.Demands, demand)
	}
	return report
}
