// Package fleet orders as many model replicas as the trainers' batches need, on platforms that
// start and end replicas on order.
//
// Plan computes the orders and is a pure function (plan.go). Manager carries them out on the
// daemon that holds the lease for duties. listed.go counts the listed replicas, orders.go records
// the orders. The package owns these records, in a keyed partition of the journal, so that the
// next lease holder knows them and does not treat ordered replicas as surplus. It relies on the
// list of replicas, on the demand of the trainers' batches, and on the platform to refuse orders
// with a lower fence.
//
// # Usage
//
//	manager := fleet.NewManager(fleet.Deps{Journal: log, Lease: held, Driver: duties, ...}, logger)
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
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 800 * time.Millisecond
)

// orderBackoff bounds the wait after failed orders. Its first wait is a little longer than
// planInterval.
var orderBackoff = backoff.Bounds{First: 300 * time.Millisecond, Longest: 5 * time.Second}

// Deps are the dependencies of a Manager.
type Deps struct {
	Journal journal.Journal
	Lease   lease.Fencer
	Driver  duty.Driver
	// Holder is the name under which this daemon holds the lease. Each order carries it.
	Holder        string
	Table         *replica.Table
	List          ListFreshness
	Configuration func() *route.Configuration
	Demands       *demand.State
}

// serviceZone identifies the replicas of a service in one zone.
type serviceZone struct{ service, zone string }

// Manager orders replicas while this daemon holds the lease.
type Manager struct {
	Deps
	logger *zap.Logger

	// lastOrders is the last order of each service and zone. It is read from the journal after the
	// lease is acquired, and is nil while the lease is not held.
	lastOrders map[serviceZone]observedOrder
	// newestOrders is the newest order ever seen of each service and zone. It is kept after the
	// lease is lost, so that reading an order again does not reset the time when it was first
	// seen.
	newestOrders map[serviceZone]observedOrder
	// lowSince holds when the need of each service became low; see NeedIsLow.
	lowSince map[string]time.Time
	// listStaleAt is when the list of replicas was last found to be stale.
	listStaleAt time.Time
	// recentMax is the largest number of listed replicas in recentMaxWindow.
	recentMax map[serviceZone]observedMax
	// backoff delays the next orders after a failed one.
	backoff backoff.Rest

	// OrdersAccepted counts the orders that the platform accepted, OrdersFailed those that
	// failed.
	OrdersAccepted, OrdersFailed atomic.Uint64
}

// NewManager returns a manager that does nothing until Run is called.
func NewManager(deps Deps, logger *zap.Logger) *Manager {
	return &Manager{
		Deps: deps, logger: logger, newestOrders: map[serviceZone]observedOrder{},
		lowSince: map[string]time.Time{}, recentMax: map[serviceZone]observedMax{},
	}
}

// Run plans and orders replicas until the context ends. It acts only while the lease is held.
func (m *Manager) Run(ctx context.Context) { periodic.Every(ctx, planInterval, m.step) }

// step makes the orders that are due, if this daemon holds the lease and the list of replicas
// can be relied on.
func (m *Manager) step(ctx context.Context) {
	configuration := m.Configuration()
	if configuration == nil {
		return
	}
	// The list is observed even without the lease, because a plan needs its recent history.
	now := time.Now()
	settled := m.listSettled(now)
	present := m.countListed(configuration, now)
	if _, _, held := m.Lease.Fence(); !held {
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

// planInput returns the input of a plan for a service, with the last orders of its zones, and
// updates lowSince.
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
	// The zones are sorted so that a plan does not depend on the order of a map.
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

// loads returns the loads of the batches of a service's models. Models without demand are left
// out.
func (m *Manager) loads(configuration *route.Configuration, service route.Service) []Load {
	deadline := batchDeadline(configuration, service.Name)
	var loads []Load
	for _, model := range service.Models {
		if d := m.Demands.Newest(model); d.Items > 0 {
			loads = append(loads, Load{Items: d.Items, ItemTime: m.Demands.ItemTime(model), Deadline: deadline})
		}
	}
	return loads
}

// batchDeadline returns the shortest deadline of the batch routes that use a service, 0 if there
// are none.
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

// placeOrder orders replicas from the platform and reports whether the platform accepted the
// order. The order is recorded in the journal before the call, so that the next lease holder
// treats an order whose outcome is unknown as made.
func (m *Manager) placeOrder(ctx context.Context, service string, order Order, in Input) bool {
	key := serviceZone{service, order.Zone}
	rec := orderRecord{Service: service, Zone: order.Zone, Desired: order.Desired, AtMs: in.Now.UnixMilli()}
	err := m.recordOrder(ctx, rec)
	fence := int64(0)
	if err == nil {
		m.lastOrders[key] = m.observe(key, rec, in.Now)
		fence, err = lease.Do(ctx, m.Lease, callTimeout, func(ctx context.Context, fence int64) error {
			return m.Driver.OrderFleet(ctx, duty.Authority{Holder: m.Holder, Fence: fence},
				duty.FleetOrder{Service: service, Zone: order.Zone, Desired: order.Desired})
		})
	}
	m.logger.Info("replicas ordered", zap.String("service", service), zap.String("zone", order.Zone),
		zap.Int("desired", order.Desired), zap.Int("need", Need(in)), zap.Stringers("zones", in.Zones),
		zap.Stringers("loads", in.Loads), zap.Int64("fence", fence), zap.Error(err))
	if err != nil {
		m.OrdersFailed.Add(1)
		m.backoff.Failed(orderBackoff, time.Now())
		// The order is removed from lastOrders, so that the next plan makes it again.
		delete(m.lastOrders, key)
		return false
	}
	m.OrdersAccepted.Add(1)
	m.backoff.Succeeded()
	return true
}
