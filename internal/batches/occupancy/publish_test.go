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

// fleet are daemons that call each other at once.
type fleet struct {
	identities []string
	mu         sync.Mutex
	// silent machines answer nothing.
	silent   map[string]bool
	services map[string]*Service
	daemons  map[string]*owner
}

// Ask implements Peers.
func (f *fleet) Ask(ctx context.Context, machine, method string, asked, answer any) error {
	f.mu.Lock()
	service, silent := f.services[machine], f.silent[machine]
	f.mu.Unlock()
	if silent || service == nil {
		<-ctx.Done()
		return errors.New("silent")
	}
	if method == askMethod {
		return service.Ask(struct{}{}, answer.(*Message))
	}
	return service.Tell(asked.(Message), answer.(*Heard))
}

func (f *fleet) setSilent(machine string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[machine] = silent
}

// owner is a daemon of a fleet.
type owner struct {
	table     *Table
	publisher *Publisher
	mu        sync.Mutex
	state     Report
}

func (o *owner) set(counts ...RequestCount) {
	o.mu.Lock()
	o.state.Counts = counts
	o.mu.Unlock()
	o.publisher.Wake()
}

func (f *fleet) startDaemon(ctx context.Context, run, machine string) *owner {
	clock := clocktest.New()
	o := &owner{table: NewTable(run, clock.Now, zap.NewNop())}
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

// newFleet starts daemons d0, d1 and so on, to all of which batches may be dealt.
func newFleet(ctx context.Context, count int) *fleet {
	f := &fleet{silent: map[string]bool{}, services: map[string]*Service{}, daemons: map[string]*owner{}}
	for i := range count {
		f.identities = append(f.identities, fmt.Sprintf("d%d/1", i))
	}
	for i, run := range f.identities {
		f.startDaemon(ctx, run, fmt.Sprintf("d%d", i))
	}
	return f
}

func withFleet(t *testing.T, count int, test func(is *is.I, ctx context.Context, daemons *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		test(is.New(t), ctx, newFleet(ctx, count))
	})
}

// What an owner starts is known to the others at once, and what has ended is known within two
// intervals; one that has nothing tells nothing, and is heard no more.
func TestOwnersExchangeReports(t *testing.T) {
	withFleet(t, 3, func(is *is.I, _ context.Context, daemons *fleet) {
		a, b, c := daemons.daemons["d0"], daemons.daemons["d1"], daemons.daemons["d2"]
		time.Sleep(5 * time.Second)
		is.Equal(a.publisher.Stats().Sent+b.publisher.Stats().Sent, uint64(0))
		a.set(RequestCount{Replica: engine, Requests: 3})
		b.set(RequestCount{Replica: engine, Requests: 2}, RequestCount{Replica: engine + 1, Requests: 1})
		time.Sleep(2 * reportInterval)
		// One that has nothing only knows whom to ask.
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
		// Nothing changes, and what was told holds all the same.
		time.Sleep(10 * reportTTL)
		is.Equal(b.table.InFlight(engine), 1)
		is.Equal(b.table.Stats().Expired, uint64(0))
		a.set()
		time.Sleep(2 * reportInterval)
		is.Equal(b.table.InFlight(engine), 0)
		told := a.publisher.Stats().Sent
		time.Sleep(10 * time.Second)
		is.Equal(a.publisher.Stats().Sent, told)
	})
}

// An owner between two batches hears on, so that the next burst doesn't begin blind. After
// lingerTime it only knows whom to ask.
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

// A peer that answers nothing holds up nobody, and has no more than one call at a time.
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
			is.True(c.table.InFlight(engine) >= int(number)) // one interval behind at most, c's count left out
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

// A peer that was restarted lacks what changes are based on: it gets the whole.
func TestRestartedPeerGetsFullReport(t *testing.T) {
	withFleet(t, 2, func(is *is.I, ctx context.Context, daemons *fleet) {
		a, b := daemons.daemons["d0"], daemons.daemons["d1"]
		b.set(RequestCount{Replica: engine, Requests: 1})
		a.set(RequestCount{Replica: engine, Requests: 3}, RequestCount{Replica: engine + 1, Requests: 1})
		time.Sleep(time.Second)
		again := daemons.startDaemon(ctx, "d1/2", "d1")
		again.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(2 * repeatInterval)
		is.Equal(again.table.InFlight(engine), 3)
		is.Equal(again.table.InFlight(engine+1), 1)
	})
}

// A daemon that becomes an owner knows at once what the owners before it do, paces also of
// replicas that nobody uses now.
func TestNewOwnerAdoptsSnapshot(t *testing.T) {
	withFleet(t, 4, func(is *is.I, _ context.Context, daemons *fleet) {
		a, b, c := daemons.daemons["d0"], daemons.daemons["d1"], daemons.daemons["d2"]
		a.table.Adopt(Snapshot{Measurements: []Measurement{NewMeasurement(engine+9, 20*time.Millisecond, 0)}})
		a.set(RequestCount{Replica: engine, Requests: 3})
		b.set(RequestCount{Replica: engine, Requests: 2})
		time.Sleep(2 * time.Second)
		daemons.setSilent("d3", true)
		pace, _ := c.table.EventTime(engine + 9)
		is.Equal(pace, time.Duration(0)) // hearsay is not told unasked
		c.set(RequestCount{Replica: engine, Requests: 1})
		time.Sleep(time.Millisecond)
		is.Equal(c.table.InFlight(engine), 5)
		pace, _ = c.table.EventTime(engine + 9)
		is.Equal(pace, 20*time.Millisecond)
	})
}

// However many owners there are and however often their requests change, what a daemon sends
// stays within its bound, and so does its number of calls. The log tells how often each other
// owner hears of it.
func TestTrafficIsBounded(t *testing.T) {
	for _, owners := range []int{4, 18, 100} {
		withFleet(t, owners, func(is *is.I, _ context.Context, daemons *fleet) {
			const engines, over, perSecond = 45, 10 * time.Second, 20
			for step := range uint32(over.Seconds() * perSecond) {
				for i := range uint32(owners) {
					if i > 0 && step > 0 && step%perSecond > 0 {
						continue // one owner's requests change all the time, the others' now and then
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
			is.True(float64(totals.Bytes) <= 1.2*maxBytesPerSecond*over.Seconds()) // a first round is whole
			perPeer := float64(totals.Sent) / over.Seconds() / float64(owners-1)
			is.True(perPeer <= 1.1/reportInterval.Seconds())
			t.Logf("%d owners: %.0f bytes a second, %.2f reports a second to each other one, %.0f bytes each", owners,
				float64(totals.Bytes)/over.Seconds(), perPeer, float64(totals.Bytes)/float64(totals.Sent))
		})
	}
}
