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

// contactBound is within which time all daemons must know what one has learned.
const contactBound = 3 * time.Second

// callTime is how long a call to a peer takes, hangTime one to a peer that is cut off.
const callTime, hangTime = 2 * time.Millisecond, 700 * time.Millisecond

// fleet is some daemons that tell each other in memory, before one journal.
type fleet struct {
	log   *journaltest.Journal
	ctx   context.Context
	clock func() time.Time

	mu      sync.Mutex
	daemons map[string]*daemon
	calls   int
}

// daemon is one of a fleet, with all that belongs to the package.
type daemon struct {
	fleet *fleet
	name  string
	table *Table
	stop  context.CancelFunc
	// alone daemons reach no peer, and none reaches them.
	alone bool
}

func newFleet(ctx context.Context) *fleet {
	return &fleet{log: journaltest.New(), ctx: ctx, clock: time.Now, daemons: map[string]*daemon{}}
}

// start starts a daemon. Without peers it has the journal alone.
func (f *fleet) start(name string, peers bool) *daemon {
	ctx, cancel := context.WithCancel(f.ctx)
	d := &daemon{fleet: f, name: name, table: New(name, f.clock, zap.NewNop()), stop: cancel}
	f.mu.Lock()
	f.daemons[name] = d
	f.mu.Unlock()
	keeper := NewRecorder(d.table, f.log, peers, zap.NewNop())
	go keeper.Run(ctx)
	go journal.NewKeyedFollower(f.log, Partition, keeper, contactBound, zap.NewNop()).Run(ctx)
	if peers {
		go NewGossiper(d.table, d, zap.NewNop()).Run(ctx)
	}
	return d
}

func (f *fleet) startAll(count int, peers bool) []*daemon {
	var started []*daemon
	for i := range count {
		started = append(started, f.start(fmt.Sprintf("d%03d", i), peers))
	}
	synctest.Wait()
	return started
}

// Neighbours implements Neighbours as package relay does.
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
	cut := to == nil || to.alone || d.alone
	d.fleet.calls++
	d.fleet.mu.Unlock()
	if cut {
		time.Sleep(hangTime)
		return errors.New("no answer")
	}
	time.Sleep(callTime)
	return NewService(to.table).Tell(asked.(Told), answer.(*int))
}

func (d *daemon) cutOff(cut bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.alone = cut
}

// made is how many calls daemons made to each other.
func (f *fleet) made() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// forget drops the daemons, which have stopped.
func (f *fleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = map[string]*daemon{}
}

var poison = contentNamed("poison")

// end has three daemons see a replica end under the content, one each.
func end(daemons ...*daemon) {
	for i, s := range daemons {
		s.table.ReplicaEnded(poison, fmt.Sprint("replica-", i), "s")
	}
}

// knowing returns how many of the daemons refuse the content.
func knowing(daemons []*daemon) int {
	count := 0
	for _, s := range daemons {
		if s.table.Suspicion(poison) == Quarantined {
			count++
		}
	}
	return count
}

// Three daemons each see one end; none of them alone could tell.
func TestAllDaemonsKnowWithinTheContactBound(t *testing.T) {
	for _, c := range []struct {
		name string
		// peers says that daemons tell each other, outage that the journal is away.
		peers, outage bool
		daemons       int
		// mostCalls bounds calls between peers.
		mostCalls int
	}{
		{"peers", true, false, 12, 300},
		{"peers, no journal", true, true, 12, 300},
		{"peers, no journal, many", true, true, 770, 25_000},
		{"journal alone", false, false, 12, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx)
				daemons := f.startAll(c.daemons, c.peers)
				if c.outage {
					f.log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
				}
				began := time.Now()
				end(daemons[0], daemons[c.daemons/2], daemons[c.daemons-1])
				for knowing(daemons) < len(daemons) && time.Since(began) <= contactBound {
					time.Sleep(time.Millisecond)
				}
				is.Equal(knowing(daemons), len(daemons))
				is.True(f.made() <= c.mostCalls)
				t.Logf("%d daemons know after %v, %d calls between peers", len(daemons), time.Since(began), f.made())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A daemon that reached nobody learns of the refusal once it is back, and one that starts
// after all that knew have gone learns of it from the journal.
func TestARefusalOutlastsCutsAndProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(6, true)
		f.log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
		daemons[2].cutOff(true)
		end(daemons[0], daemons[1], daemons[3])
		time.Sleep(contactBound)
		is.Equal(knowing(daemons), len(daemons)-1)
		daemons[2].cutOff(false)
		time.Sleep(contactBound)
		is.Equal(knowing(daemons), len(daemons))
		f.log.SetBefall(nil)
		time.Sleep(contactBound)
		for _, s := range daemons {
			s.stop()
		}
		synctest.Wait()
		f.forget()
		again := f.startAll(6, true)
		time.Sleep(contactBound / 10)
		is.Equal(knowing(again), len(again))
		// An operator lifts it at one daemon, and all do, also those that start later.
		is.True(again[4].table.Lift(poison.Digest()))
		time.Sleep(contactBound)
		is.Equal(knowing(again), 0)
		late := f.start("late", true)
		time.Sleep(contactBound)
		is.Equal(knowing([]*daemon{late}), 0)
		is.Equal(knowing(again), 0)
		cancel()
		synctest.Wait()
	})
}

// A bystander of an end is answered soon after: the journal is written nothing for it.
func TestNothingIsWrittenForABystander(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(3, true)
		end(daemons[0], daemons[1])
		time.Sleep(suspectRecordDelay / 2)
		daemons[2].table.Answered(poison)
		time.Sleep(contactBound)
		is.Equal(len(f.log.Records(Partition)), 0)
		for _, s := range daemons {
			is.True(s.table.NoneSuspected())
		}
		cancel()
		synctest.Wait()
	})
}

// All machines lose power between the second end and the third. Each end that was forgotten
// with them cost one replica more.
func TestEndsOutlastAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(3, true)
		end(daemons[0], daemons[1])
		time.Sleep(2 * suspectRecordDelay)
		for _, s := range daemons {
			s.stop()
		}
		synctest.Wait()
		f.forget()
		again := f.startAll(3, true)
		for _, s := range again {
			is.Equal(s.table.Suspicion(poison), IsolatedOnly)
		}
		again[2].table.ReplicaEnded(poison, "one-more", "s")
		time.Sleep(contactBound)
		is.Equal(knowing(again), len(again))
		// What is answered is dropped from the journal, for all that start later.
		again[0].table.Answered(poison)
		time.Sleep(contactBound)
		late := f.start("late", true)
		synctest.Wait()
		is.True(late.table.NoneSuspected())
		cancel()
		synctest.Wait()
	})
}

// In an outage of the journal each daemon that has something to write tries once a second;
// nothing is asked of it where there is nothing to write.
func TestAnOutageOfTheJournalIsNotPressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx)
		daemons := f.startAll(3, true)
		var appends atomic.Int64
		f.log.SetBefall(func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Append {
				appends.Add(1)
			}
			return journaltest.Refuse
		})
		time.Sleep(10 * time.Second)
		is.Equal(appends.Load(), int64(0))
		end(daemons...)
		time.Sleep(10 * time.Second)
		is.True(appends.Load() >= 10)
		is.True(appends.Load() <= 3*11)
		f.log.SetBefall(nil)
		time.Sleep(2 * writeRetryDelay)
		is.True(len(f.log.Records(Partition)) > 0)
		cancel()
		synctest.Wait()
	})
}
