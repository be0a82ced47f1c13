// Package fleet orders as many model replicas as the trainers' batches need, where the
// platform starts and ends them on order.
//
// Plan is the rule, and pure; Manager carries it out on the daemon that holds the lease for
// duties. The package owns the records of what was ordered, in a keyed partition of the
// journal, so that a successor goes on from there and does not take replicas for surplus. It
// relies on the list of replicas, on the demands of the trainers' batches, and on the
// platform to refuse orders of a lower fence.
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

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
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
	topic = "woodworks.fleet"
	// lookInterval is the time between two looks for orders that are due.
	lookInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform, journalTimeout one to the journal.
	callTimeout    = 800 * time.Millisecond
	journalTimeout = 1200 * time.Millisecond
	// minFailurePause is the pause after an order that failed, a little more than a look's
	// interval. It doubles with each one in a row, up to maxFailurePause, which is what a
	// platform that takes orders again may wait for the next one.
	minFailurePause = 300 * time.Millisecond
	maxFailurePause = 5 * time.Second
	// maxListAge is how old the list of replicas may be for an order: an outage of the
	// journal lets entries lapse although their replicas live.
	maxListAge = 1500 * time.Millisecond
	// settledAfter is how long the list must have been followed without a gap: entries
	// that lapsed in an outage are back within two seconds of its end.
	settledAfter = 3 * time.Second
	// seenSpan is how long a larger number of replicas is remembered: those that are
	// missing from the list for less may live.
	seenSpan = 15 * time.Second
)

// orderPauses bound the pauses between orders that fail.
var orderPauses = backoff.Bounds{First: minFailurePause, Longest: maxFailurePause}

// List tells how far the list of replicas can be relied upon.
type List interface{ Silence() time.Duration }

// Parts are what a manager works with.
type Parts struct {
	Journal journal.Journal
	Lease   lease.Held
	Driver  duty.Driver
	// Holder is the name in which orders are made.
	Holder        string
	Table         *replica.Table
	List          List
	Configuration func() *route.Configuration
	Demands       *demand.State
}

// serviceZone is a service in a zone.
type serviceZone struct{ service, zone string }

// orderRecord is what was ordered last for a service in a zone. It is a record of the
// journal.
type orderRecord struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Desired int    `cbor:"3,keyasint"`
	// AtMs is the ordering daemon's time of day, in milliseconds. It sets one order apart
	// from another and no more: that clock may be off by any amount.
	AtMs int64 `cbor:"4,keyasint"`
}

// observedOrder is an order with when this daemon first saw it, by its own steady clock: the
// order is at least that old.
type observedOrder struct {
	orderRecord
	at time.Time
}

// Manager orders replicas while it may act.
type Manager struct {
	Parts
	logger *zap.Logger

	// ordered is what was ordered; it is read when this daemon begins to act.
	ordered map[serviceZone]observedOrder
	// newest are the newest orders that were ever seen. They outlive the lease, so that an
	// order does not become new by being read again.
	newest map[serviceZone]observedOrder
	// lowSince is since when each service has needed fewer replicas.
	lowSince map[string]time.Time
	// unsettledAt is when the list was last seen to be old.
	unsettledAt time.Time
	// seen are the replicas listed of late.
	seen map[serviceZone]seenCount
	// rest is the pause after orders that failed.
	rest backoff.Rest

	orders, failed atomic.Uint64
}

// seenCount is the largest number of replicas that was listed within seenSpan.
type seenCount struct {
	count int
	at    time.Time
}

// NewManager returns a manager.
func NewManager(parts Parts, logger *zap.Logger) *Manager {
	return &Manager{
		Parts: parts, logger: logger, newest: map[serviceZone]observedOrder{},
		lowSince: map[string]time.Time{}, seen: map[serviceZone]seenCount{},
	}
}

// Orders returns how many orders the platform took from this daemon.
func (m *Manager) Orders() uint64 { return m.orders.Load() }

// Failed returns how many orders failed.
func (m *Manager) Failed() uint64 { return m.failed.Load() }

// Run orders replicas until the context ends.
func (m *Manager) Run(ctx context.Context) { periodic.Every(ctx, lookInterval, m.step) }

// step makes the orders that are due, if the lease lets this daemon act.
func (m *Manager) step(ctx context.Context) {
	configuration := m.Configuration()
	if configuration == nil {
		return
	}
	// The list is watched without the lease too, as it says little of the past.
	now := time.Now()
	settled := m.settled(now)
	present := m.presentOf(configuration, now)
	if _, _, may := m.Lease.Fence(); !may {
		m.ordered = nil
		return
	}
	if !settled || !m.rest.Over(now) || !m.read(ctx) {
		return
	}
	for _, service := range configuration.Services {
		if service.Scaling == nil {
			continue
		}
		in := m.input(configuration, service, present, now)
		for _, order := range Plan(in) {
			if !m.order(ctx, service.Name, order, in) {
				return
			}
		}
	}
}

// settled reports whether the list of replicas has been followed for a while.
func (m *Manager) settled(now time.Time) bool {
	if m.List.Silence() > maxListAge {
		m.unsettledAt = now
	}
	return now.Sub(m.unsettledAt) >= settledAfter
}

// presentOf counts the replicas listed of the services whose replicas may be ordered, and
// notes the largest numbers of late.
func (m *Manager) presentOf(configuration *route.Configuration, now time.Time) map[serviceZone]int {
	present := map[serviceZone]int{}
	for _, service := range configuration.Services {
		if service.Scaling == nil {
			continue
		}
		for zone := range service.Scaling.ZonePrices {
			present[serviceZone{service.Name, zone}] = 0
		}
		for _, rep := range m.Table.Replicas(service.Name) {
			if !rep.Spot {
				present[serviceZone{service.Name, rep.Zone}]++
			}
		}
	}
	for key, count := range present {
		if last := m.seen[key]; count >= last.count || now.Sub(last.at) > seenSpan {
			m.seen[key] = seenCount{count, now}
		}
	}
	return present
}

// input gathers what a plan for a service depends on.
func (m *Manager) input(configuration *route.Configuration, service route.Service, present map[serviceZone]int, now time.Time) Input {
	in := Input{Scaling: *service.Scaling, Slots: service.Slots, Now: now, Loads: m.loads(configuration, service)}
	for key, count := range present {
		if key.service != service.Name {
			continue
		}
		last := m.ordered[key]
		in.Zones = append(in.Zones, Zone{Name: key.zone, Present: count, Seen: m.seen[key].count, Ordered: last.Desired, OrderedAt: last.at})
	}
	// By name, so that plans do not depend on chance.
	slices.SortFunc(in.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	switch {
	case !Low(in):
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
		if d, _ := m.Demands.Of(model.Name); d.Items > 0 {
			loads = append(loads, Load{Items: d.Items, ItemTime: m.Demands.ItemTime(model.Name), Deadline: deadline})
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

// order asks the platform for replicas. What is asked for is recorded first, so that a
// successor takes what may have been ordered for ordered.
func (m *Manager) order(ctx context.Context, service string, order Order, in Input) bool {
	key := serviceZone{service, order.Zone}
	rec := orderRecord{Service: service, Zone: order.Zone, Desired: order.Desired, AtMs: in.Now.UnixMilli()}
	err := m.record(ctx, rec)
	fence := int64(0)
	if err == nil {
		m.ordered[key] = m.observe(key, rec, in.Now)
		err = lease.Act(ctx, m.Lease, callTimeout, func(ctx context.Context, held int64) error {
			fence = held
			return m.Driver.OrderFleet(ctx, duty.Authority{Holder: m.Holder, Fence: held},
				duty.Fleet{Service: service, Zone: order.Zone, Desired: order.Desired})
		})
	}
	m.logger.Info("replicas ordered", zap.String("service", service), zap.String("zone", order.Zone), zap.Int("desired", order.Desired),
		zap.Int("need", Need(in)), zap.Stringers("zones", in.Zones), zap.Stringers("loads", in.Loads), zap.Int64("fence", fence), zap.Error(err))
	if err != nil {
		m.failed.Add(1)
		m.rest.Failed(orderPauses, time.Now())
		// It has to be ordered again.
		delete(m.ordered, key)
		return false
	}
	m.orders.Add(1)
	m.rest.Succeeded()
	return true
}

// partition is where orders are kept.
var partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

// record keeps an order in the journal.
func (m *Manager) record(ctx context.Context, rec orderRecord) error {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "fleet: encode")
	}
	bounded, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	record := journal.EncodeKeyed(rec.Service+"/"+rec.Zone, encoded)
	_, err = m.Journal.Append(bounded, journal.Append{Partition: partition, Records: [][]byte{record}})
	return errors.Wrap(err, "fleet: order not noted")
}

// observe returns an order with when it was first seen.
func (m *Manager) observe(key serviceZone, rec orderRecord, now time.Time) observedOrder {
	if m.newest[key].orderRecord != rec {
		m.newest[key] = observedOrder{rec, now}
	}
	return m.newest[key]
}

// read learns what was ordered, when this daemon begins to act.
func (m *Manager) read(ctx context.Context) bool {
	if m.ordered != nil {
		return true
	}
	ordered := map[serviceZone]observedOrder{}
	for afterKey, more := "", true; more; {
		bounded, cancel := context.WithTimeout(ctx, journalTimeout)
		page, err := m.Journal.Newest(bounded, partition, afterKey)
		cancel()
		if err != nil {
			m.logger.Info("orders for replicas not read", zap.Error(err))
			return false
		}
		for _, r := range page.Records {
			var rec orderRecord
			if err := cbor.Unmarshal(r.Value, &rec); err != nil {
				m.logger.Error("order for replicas refused", zap.String("key", r.Key), zap.Error(err))
				continue
			}
			key := serviceZone{rec.Service, rec.Zone}
			ordered[key] = m.observe(key, rec, time.Now())
			afterKey = r.Key
		}
		more = page.More && len(page.Records) > 0
	}
	m.ordered = ordered
	return true
}
