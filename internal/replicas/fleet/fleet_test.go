package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/duty"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// fixture implements the dependencies of a manager and records its orders.
type fixture struct {
	log         *journaltest.Journal
	table       *replica.Table
	demands     *demand.State
	mu          sync.Mutex
	orders      []duty.FleetOrder
	orderErr    error
	lastContact time.Time
	held        bool
	fence       int64
}

func (s *fixture) Duties() duty.Duties { return duty.Duties{Fleet: true} }
func (s *fixture) ReportUsage(context.Context, duty.Authority, duty.Usage) error {
	return duty.ErrRefused
}

func (s *fixture) OrderFleet(_ context.Context, _ duty.Authority, fleet duty.FleetOrder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, fleet)
	return s.orderErr
}

func (s *fixture) Silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastContact.IsZero() {
		return 0
	}
	return time.Since(s.lastContact)
}

func (s *fixture) Fence() (int64, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence, time.Second, s.held
}

func (s *fixture) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fixture) placedOrders() []duty.FleetOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]duty.FleetOrder(nil), s.orders...)
}

// newFixture returns a fixture with nine replicas in three zones and batches of the given number
// of items.
func newFixture(items int) *fixture {
	s := &fixture{log: journaltest.New(), table: replica.NewTable(time.Second, zap.NewNop()), demands: demand.NewState(zap.NewNop()), held: true, fence: 1}
	for i := range 9 {
		s.listReplica(i)
	}
	encoded, err := cbor.Marshal(demand.Demand{Items: items})
	if err != nil {
		panic(err)
	}
	s.demands.Apply(journal.KeyedRecord{Key: "m", Value: encoded})
	return s
}

func (s *fixture) listReplica(i int) {
	s.table.Set(replica.Entry{ID: fmt.Sprint("r", i), Service: "s", Zone: []string{"a", "b", "c"}[i%3], Slots: 6})
}

func (s *fixture) configuration() *route.Configuration {
	bounds := scaling(24)
	configuration, err := route.New(route.Definition{Version: 1,
		Routes:   []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.Batch, BatchDeadline: 7500 * time.Millisecond, Shares: []route.Share{{Service: "s", Weight: 1}}}},
		Services: map[string]route.Service{"s": {Name: "s", IsEngine: true, Slots: 6, Models: []string{"m"}, Scaling: &bounds}}})
	if err != nil {
		panic(err)
	}
	return configuration
}

func (s *fixture) start(ctx context.Context, logger *zap.Logger) *Manager {
	m := NewManager(Deps{Journal: s.log, Lease: s, Driver: s, Holder: "d", Table: s.table, List: s, Configuration: s.configuration, Demands: s.demands}, logger)
	go m.Run(ctx)
	return m
}

// runSynctest runs a test in a synctest bubble, with a context that ends with the test.
func runSynctest(t *testing.T, run func(is *is.I, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(is.New(t), t.Context())
	})
}

// totalDesired returns the number of replicas of all zones once the orders are carried out.
func totalDesired(orders []duty.FleetOrder) int {
	newest := map[string]int{"a": 3, "b": 3, "c": 3}
	for _, order := range orders {
		newest[order.Zone] = order.Desired
	}
	total := 0
	for _, desired := range newest {
		total += desired
	}
	return total
}

func TestReplicasAreOrderedForBatches(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		s := newFixture(240)
		core, logs := observer.New(zap.InfoLevel)
		s.start(ctx, zap.New(core))
		time.Sleep(5 * time.Second)
		is.Equal(totalDesired(s.placedOrders()), Need(Input{Slots: 6, Loads: loadsOf(240)}))
		for _, order := range s.placedOrders() {
			is.True(!order.Spot)
		}
		is.Equal(logs.FilterMessage("replicas ordered").Len(), len(s.placedOrders())) // one line per order
	})
}

// A new lease holder must not repeat the orders of the previous one, whether or not they have
// been carried out.
func TestSuccessorDoesNotRepeatOrders(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		s := newFixture(240)
		first, stop := context.WithCancel(ctx)
		s.start(first, zap.NewNop())
		time.Sleep(time.Second)
		stop()
		before := len(s.placedOrders())
		is.True(before > 0)
		s.start(ctx, zap.NewNop())
		time.Sleep(listSettleTime)
		is.Equal(len(s.placedOrders()), before)
	})
}

// Entries that expire in an outage of the journal must not cause orders: none before the list
// has settled, and none afterwards for fewer replicas than may be running.
func TestListOutageCausesNoOrders(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		s := newFixture(100) // needs no more than the nine replicas
		s.start(ctx, zap.NewNop())
		time.Sleep(10 * time.Second)
		is.Equal(len(s.placedOrders()), 0)
		s.set(func() { s.lastContact, s.held = time.Now(), false })
		time.Sleep(4 * time.Second)
		for i := range 9 {
			if i%3 == 2 || i < 3 {
				s.table.Remove(fmt.Sprint("r", i))
			}
		}
		s.set(func() { s.lastContact, s.held = time.Time{}, true })
		time.Sleep(listSettleTime - 2*planInterval)
		is.Equal(len(s.placedOrders()), 0)
		time.Sleep(time.Second)
		for _, order := range s.placedOrders() {
			is.True(order.Desired >= 3) // the missing replicas may be running
		}
	})
}

func TestFailedOrderIsRepeatedWithBackoff(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		s := newFixture(240)
		s.orderErr = duty.ErrThrottled
		m := s.start(ctx, zap.NewNop())
		time.Sleep(30 * time.Second)
		failed := len(s.placedOrders())
		is.True(failed >= 4)
		is.True(failed <= 24) // backed off
		is.Equal(m.OrdersAccepted.Load(), uint64(0))
		s.set(func() { s.orderErr = nil })
		// Shorter than the start time of a replica: no replica starts in this test, and after that
		// time other zones would be asked.
		time.Sleep(orderBackoff.Longest + 2*planInterval)
		is.Equal(totalDesired(s.placedOrders()), Need(Input{Slots: 6, Loads: loadsOf(240)}))
	})
}

func TestNothingIsOrderedWithoutTheLease(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		s := newFixture(240)
		s.held = false
		s.start(ctx, zap.NewNop())
		time.Sleep(20 * time.Second)
		is.Equal(len(s.placedOrders()), 0)
	})
}
