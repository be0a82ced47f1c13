package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

func init() { testseed.Fix() }

const (
	quietPeriod = 3 * time.Second
	// actInterval is the time between two acts of a holder in these tests.
	actInterval = 70 * time.Millisecond
)

var dutyPartition = journal.Partition{Topic: "duty"}

// act is one call that a daemon made under the lease.
type act struct {
	machine string
	fence   int64
	at      time.Time
}

// history collects the acts of all daemons, ordered by time.
type history struct {
	mu   sync.Mutex
	acts []act
}

func (h *history) add(a act) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acts = append(h.acts, a)
}

// check returns an error if a fence is lower than an earlier one, if acts of two machines have
// the same fence, or if an act comes within the quiet period after the last act of another
// machine.
func (h *history) check() error {
	holders := map[int64]string{}
	for i, a := range h.acts {
		if holder, used := holders[a.fence]; used && holder != a.machine {
			return fmt.Errorf("fence %d was used by %s and %s", a.fence, holder, a.machine)
		}
		holders[a.fence] = a.machine
		if i == 0 {
			continue
		}
		before := h.acts[i-1]
		if a.fence < before.fence {
			return fmt.Errorf("fence %d of %s used after fence %d of %s", a.fence, a.machine, before.fence, before.machine)
		}
		if before.machine != a.machine && a.at.Sub(before.at) < quietPeriod {
			return fmt.Errorf("%s acted only %v after %s", a.machine, a.at.Sub(before.at), before.machine)
		}
	}
	return nil
}

// daemon is one incarnation of a daemon. It acts every actInterval while the lease allows it.
type daemon struct {
	lease *Lease
	clock *clocktest.Clock
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// start starts a daemon that is no candidate.
func start(ctx context.Context, log journal.Journal, machine string, number int, acts *history) *daemon {
	return startDaemon(ctx, log, machine, number, acts, false)
}

// startDaemon starts a daemon, as a candidate or not. A daemon that becomes a candidate later
// starts to watch the partition within renewInterval.
func startDaemon(ctx context.Context, log journal.Journal, machine string, number int, acts *history, candidate bool) *daemon {
	bounded, cancel := context.WithCancel(ctx)
	started := &daemon{lease: New(log, dutyPartition, fmt.Sprintf("%s/%d", machine, number), quietPeriod, zap.NewNop()), stop: cancel, clock: clocktest.New()}
	started.lease.SetClock(started.clock.Now)
	started.lease.SetCandidate(candidate)
	started.done.Add(2)
	go func() {
		defer started.done.Done()
		started.lease.Run(bounded)
	}()
	go func() {
		defer started.done.Done()
		for bounded.Err() == nil {
			if fence, _, ok := started.lease.Fence(); ok {
				acts.add(act{machine: machine, fence: fence, at: time.Now()})
			}
			time.Sleep(actInterval)
		}
	}()
	return started
}

// kill stops the daemon without a resignation and waits for its end.
func (d *daemon) kill() {
	d.stop()
	d.done.Wait()
}

// Two holders must not act within the quiet period, whatever the faults: kills, restarts, changing
// candidates, and journal calls that hang, are refused, lose their answer or take effect late.
func TestHoldersNeverActConcurrently(t *testing.T) {
	totalActs := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 10, 30).Draw(rt, "steps")
		faults := rapid.SliceOfN(rapid.IntRange(0, 19), 200, 200).Draw(rt, "faults")
		var failure error
		acted := 0
		synctest.Test(t, func(t *testing.T) {
			acts := &history{}
			log := journaltest.New()
			var mu sync.Mutex
			calls := 0
			log.FaultFunc = func(journaltest.Call) journaltest.Fault {
				mu.Lock()
				defer mu.Unlock()
				calls++
				return faultOf(faults[calls%len(faults)])
			}
			ctx, cancel := context.WithCancel(t.Context())
			daemons := map[string]*daemon{}
			for i, step := range steps {
				machine := string(rune('a' + step%3))
				switch {
				case daemons[machine] == nil:
					daemons[machine] = start(ctx, log, machine, i, acts)
					daemons[machine].lease.SetCandidate(step%2 == 0)
				case step < 30:
					daemons[machine].kill()
					delete(daemons, machine)
				case step < 40:
					daemons[machine].lease.Resign(ctx)
				case step < 70:
					daemons[machine].lease.SetCandidate(step%2 == 0)
				}
				time.Sleep(time.Duration(step) * 60 * time.Millisecond)
				log.ApplyDelayed()
			}
			cancel()
			for _, d := range daemons {
				d.done.Wait()
			}
			failure = acts.check()
			acted = len(acts.acts)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
		totalActs += acted
	})
	if totalActs < minActs {
		t.Fatalf("only %d acts were checked", totalActs)
	}
}

// minActs is the least number of acts in all sequences together, so that the test can't pass
// without any acts.
const minActs = 1000

// faultOf maps a number from 0 to 19 to a fault, so that a quarter of the calls fail.
func faultOf(drawn int) journaltest.Fault {
	switch drawn {
	case 0:
		return journaltest.Refuse
	case 1:
		return journaltest.Hang
	case 2, 3:
		return journaltest.LoseAnswer
	case 4:
		return journaltest.Delay
	default:
		return journaltest.None
	}
}

func mayAct(d *daemon) bool {
	_, _, ok := d.lease.Fence()
	return ok
}

// runElection runs a test of daemons that share a journal, and checks their acts at the end.
func runElection(t *testing.T, test func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log, acts := journaltest.New(), &history{}
		test(ctx, is, log, acts)
		is.NoErr(acts.check())
	})
}

func TestFirstHolderActsAtOnceAndItsMachineReclaims(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		is.True(mayAct(first))
		first.kill()
		other := startDaemon(ctx, log, "b", 1, acts, true)
		again := start(ctx, log, "a", 2, acts)
		time.Sleep(time.Second)
		is.True(mayAct(again))
		is.True(!mayAct(other))
		again.kill()
		time.Sleep(Duration + safetyMargin + quietPeriod + time.Second)
		is.True(mayAct(other))
		other.kill()
	})
}

// A successor must not claim the lease of a holder that returns before the quiet period ends:
// the successor could not have acted yet, and the holder would have to wait.
func TestHolderThatRestartsSoonKeepsLease(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		is.True(mayAct(first))
		other := startDaemon(ctx, log, "b", 1, acts, true)
		time.Sleep(time.Second)
		first.kill()
		time.Sleep(Duration + safetyMargin + quietPeriod/2)
		again := start(ctx, log, "a", 2, acts)
		time.Sleep(200 * time.Millisecond)
		is.True(mayAct(again))
		is.True(!other.lease.Held())
		again.kill()
		other.kill()
	})
}

// A candidate that watches the partition acts as soon as the lease has expired and the quiet
// period is over. That the candidate claims the lease late must not delay its acts.
func TestStandbyActsOnceQuietPeriodEnds(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		other := startDaemon(ctx, log, "b", 1, acts, true)
		time.Sleep(2 * time.Second)
		gone, standby := first, other
		if mayAct(other) {
			gone, standby = other, first
		}
		is.True(mayAct(gone))
		gone.kill()
		time.Sleep(Duration + safetyMargin + quietPeriod + 50*time.Millisecond)
		is.True(mayAct(standby))
		standby.kill()
	})
}

// An incarnation that claims the lease in the quiet period after another holder, and is killed
// before that period ends, must not let the next incarnation on its machine act early, although
// the last record is of their machine.
func TestReclaimWaitsForQuietPeriod(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		first.kill()
		second := startDaemon(ctx, log, "b", 1, acts, true)
		time.Sleep(Duration + safetyMargin + quietPeriod - claimLead/2)
		is.True(second.lease.Held())
		is.True(!mayAct(second))
		second.kill()
		third := start(ctx, log, "b", 2, acts)
		time.Sleep(time.Second)
		is.True(!mayAct(third))
		time.Sleep(Duration + safetyMargin + quietPeriod)
		is.True(mayAct(third))
		third.kill()
	})
}

// A restarted daemon must have its lease back at once. If a successor took it, no daemon could act
// for the quiet period.
func TestMachineReclaimsLeaseItResigned(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		other := startDaemon(ctx, log, "b", 1, acts, true)
		first.lease.Withdraw(ctx)
		time.Sleep(3 * time.Second)
		is.True(mayAct(first)) // a withdrawn holder acts until it resigns
		first.lease.Resign(ctx)
		is.True(!mayAct(first))
		first.kill()
		time.Sleep(500 * time.Millisecond)
		again := start(ctx, log, "a", 2, acts)
		time.Sleep(200 * time.Millisecond)
		is.True(mayAct(again))
		is.True(!other.lease.Held())
		again.kill()
		other.kill()
	})
}

// A successor acts as soon as the quiet period after a resignation is over, even if a renewal with
// a lost answer made the first resignation fail.
func TestSuccessorActsAfterResignation(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		other := startDaemon(ctx, log, "b", 1, acts, true)
		// This time is halfway between two renewals of the holder, so that the renewal appended
		// here doesn't conflict with them.
		time.Sleep(time.Second + renewInterval/2)
		first.lease.mu.Lock()
		end := first.lease.nextOffset
		first.lease.mu.Unlock()
		_, err := first.lease.append(ctx, renewed, end)
		is.NoErr(err)
		first.lease.Resign(ctx)
		first.kill()
		time.Sleep(quietPeriod + safetyMargin - actInterval)
		is.True(!mayAct(other))
		time.Sleep(2 * actInterval)
		is.True(mayAct(other))
		other.kill()
	})
}

// A holder that may not act yet must give up the lease when it withdraws, as keeping the lease
// would only delay a successor.
func TestHolderInQuietPeriodResignsOnWithdraw(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		first.kill()
		second := startDaemon(ctx, log, "b", 1, acts, true)
		time.Sleep(Duration + safetyMargin + quietPeriod - claimLead/2)
		is.True(second.lease.Held())
		second.lease.Withdraw(ctx)
		is.True(!second.lease.Held())
		second.kill()
	})
}

// Calls that got no answer in an outage must not delay the first renewal after the outage by
// more than the timeout of one call and a renewal interval.
func TestHolderActsSoonAfterSilentOutage(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		holder := startDaemon(ctx, log, "a", 1, acts, true)
		for outage := 3 * time.Second; outage < 8*time.Second; outage += 170 * time.Millisecond {
			time.Sleep(2 * time.Second)
			is.True(mayAct(holder))
			log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
			time.Sleep(outage)
			is.True(!mayAct(holder))
			log.SetFault(nil)
			time.Sleep(callTimeout + renewInterval + 10*time.Millisecond)
			is.True(mayAct(holder))
		}
		holder.kill()
	})
}
