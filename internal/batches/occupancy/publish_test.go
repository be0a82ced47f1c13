package occupancy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock/clocktest"
)

// fleet is a set of daemons that call each other directly.
type fleet struct {
	identities []string
	mu         sync.Mutex
	// silent machines do not reply.
	silent   map[string]bool
	services map[string]*Service
	daemons  map[string]*owner
}

// Ask implements Peers.
func (f *fleet) Ask(ctx context.Context, machine, method string, args, reply any) error {
	f.mu.Lock()
	service, silent := f.services[machine], f.silent[machine]
	f.mu.Unlock()
	if silent || service == nil {
		<-ctx.Done()
		return errors.New("silent")
	}
	if method == askMethod {
		return service.Ask(struct{}{}, reply.(*Message))
	}
	return service.Tell(args.(Message), reply.(*Heard))
}

func (f *fleet) setSilent(machine string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[machine] = silent
}

// owner is one daemon of a fleet.
type owner struct {
	table     *Table
	publisher *Publisher
	mu        sync.Mutex
	state     Report
}

// set replaces the owner's counts and wakes its publisher.
func (o *owner) set(counts ...RequestCount) {
	o.mu.Lock()
	o.state.Counts = counts
	o.mu.Unlock()
	o.publisher.Wake()
}

// startDaemon starts an incarnation of the daemon on a machine, which replaces a former one for calls.
func (f *fleet) startDaemon(ctx context.Context, identity, machine string) *owner {
	clock := clocktest.New()
	o := &owner{table: NewTable(identity, clock.Now, zap.NewNop())}
	source := func() Report {
		o.mu.Lock()
		defer o.mu.Unlock()
		report := o.state
		report.Counts = append([]RequestCount(nil), report.Counts...)
		return report
	}
	candidates := func(context.Context) []string { return f.identities }
	o.publisher = NewPublisher(o.table, f, source, candidates, zap.NewNop())
	f.mu.Lock()
	f.services[machine], f.daemons[machine] = NewService(o.table, o.publisher, func() {}), o
	f.mu.Unlock()
	go o.publisher.Run(ctx)
	return o
}

// newFleet starts daemons d0, d1 and so on, all of which may be given batches.
func newFleet(ctx context.Context, count int) *fleet {
	f := &fleet{silent: map[string]bool{}, services: map[string]*Service{}, daemons: map[string]*owner{}}
	for i := range count {
		f.identities = append(f.identities, fmt.Sprintf("d%d/1", i))
	}
	for i, identity := range f.identities {
		f.startDaemon(ctx, identity, fmt.Sprintf("d%d", i))
	}
	return f
}

func withFleet(t *testing.T, count int, test func(is *is.I, ctx context.Context, daemons *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		test(is.New(t), ctx, newFleet(ctx, count))
	})
}

// Guards against reports that arrive late, that expire while unchanged, or that are sent by a
// daemon without requests.
func TestOwnersExchangeReports(t *testing.T) {
	withFleet(t, 3, func(is *is.I, _ context.Context, daemons *fleet) {
		a, b, c := daemons.daemons["d0"], daemons.daemons["d1"], daemons.daemons["d2"]
		time.Sleep(5 * time.Second)
		is.Equal(a.publisher.Stats().Sent+b.publisher.Stats().Sent, uint64(0))
		a.set(RequestCount{Replica: engine, Requests: 3})
		b.set(RequestCount{Replica: engine, Requests: 2}, RequestCount{Replica: engine + 1, Requests: 1})
		time.Sleep(2 * reportInterval)
		// A daemon without requests only learns which owners it could ask.
		is.Equal(c.table.InFlight(engine), 0)
		is.Equal(c.table.Stats().Expired, uint64(0))
		is.Equal(len(c.table.Owners()), 2)
		is.Equal(a.table.InFlight(engine+1), 1)
		c.set(RequestCount{Replica: engine, Requests: 4})
		time.Sleep(2 * reportInterval)
		is.Equal(c.table.InFlight(engine), 5)
		is.Equal(b.table.InFlight(engine), 7)
		c.set()
		a.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(2 * reportInterval)
		is.Equal(b.table.InFlight(engine), 1)
		// Unchanged reports are repeated and do not expire.
		time.Sleep(10 * reportTTL)
		is.Equal(b.table.InFlight(engine), 1)
		is.Equal(b.table.Stats().Expired, uint64(0))
		a.set()
		time.Sleep(2 * reportInterval)
		is.Equal(b.table.InFlight(engine), 0)
		sent := a.publisher.Stats().Sent
		time.Sleep(10 * time.Second)
		is.Equal(a.publisher.Stats().Sent, sent)
	})
}

// Guards against an owner that has no reports of others at the start of its next batch. After
// lingerTime it only knows which owners it could ask.
func TestOwnerBetweenBatchesStillGetsReports(t *testing.T) {
	withFleet(t, 2, func(is *is.I, _ context.Context, daemons *fleet) {
		a, b := daemons.daemons["d0"], daemons.daemons["d1"]
		a.set(RequestCount{Replica: engine, Requests: 3})
		b.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(time.Second)
		b.set()
		for range 4 {
			time.Sleep(lingerTime / 5)
			is.Equal(b.table.InFlight(engine), 3)
		}
		time.Sleep(lingerTime)
		is.Equal(b.table.InFlight(engine), 0)
		is.Equal(b.table.Owners(), []string{"d0"})
	})
}

// Guards against an unresponsive peer that delays reports to others or accumulates calls.
func TestUnresponsivePeerDelaysNoOther(t *testing.T) {
	withFleet(t, 3, func(is *is.I, _ context.Context, daemons *fleet) {
		a, b, c := daemons.daemons["d0"], daemons.daemons["d1"], daemons.daemons["d2"]
		b.set(RequestCount{Replica: engine, Requests: 1})
		c.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(time.Second)
		daemons.setSilent("d1", true)
		for number := range uint32(40) {
			a.set(RequestCount{Replica: engine, Requests: number + 1})
			time.Sleep(reportInterval)
			is.True(c.table.InFlight(engine) >= int(number)) // at most one interval behind
		}
		time.Sleep(reportInterval)
		totals := a.publisher.Stats()
		is.True(totals.Failed >= 2)
		is.True(totals.Failed <= uint64(40*reportInterval/callTimeout)+1)
		daemons.setSilent("d1", false)
		time.Sleep(3 * time.Second)
		is.Equal(b.table.InFlight(engine), 41)
	})
}

// A restarted peer lacks the base of deltas and must get a full report.
func TestRestartedPeerGetsFullReport(t *testing.T) {
	withFleet(t, 2, func(is *is.I, ctx context.Context, daemons *fleet) {
		a, b := daemons.daemons["d0"], daemons.daemons["d1"]
		b.set(RequestCount{Replica: engine, Requests: 1})
		a.set(RequestCount{Replica: engine, Requests: 3}, RequestCount{Replica: engine + 1, Requests: 1})
		time.Sleep(time.Second)
		restarted := daemons.startDaemon(ctx, "d1/2", "d1")
		restarted.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(2 * repeatInterval)
		is.Equal(restarted.table.InFlight(engine), 3)
		is.Equal(restarted.table.InFlight(engine+1), 1)
	})
}

// Guards against a new owner that starts without the other owners' reports and event times.
func TestNewOwnerAdoptsSnapshot(t *testing.T) {
	withFleet(t, 4, func(is *is.I, _ context.Context, daemons *fleet) {
		a, b, c := daemons.daemons["d0"], daemons.daemons["d1"], daemons.daemons["d2"]
		a.table.Adopt(Snapshot{Measurements: []Measurement{NewMeasurement(engine+9, 20*time.Millisecond, 0)}})
		a.set(RequestCount{Replica: engine, Requests: 3})
		b.set(RequestCount{Replica: engine, Requests: 2})
		time.Sleep(2 * time.Second)
		daemons.setSilent("d3", true)
		eventTime, _ := c.table.EventTime(engine + 9)
		is.Equal(eventTime, time.Duration(0)) // event times measured by others are sent only on request
		c.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(time.Millisecond)
		is.Equal(c.table.InFlight(engine), 5)
		eventTime, _ = c.table.EventTime(engine + 9)
		is.Equal(eventTime, 20*time.Millisecond)
	})
}

// Guards against traffic and calls that grow with the number of owners or with the rate of
// changes.
func TestTrafficIsBounded(t *testing.T) {
	for _, owners := range []int{4, 18, 100} {
		withFleet(t, owners, func(is *is.I, _ context.Context, daemons *fleet) {
			const engines, duration, perSecond = 45, 10 * time.Second, 20
			for step := range uint32(duration.Seconds() * perSecond) {
				for i := range uint32(owners) {
					if i > 0 && step > 0 && step%perSecond > 0 {
						continue // one owner's requests change in every step, the others' once a second
					}
					var counts []RequestCount
					for at := range uint32(engines) {
						requests := uint32(8/owners) + (at+i+step)/engines%2
						if (at+i)%uint32(owners) >= 8 {
							requests = 0
						}
						counts = append(counts, RequestCount{Replica: Key(at * 0x9e3779b1), Requests: requests})
					}
					daemons.daemons[fmt.Sprintf("d%d", i)].set(counts...)
				}
				time.Sleep(time.Second / perSecond)
			}
			totals := daemons.daemons["d0"].publisher.Stats()
			is.True(float64(totals.Bytes) <= 1.2*maxBytesPerSecond*duration.Seconds()) // the first reports are no deltas
			perPeer := float64(totals.Sent) / duration.Seconds() / float64(owners-1)
			is.True(perPeer <= 1.1/reportInterval.Seconds())
			t.Logf("%d owners: %.0f bytes per second, %.2f reports per second to each peer, %.0f bytes per report",
				owners, float64(totals.Bytes)/duration.Seconds(), perPeer, float64(totals.Bytes)/float64(totals.Sent))
		})
	}
}
