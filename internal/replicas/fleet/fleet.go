// Package fleet orders as many model replicas as the trainers' batches need, where the
// platform starts and ends them on order.
//
// Plan is the rule, and pure (plan.go); Manager carries it out on the daemon that holds the lease
// for duties. listed.go tells which replicas there are, orders.go keeps what was ordered. The
// package owns the records of what was ordered, in a keyed partition of the journal, so that a
// successor goes on from there and does not take replicas for surplus. It relies on the list of
// replicas, on the demands of the trainers' batches, and on the platform to refuse orders of a
// lower fence.
//
// # Usage
//
//	manager := fleet.NewManager(fleet.Parts{Journal: log, Lease: held, Driver: duties, ...}, logger)
//	go manager.Run(ctx) // acts only while the lease is held
package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
	"woodworks/internal/membership/lease"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

const (
	// planInterval is the time between two looks for orders that are due.
	planInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 800 * time.Millisecond
)

// orderBackoff are the pauses after orders that failed: at first a little more than a look's
// interval, at last what a platform that takes orders again may wait for the next one.
var orderBackoff = backoff.Bounds{First: 300 * time.Millisecond, Longest: 5 * time.Second}

// Deps are what a manager works with.
type Deps struct {
	Journal journal.Journal
	Lease   lease.Fencer
	Driver  duty.Driver
	// Holder is the name in which orders are made.
	Holder        string
	Table         *replica.Table
	List          ListFreshness
	Configuration func() *route.Configuration
	Demands       *demand.State
}

// serviceZone is a service in a zone.
type serviceZone struct{ service, zone string }

// Manager orders replicas while it may act.
type Manager struct {
	Deps
	logger *zap.Logger

	// lastOrders is what was lastOrders; it is read when this daemon begins to act.
	lastOrders map[serviceZone]observedOrder
	// newestOrders are the newestOrders orders that were ever seen. They outlive the lease, so that an
	// order does not become new by being read again.
	newestOrders map[serviceZone]observedOrder
	// lowSince is since when each service has needed fewer replicas.
	lowSince map[string]time.Time
	// listStaleAt is when the list was last seen to be old.
	listStaleAt time.Time
	// recentMax are the replicas listed of late.
	recentMax map[serviceZone]observedMax
	// backoff is the pause after orders that failed.
	backoff backoff.Rest

	// OrdersAccepted counts the orders that the platform took from this daemon, OrdersFailed those that failed.
	OrdersAccepted, OrdersFailed atomic.Uint64
}

// NewManager returns a manager.
func NewManager(parts Deps, logger *zap.Logger) *Manager {
	return &Manager{
		Deps: parts, logger: logger, newestOrders: map[serviceZone]observedOrder{},
		lowSince: map[string]time.Time{}, recentMax: map[serviceZone]observedMax{},
	}
}

// Run orders replicas until the context ends.
func (m *Manager) Run(ctx context.Context) { periodic.Every(ctx, planInterval, m.step) }

// step makes the orders that are due, if the lease lets this daemon act.
func (m *Manager) step(ctx context.Context) {
	configuration := m.Configuration()
	if configuration == nil {
		return
	}
	// The list is watched without the lease too, as it says little of the past.
	now := time.Now()
	settled := m.listSettled(now)
	present := m.countListed(configuration, now)
	if _, _, may := m.Lease.Fence(); !may {
		m.lastOrders = nil
		return
	}
	if !settled || !m.backoff.Over(now) || !m.loadOrders(ctx) {
		return
	}
	for _, service := range configuration.Services {
		if service.Scaling == nil {
			continue
		}
		in := m.planInput(configuration, service, present, now)
		for _, order := range Plan(in) {
			if !m.placeOrder(ctx, service.Name, order, in) {
				return
			}
		}
	}
}

// planInput gathers what a plan for a service depends on.
func (m *Manager) planInput(configuration *route.Configuration, service route.Service,
	present map[serviceZone]int, now time.Time) Input {
	in := Input{Scaling: *service.Scaling, Slots: service.Slots, Now: now, Loads: m.loads(configuration, service)}
	for key, count := range present {
		if key.service != service.Name {
			continue
		}
		last := m.lastOrders[key]
		in.Zones = append(in.Zones, Zone{Name: key.zone, Present: count, RecentMax: m.recentMax[key].count,
			Ordered: last.Desired, OrderedAt: last.firstSeenAt})
	}
	// By name, so that plans do not depend on chance.
	slices.SortFunc(in.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	switch {
	case !NeedIsLow(in):
		delete(m.lowSince, service.Name)
	case m.lowSince[service.Name].IsZero():
		m.lowSince[service.Name] = now
	}
	in.LowSince = m.lowSince[service.Name]
	return in
}

// loads returns what the batches of a service's models ask of it.
func (m *Manager) loads(configuration *route.Configuration, service route.Service) []Load {
	deadline := batchDeadline(configuration, service.Name)
	var loads []Load
	for _, model := range service.Models {
		if d := m.Demands.Of(model); d.Items > 0 {
			loads = append(loads, Load{Items: d.Items, ItemTime: m.Demands.ItemTime(model), Deadline: deadline})
		}
	}
	return loads
}

// batchDeadline returns the shortest deadline of the batches that a service runs, 0 if
// there are none.
func batchDeadline(configuration *route.Configuration, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range configuration.Routes {
		rt := &configuration.Routes[i]
		if rt.Kind != route.Batch || rt.BatchDeadline <= 0 || !rt.Uses(service) {
			continue
		}
		if shortest == 0 || rt.BatchDeadline < shortest {
			shortest = rt.BatchDeadline
		}
	}
	return shortest
}

// placeOrder asks the platform for replicas. What is asked for is recorded first, so that a
// successor takes what may have been ordered for ordered.
func (m *Manager) placeOrder(ctx context.Context, service string, order Order, in Input) bool {
	key := serviceZone{service, order.Zone}
	rec := orderRecord{Service: service, Zone: order.Zone, Desired: order.Desired, AtMs: in.Now.UnixMilli()}
	err := m.recordOrder(ctx, rec)
	fence := int64(0)
	if err == nil {
		m.lastOrders[key] = m.observe(key, rec, in.Now)
		fence, err = lease.Act(ctx, m.Lease, callTimeout, func(ctx context.Context, fence int64) error {
			return m.Driver.OrderFleet(ctx, duty.Authority{Holder: m.Holder, Fence: fence},
				duty.Fleet{Service: service, Zone: order.Zone, Desired: order.Desired})
		})
	}
	m.logger.Info("replicas ordered", zap.String("service", service), zap.String("zone", order.Zone),
		zap.Int("desired", order.Desired), zap.Int("need", Need(in)), zap.Stringers("zones", in.Zones),
		zap.Stringers("loads", in.Loads), zap.Int64("fence", fence), zap.Error(err))
	if err != nil {
		m.OrdersFailed.Add(1)
		m.backoff.Failed(orderBackoff, time.Now())
		// It has to be ordered again.
		delete(m.lastOrders, key)
		return false
	}
	m.OrdersAccepted.Add(1)
	m.backoff.Succeeded()
	return true
}
