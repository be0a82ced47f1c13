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
	// actInterval is how often a holder acts in these tests.
	actInterval = 70 * time.Millisecond
)

var dutyPartition = journal.Partition{Topic: "duty"}

// act is one act under the lease.
type act struct {
	machine string
	fence   int64
	at      time.Time
}

// history collects the acts of all runs.
type history struct {
	mu   sync.Mutex
	acts []act
}

func (h *history) add(r act) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acts = append(h.acts, r)
}

// check holds an act against all before it: fences never fall, belong to one
// machine each, and another machine has been quiet.
func (h *history) check() error {
	holders := map[int64]string{}
	for i, r := range h.acts {
		if holder, used := holders[r.fence]; used && holder != r.machine {
			return fmt.Errorf("fence %d was used by %s and %s", r.fence, holder, r.machine)
		}
		holders[r.fence] = r.machine
		if i == 0 {
			continue
		}
		before := h.acts[i-1]
		if r.fence < before.fence {
			return fmt.Errorf("fence %d of %s after %d of %s", r.fence, r.machine, before.fence, before.machine)
		}
		if before.machine != r.machine && r.at.Sub(before.at) < quietPeriod {
			return fmt.Errorf("%s acted %v after %s", r.machine, r.at.Sub(before.at), before.machine)
		}
	}
	return nil
}

// daemon is one daemon of a daemon that acts whenever it may.
type daemon struct {
	lease *Lease
	clock *clocktest.Clock
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func start(ctx context.Context, log journal.Journal, machine string, number int, acts *history) *daemon {
	return startDaemon(ctx, log, machine, number, acts, false)
}

// startDaemon starts a run that is a candidate from its beginning, or is not. One that
// becomes a candidate while it runs begins to watch up to renewInterval later.
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
			if fence, _, may := started.lease.Fence(); may {
				acts.add(act{machine: machine, fence: fence, at: time.Now()})
			}
			time.Sleep(actInterval)
		}
	}()
	return started
}

func (r *daemon) kill() {
	r.stop()
	r.done.Wait()
}

// Whatever happens to the calls and to the daemons: kills, restarts, calls that
// hang, are refused, lose their answer or take effect late, and candidates that
// come and go.
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
			log.Befall = func(journaltest.Call) journaltest.Fault {
				mu.Lock()
				defer mu.Unlock()
				calls++
				return faultOf(faults[calls%len(faults)])
			}
			ctx, cancel := context.WithCancel(t.Context())
			runs := map[string]*daemon{}
			for i, step := range steps {
				machine := string(rune('a' + step%3))
				switch {
				case runs[machine] == nil:
					runs[machine] = start(ctx, log, machine, i, acts)
					runs[machine].lease.SetCandidate(step%2 == 0)
				case step < 30:
					runs[machine].kill()
					delete(runs, machine)
				case step < 40:
					runs[machine].lease.Resign(ctx)
				case step < 70:
					runs[machine].lease.SetCandidate(step%2 == 0)
				}
				time.Sleep(time.Duration(step) * 60 * time.Millisecond)
				log.Settle()
			}
			cancel()
			for _, each := range runs {
				each.done.Wait()
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

// minActs keeps the test from passing because nobody ever acted.
const minActs = 1000

// faultOf makes a quarter of the calls fail, in each of the ways.
func faultOf(drawn int) journaltest.Fault {
	switch drawn {
	case 0:
		return journaltest.Refuse
	case 1:
		return journaltest.Hang
	case 2, 3:
		return journaltest.LoseAnswer
	case 4:
		return journaltest.Late
	default:
		return journaltest.None
	}
}

func mayAct(r *daemon) bool {
	_, _, may := r.lease.Fence()
	return may
}

// runElection runs a test of daemons over one journal, and checks their acts.
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

// A holder that is killed, or parted from the journal, for less than the quiet
// time of a successor goes on at once: nobody has taken its lease, as nobody
// could have acted on it yet.
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

// A candidate that has watched acts as soon as it may after the last renewal:
// that it claims late costs nothing.
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

// A machine whose run claimed the lease and was killed within the quiet time
// after another holder must wait for the rest of it, although the last record
// is its own.
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

// A daemon that is stopped and started again has its lease back at once: its
// successor could not have acted before, and orders would have been missing for
// the quiet time (none came for 4.5 s).
func TestMachineReclaimsLeaseItResigned(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		other := startDaemon(ctx, log, "b", 1, acts, true)
		first.lease.Withdraw(ctx)
		time.Sleep(3 * time.Second)
		is.True(mayAct(first)) // until it resigns
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

// A successor acts as soon as the quiet time after a resignation is over, also
// where a renewal crossed the resignation.
func TestSuccessorActsAfterResignation(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		first := startDaemon(ctx, log, "a", 1, acts, true)
		time.Sleep(time.Second)
		other := startDaemon(ctx, log, "b", 1, acts, true)
		// Between two renewals, so that the one made here meets none of the holder's.
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

// A holder that cannot act before it ends gives the lease up at once.
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

// After an outage in which calls got no answer, the holder acts again once its
// next renewal is through: it once spent up to 3.6 s on calls that the outage had
// swallowed, and gave its first order 2.2 s after the store was back.
func TestHolderActsSoonAfterSilentOutage(t *testing.T) {
	runElection(t, func(ctx context.Context, is *is.I, log *journaltest.Journal, acts *history) {
		holder := startDaemon(ctx, log, "a", 1, acts, true)
		for outage := 3 * time.Second; outage < 8*time.Second; outage += 170 * time.Millisecond {
			time.Sleep(2 * time.Second)
			is.True(mayAct(holder))
			log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
			time.Sleep(outage)
			is.True(!mayAct(holder))
			log.SetBefall(nil)
			time.Sleep(callTimeout + renewInterval + 10*time.Millisecond)
			is.True(mayAct(holder))
		}
		holder.kill()
	})
}
