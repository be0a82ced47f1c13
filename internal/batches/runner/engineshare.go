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

// ownEventTimeMaxAge is how long an event time that this daemon measured is preferred to a newer
// one that others report.
const ownEventTimeMaxAge = 3 * time.Second

// engineSharing divides the room at engines between this daemon and other owners. A nil
// *engineSharing ignores other owners.
type engineSharing struct {
	self     string
	table    *occupancy.Table
	onChange func()
	logger   *zap.Logger

	mu sync.Mutex
	// demands holds, by service, what the last dispatch left waiting; startLimiters limit the
	// starts while other owners wait for slots.
	demands       map[string]occupancy.Demand
	startLimiters map[string]occupancy.StartLimiter
}

func newEngineSharing(self string, table *occupancy.Table, changed func(), logger *zap.Logger) *engineSharing {
	return &engineSharing{
		self: self, table: table, onChange: changed, logger: logger,
		demands: map[string]occupancy.Demand{}, startLimiters: map[string]occupancy.StartLimiter{},
	}
}

// ShareEngines makes the runner take the reports of other owners in the table into account. It is
// called before Run. The runner calls changed whenever its own requests may have changed; changed
// must not block.
func (r *Runner) ShareEngines(table *occupancy.Table, changed func()) {
	r.sharing = newEngineSharing(r.self, table, changed, r.logger)
}

// ReplicaKey returns the key by which other owners know this incarnation of a replica.
func ReplicaKey(rep replica.Replica) occupancy.Key { return occupancy.KeyOf(rep.ID, rep.StartedAt) }

// withReports returns the engine with this owner's preference for it and with the requests in
// flight that other owners report. If this daemon's event time of the engine is unknown or older
// than ownEventTimeMaxAge, a newer one that others report replaces it.
func (s *engineSharing) withReports(
	engine scheduling.Engine, rep replica.Replica, now time.Time,
) scheduling.Engine {
	if s == nil {
		return engine
	}
	key := ReplicaKey(rep)
	engine.OthersInFlight = s.table.InFlight(key)
	engine.Preference = occupancy.Preference(s.self, rep.ID)
	if ownAge := now.Sub(rep.LastEventAt); rep.EventTime == 0 || ownAge > ownEventTimeMaxAge {
		if eventTime, age := s.table.EventTime(key); eventTime > 0 && (rep.EventTime == 0 || age < ownAge) {
			engine.EventTime = eventTime
		}
	}
	return engine
}

// holdBackStarts returns the decisions of a service that may be carried out now, given the demands
// of other owners, and records what is left waiting.
func (s *engineSharing) holdBackStarts(
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
	limiter, others := s.startLimiters[service], s.table.Demands(key)
	heldBack := limiter.IsYielding()
	allowed := limiter.Allow(now, occupancy.Allowance(capacityOf(snap), own, others), due)
	s.startLimiters[service] = limiter
	if limiter.IsYielding() && !heldBack {
		s.logger.Info("starts held back for other owners", zap.String("service", service),
			zap.Int("starts", due), zap.Int("allowed", allowed), zap.Uint32("in_flight", own.InFlight),
			zap.Uint32("waiting", own.Waiting), zap.Int("owners", len(others)))
	}
	kept := limitStarts(decisions, allowed)
	demand, room := demandOf(key, snap, kept)
	if allowed == due && room {
		// An engine has room and recent enough weights for the most urgent item left, so the items
		// do not wait for room.
		demand.Waiting = 0
	}
	s.demands[service] = demand
	return kept
}

// finishDispatch ends a pass of the dispatcher: it drops the state of services without items and
// calls onChange.
func (s *engineSharing) finishDispatch(views map[string]*view) {
	if s == nil {
		return
	}
	s.mu.Lock()
	maps.DeleteFunc(s.demands, func(service string, _ occupancy.Demand) bool { return views[service] == nil })
	maps.DeleteFunc(s.startLimiters, func(service string, _ occupancy.StartLimiter) bool {
		return views[service] == nil
	})
	s.mu.Unlock()
	s.onChange()
}

// ReportReceived triggers a pass of the dispatcher if items wait for room, since a new report may
// show that an engine has room. It never blocks. ShareEngines must have been called.
func (r *Runner) ReportReceived() {
	s := r.sharing
	s.mu.Lock()
	waiting := false
	for _, d := range s.demands {
		waiting = waiting || d.Waiting > 0
	}
	s.mu.Unlock()
	if waiting {
		r.WakeDispatcher()
	}
}

// OccupancyReport returns the requests, demands and event times that this daemon reports to other
// owners. It is empty while no batch runs; a stopping daemon reports no waiting items. ShareEngines
// must have been called.
func (r *Runner) OccupancyReport() (report occupancy.Report) {
	s := r.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.idle() {
		clear(s.demands)
		clear(s.startLimiters)
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
			report.Counts = append(report.Counts, occupancy.RequestCount{Replica: ReplicaKey(rep), Requests: inFlight})
			if age := now.Sub(rep.LastEventAt); rep.EventTime > 0 && age <= ownEventTimeMaxAge {
				report.Measurements = append(report.Measurements, occupancy.NewMeasurement(ReplicaKey(rep), rep.EventTime, age))
			}
		}
		report.Demands = append(report.Demands, demand)
	}
	return report
}
