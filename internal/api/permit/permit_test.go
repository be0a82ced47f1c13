package permit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal/journaltest"
)

func init() { testseed.Fix() }

// newIDs returns a function that returns a new ID at each call.
func newIDs() func() string {
	var mu sync.Mutex
	n := 0
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		n++
		return fmt.Sprint("try-", n)
	}
}

const retention = 10 * time.Minute

// callFault delays a call to the journal and then fails it.
type callFault struct {
	delay time.Duration
	fault journaltest.Fault
}

// For any faults and delays of the journal, at most one of the tries with a key runs, whichever
// daemons they come to. A granted try that does not run releases the key and must not run later.
func TestAtMostOneTryRuns(t *testing.T) {
	again := 0
	rapid.Check(t, func(t *rapid.T) {
		drawnFault := rapid.Custom(func(t *rapid.T) callFault {
			fault := journaltest.None
			if rapid.IntRange(0, 3).Draw(t, "faulty") == 0 {
				fault = journaltest.Fault(rapid.IntRange(int(journaltest.Refuse), int(journaltest.Delay)).Draw(t, "fault"))
			}
			return callFault{delay: time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * time.Millisecond, fault: fault}
		})
		calls := rapid.SliceOfN(drawnFault, 0, 40).Draw(t, "calls")
		starts := rapid.SliceOfN(rapid.IntRange(0, 40), 2, 8).Draw(t, "starts")
		release := rapid.SliceOfN(rapid.Bool(), len(starts), len(starts)).Draw(t, "release")
		granted, ran := 0, 0
		synctest.Test(&testing.T{}, func(*testing.T) { granted, ran = countGrants(calls, starts, release) })
		if ran > 1 {
			t.Fatalf("%d tries ran", ran)
		}
		if !slices.Contains(release, true) && granted > 1 {
			t.Fatalf("%d tries were granted", granted)
		}
		if granted > 1 {
			again++
		}
	})
	if again == 0 {
		t.Fatal("no key was granted again after its release")
	}
}

// countGrants returns how many tries were granted the key and how many ran. Try i starts after
// starts[i] milliseconds at one of three daemons; if granted, it releases the key if release[i] is
// set, and runs otherwise.
func countGrants(calls []callFault, starts []int, release []bool) (granted, ran int) {
	log := journaltest.New()
	var mu sync.Mutex
	log.FaultFunc = func(journaltest.Call) journaltest.Fault {
		mu.Lock()
		next := callFault{}
		if len(calls) > 0 {
			next, calls = calls[0], calls[1:]
		}
		mu.Unlock()
		time.Sleep(next.delay)
		return next.fault
	}
	ids := newIDs()
	daemons := []*Permits{New(log, retention, ids, zap.NewNop()), New(log, retention, ids, zap.NewNop()), New(log, retention, ids, zap.NewNop())}
	var tries sync.WaitGroup
	for i, start := range starts {
		tries.Go(func() {
			time.Sleep(time.Duration(start) * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			decision, err := daemons[i%len(daemons)].Claim(ctx, "k", 1)
			permit, ok := decision.(Granted)
			if !ok || err != nil {
				log.ApplyDelayed()
				return
			}
			mu.Lock()
			granted++
			if !release[i] {
				ran++
			}
			mu.Unlock()
			if release[i] {
				_ = daemons[i%len(daemons)].Release(ctx, permit)
			}
			log.ApplyDelayed()
		})
	}
	tries.Wait()
	return granted, ran
}

// A released key is granted to the next try, for any content; a key with an outcome stays taken.
func TestReleasedKeyIsGrantedAgain(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	ids := newIDs()
	first, second := New(log, retention, ids, zap.NewNop()), New(log, retention, ids, zap.NewNop())
	ctx := context.Background()
	decision, err := first.Claim(ctx, "k", 1)
	is.NoErr(err)
	given := decision.(Granted)
	is.NoErr(first.Release(ctx, given))
	decision, err = second.Claim(ctx, "k", 1)
	is.NoErr(err)
	granted, ok := decision.(Granted)
	is.True(ok)
	// A repeated release by the first claimant must not release the claim of the second.
	is.NoErr(first.Release(ctx, given))
	is.NoErr(second.RecordOutcome(ctx, granted, Outcome{Status: 200}))
	is.NoErr(second.Release(ctx, granted))
	decision, err = first.Claim(ctx, "k", 1)
	is.NoErr(err)
	is.Equal(decision, Taken{})
}

func TestLaterTriesReceiveTheOutcome(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	ids := newIDs()
	first, second := New(log, retention, ids, zap.NewNop()), New(log, retention, ids, zap.NewNop())
	ctx := context.Background()
	decision, err := first.Claim(ctx, "k", 1)
	is.NoErr(err)
	granted, ok := decision.(Granted)
	is.True(ok)
	is.NoErr(first.RecordOutcome(ctx, granted, Outcome{Status: 200, Body: []byte("done")}))
	decision, err = second.Claim(ctx, "k", 1)
	is.NoErr(err)
	is.Equal(decision, Taken{})
	outcome, known := second.Await(ctx, "k")
	is.True(known)
	is.Equal(string(outcome.Body), "done")
	decision, err = second.Claim(ctx, "k", 2)
	is.NoErr(err)
	is.Equal(decision, OtherContent{})
}

// Guards against running a request again whose claimant ended without recording an outcome.
func TestKeyWithoutOutcomeStaysTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		ids := newIDs()
		_, err := New(log, retention, ids, zap.NewNop()).Claim(context.Background(), "k", 1)
		is.NoErr(err)
		other := New(log, retention, ids, zap.NewNop())
		decision, err := other.Claim(context.Background(), "k", 1)
		is.NoErr(err)
		is.Equal(decision, Taken{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, ok := other.Await(ctx, "k")
		is.True(!ok)
	})
}

func TestFailedAppendLeavesNoClaim(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	permits := New(log, retention, newIDs(), zap.NewNop())
	log.FaultFunc = func(call journaltest.Call) journaltest.Fault {
		if call == journaltest.Append {
			return journaltest.Refuse
		}
		return journaltest.None
	}
	_, err := permits.Claim(context.Background(), "k", 1)
	is.True(errors.Is(err, ErrNotClaimed))
	log.FaultFunc = nil
	decision, err := permits.Claim(context.Background(), "k", 1)
	is.NoErr(err)
	_, ok := decision.(Granted)
	is.True(ok)
}

func TestParseAndCheckKey(t *testing.T) {
	is := is.New(t)
	_, err := ParseKey("no-key")
	is.True(errors.Is(err, ErrInvalidKey))
	now := time.UnixMilli(1_700_000_000_000)
	key, err := ParseKey("1700000000000-abcdefgh")
	is.NoErr(err)
	permits := New(journaltest.New(), retention, newIDs(), zap.NewNop())
	is.NoErr(permits.Check(key, now))
	is.True(errors.Is(permits.Check(key, now.Add(retention)), ErrExpired))
	is.True(errors.Is(permits.Check(key, now.Add(-time.Minute)), ErrFutureKey))
}

// Guards against a wall clock that is set ahead and back: a claim removed meanwhile is never read
// again, so its request would run twice.
func TestClockJumpRemovesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const retention = 10 * time.Minute
		permits := New(journaltest.New(), retention, func() string { return "second" }, zap.NewNop())
		part := permits.partitionOf("k")
		expiryLimit := func(clock time.Time) time.Time { return clock.Add(-retention - clockMargin) }
		rec := record{Kind: kindClaim, Key: "k", Claimant: "first", Digest: 1, AtMs: time.Now().UnixMilli()}
		part.fold(0, [][]byte{rec.encode()}, expiryLimit(time.Now()))
		part.fold(0, nil, expiryLimit(time.Now().Add(time.Hour)))
		is.True(part.lookUp("k") != nil)
		time.Sleep(retention + clockMargin + time.Millisecond)
		part.fold(0, nil, expiryLimit(time.Now()))
		is.True(part.lookUp("k") == nil)
	})
}
