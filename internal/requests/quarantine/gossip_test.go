package quarantine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// maxPropagation is the time within which all daemons must learn what one daemon knows.
const maxPropagation = 3 * time.Second

// callDuration is the duration of a call to a peer, and hangDuration the duration of a call that
// gets no answer.
const callDuration, hangDuration = 2 * time.Millisecond, 700 * time.Millisecond

// fleet is a set of daemons connected in memory that share one journal.
type fleet struct {
	log   *journaltest.Journal
	ctx   context.Context
	clock func() time.Time

	mu      sync.Mutex
	daemons map[string]*daemon
	calls   int
}

// daemon is one member of a fleet, with the table and the goroutines of this package.
type daemon struct {
	fleet *fleet
	name  string
	table *Table
	stop  context.CancelFunc
	// isCutOff means that the daemon neither reaches a peer nor is reached by one.
	isCutOff bool
}

func newFleet(ctx context.Context) *fleet {
	return &fleet{log: journaltest.New(), ctx: ctx, clock: time.Now, daemons: map[string]*daemon{}}
}

// start starts a daemon. If peers is false, the daemon is connected to the journal only.
func (f *fleet) start(name string, peers bool) *daemon {
	ctx, cancel := context.WithCancel(f.ctx)
	d := &daemon{fleet: f, name: name, table: New(name, f.clock, zap.NewNop()), stop: cancel}
	f.mu.Lock()
	f.daemons[name] = d
	f.mu.Unlock()
	recorder := NewRecorder(d.table, f.log, peers, zap.NewNop())
	go recorder.Run(ctx)
	go journal.NewKeyedFollower(f.log, Partition, recorder, maxPropagation, zap.NewNop()).Run(ctx)
	if peers {
		go NewGossiper(d.table, d, zap.NewNop()).Run(ctx)
	}
	return d
}

// startAll starts count daemons and waits until they are idle.
func (f *fleet) startAll(count int, peers bool) []*daemon {
	var started []*daemon
	for i := range count {
		started = append(started, f.start(fmt.Sprintf("d%03d", i), peers))
	}
	synctest.Wait()
	return started
}

// Neighbours implements Neighbours with the topology of package relay.
func (d *daemon) Neighbours() []string {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var names []string
	for name := range d.fleet.daemons {
		if name != d.name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	own, _ := slices.BinarySearch(names, d.name)
	var chosen []string
	for ahead := 1; ahead <= len(names); ahead *= 2 {
		chosen = append(chosen, names[(own+ahead-1)%len(names)])
	}
	return chosen
}

// Ask implements Neighbours.
func (d *daemon) Ask(ctx context.Context, machine, _ string, asked, answer any) error {
	d.fleet.mu.Lock()
	to := d.fleet.daemons[machine]
	cut := to == nil || to.isCutOff || d.isCutOff
	d.fleet.calls++
	d.fleet.mu.Unlock()
	if cut {
		time.Sleep(hangDuration)
		return errors.New("no answer")
	}
	time.Sleep(callDuration)
	return NewService(to.table).Tell(asked.(Told), answer.(*int))
}

func (d *daemon) cutOff(cut bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.isCutOff = cut
}

// callCount returns the number of calls that daemons made to each other.
func (f *fleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// removeAll removes the daemons from the fleet. They must have been stopped.
func (f *fleet) removeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = map[string]*daemon{}
}

var poison = contentNamed("poison")

// endReplicas makes each daemon observe the end of a different replica under the content.
func endReplicas(daemons ...*daemon) {
	for i, s := range daemons {
		s.table.ReplicaEnded(poison, fmt.Sprint("replica-", i), "s")
	}
}

// countRefusing returns the number of daemons that refuse the content.
func countRefusing(daemons []*daemon) int {
	count := 0
	for _, s := range daemons {
		if s.table.Suspicion(poison) == Quarantined {
			count++
		}
	}
	return count
}

// Guards against ends that different daemons observe and that do not add up in time at every
// daemon.
func TestRefusalReachesAllDaemons(t *testing.T) {
	for _, c := range []struct {
		name string
		// peers connects the daemons to each other; outage makes the journal unavailable.
		peers, outage bool
		daemons       int
		// maxCalls bounds the calls between peers.
		maxCalls int
	}{
		{"peers", true, false, 12, 300},
		{"peers, no journal", true, true, 12, 300},
		{"peers, no journal, many", true, true, 770, 25_000},
		{"journal only", false, false, 12, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx)
				daemons := f.startAll(c.daemons, c.peers)
				if c.outage {
					f.log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
				}
				startedAt := time.Now()
				endReplicas(daemons[0], daemons[c.daemons/2], daemons[c.daemons-1])
				for countRefusing(daemons) < len(daemons) && time.Since(startedAt) <= maxPropagation {
					time.Sleep(time.Millisecond)
				}
				is.Equal(countRefusing(daemons), len(daemons))
				is.True(f.callCount() <= c.maxCalls)
				t.Logf("%d daemons refuse the content after %v, with %d calls between peers", len(daemons), time.Since(startedAt), f.callCount())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a refusal that does not reach a daemon that was cut off, or is lost when all
// daemons restart.
func TestRefusalSurvivesPartitionsAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(6, true)
		f.log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
		daemons[2].cutOff(true)
		endReplicas(daemons[0], daemons[1], daemons[3])
		time.Sleep(maxPropagation)
		is.Equal(countRefusing(daemons), len(daemons)-1)
		daemons[2].cutOff(false)
		time.Sleep(maxPropagation)
		is.Equal(countRefusing(daemons), len(daemons))
		f.log.SetFault(nil)
		time.Sleep(maxPropagation)
		for _, s := range daemons {
			s.stop()
		}
		synctest.Wait()
		f.removeAll()
		again := f.startAll(6, true)
		time.Sleep(maxPropagation / 10)
		is.Equal(countRefusing(again), len(again))
		// A refusal lifted at one daemon is lifted at all daemons, including those started
		// later.
		is.True(again[4].table.Lift(poison.Digest()))
		time.Sleep(maxPropagation)
		is.Equal(countRefusing(again), 0)
		late := f.start("late", true)
		time.Sleep(maxPropagation)
		is.Equal(countRefusing([]*daemon{late}), 0)
		is.Equal(countRefusing(again), 0)
		cancel()
		synctest.Wait()
	})
}

// Guards against journal writes for a content that is answered soon after an end.
func TestHarmlessContentIsNotJournaled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(3, true)
		endReplicas(daemons[0], daemons[1])
		time.Sleep(suspectRecordDelay / 2)
		daemons[2].table.Answered(poison)
		time.Sleep(maxPropagation)
		is.Equal(len(f.log.Records(Partition)), 0)
		for _, s := range daemons {
			is.True(s.table.NoneSuspected())
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against the loss of counted ends when all machines lose power before the third end.
func TestEndsSurviveRestartOfAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(3, true)
		endReplicas(daemons[0], daemons[1])
		time.Sleep(2 * suspectRecordDelay)
		for _, s := range daemons {
			s.stop()
		}
		synctest.Wait()
		f.removeAll()
		again := f.startAll(3, true)
		for _, s := range again {
			is.Equal(s.table.Suspicion(poison), IsolatedOnly)
		}
		again[2].table.ReplicaEnded(poison, "one-more", "s")
		time.Sleep(maxPropagation)
		is.Equal(countRefusing(again), len(again))
		// An answered content is deleted from the journal, also for daemons started later.
		again[0].table.Answered(poison)
		time.Sleep(maxPropagation)
		late := f.start("late", true)
		synctest.Wait()
		is.True(late.table.NoneSuspected())
		cancel()
		synctest.Wait()
	})
}

// Guards against more than one append per second from each daemon during an outage of the
// journal, and against any append when there is nothing to write.
func TestJournalOutageLimitsAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(3, true)
		var appends atomic.Int64
		f.log.SetFault(func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Append {
				appends.Add(1)
			}
			return journaltest.Refuse
		})
		time.Sleep(10 * time.Second)
		is.Equal(appends.Load(), int64(0))
		endReplicas(daemons...)
		time.Sleep(10 * time.Second)
		is.True(appends.Load() >= 10)
		is.True(appends.Load() <= 3*11)
		f.log.SetFault(nil)
		time.Sleep(2 * writeRetryDelay)
		is.True(len(f.log.Records(Partition)) > 0)
		cancel()
		synctest.Wait()
	})
}

// Guards against a daemon that becomes known after an end and is never told of it, while the store
// is away.
func TestANewNeighbourIsToldWhatIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		f.log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
		first := f.start("a", true)
		synctest.Wait()
		suspected := &Content{Method: "POST", Target: "/x", Body: []byte("ends its replica")}
		for i := range minEndsToRefuse {
			first.table.ReplicaEnded(suspected, fmt.Sprintf("r%d@1", i), "s")
		}
		time.Sleep(time.Second)
		second := f.start("b", true)
		time.Sleep(maxPropagation)
		is.Equal(second.table.Suspicion(suspected), Quarantined)
	})
}
