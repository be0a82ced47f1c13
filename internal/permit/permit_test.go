package permit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"woodworks/internal/journal/journaltest"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

// counter returns a function that returns another text each time.
func counter() func() string {
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

// befalling is what happens to one call: a delay, then a fault.
type befalling struct {
	delay time.Duration
	fault journaltest.Fault
}

// Whatever befalls the journal's calls, of all tries with a key that come to
// any daemons at any time at most one is granted.
func TestAtMostOneTryIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.Custom(func(t *rapid.T) befalling {
			fault := journaltest.None
			if rapid.IntRange(0, 3).Draw(t, "faulty") == 0 {
				fault = journaltest.Fault(rapid.IntRange(int(journaltest.Refuse), int(journaltest.Late)).Draw(t, "fault"))
			}
			return befalling{delay: time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * time.Millisecond, fault: fault}
		})
		calls := rapid.SliceOfN(drawn, 0, 40).Draw(t, "calls")
		starts := rapid.SliceOfN(rapid.IntRange(0, 40), 2, 8).Draw(t, "starts")
		granted := 0
		synctest.Test(&testing.T{}, func(*testing.T) { granted = grants(calls, starts) })
		if granted > 1 {
			t.Fatalf("%d tries were granted", granted)
		}
	})
}

// grants counts the granted tries, of which each starts at a time in
// milliseconds at one of three daemons.
func grants(calls []befalling, starts []int) int {
	log := journaltest.New()
	var mu sync.Mutex
	log.Befall = func(journaltest.Call) journaltest.Fault {
		mu.Lock()
		next := befalling{}
		if len(calls) > 0 {
			next, calls = calls[0], calls[1:]
		}
		mu.Unlock()
		time.Sleep(next.delay)
		return next.fault
	}
	ids := counter()
	daemons := []*Permits{New(log, retention, ids), New(log, retention, ids), New(log, retention, ids)}
	var tries sync.WaitGroup
	granted := 0
	for i, start := range starts {
		tries.Go(func() {
			time.Sleep(time.Duration(start) * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			decision, err := daemons[i%len(daemons)].Claim(ctx, "k", 1)
			if _, ok := decision.(Granted); ok && err == nil {
				mu.Lock()
				granted++
				mu.Unlock()
			}
			log.Settle()
		})
	}
	tries.Wait()
	return granted
}

func TestLaterTriesHearTheOutcome(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	ids := counter()
	first, second := New(log, retention, ids), New(log, retention, ids)
	ctx := context.Background()
	decision, err := first.Claim(ctx, "k", 1)
	is.NoErr(err)
	granted, ok := decision.(Granted)
	is.True(ok)
	is.NoErr(first.Settle(ctx, granted, Outcome{Status: 200, Body: []byte("done")}))
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

// A claimant that died leaves a key that nobody may run again.
func TestAnUnsettledKeyStaysTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		ids := counter()
		_, err := New(log, retention, ids).Claim(context.Background(), "k", 1)
		is.NoErr(err)
		other := New(log, retention, ids)
		decision, err := other.Claim(context.Background(), "k", 1)
		is.NoErr(err)
		is.Equal(decision, Taken{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, known := other.Await(ctx, "k")
		is.True(!known)
	})
}

func TestARefusedClaimIsNotInTheJournal(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	permits := New(log, retention, counter())
	log.Befall = func(call journaltest.Call) journaltest.Fault {
		if call == journaltest.Append {
			return journaltest.Refuse
		}
		return journaltest.None
	}
	_, err := permits.Claim(context.Background(), "k", 1)
	is.True(errors.Is(err, ErrNotClaimed))
	log.Befall = nil
	decision, err := permits.Claim(context.Background(), "k", 1)
	is.NoErr(err)
	_, ok := decision.(Granted)
	is.True(ok)
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	_, err := ParseKey("no-key")
	is.True(errors.Is(err, ErrKey))
	now := time.UnixMilli(1_700_000_000_000)
	key, err := ParseKey("1700000000000-abcdefgh")
	is.NoErr(err)
	permits := New(journaltest.New(), retention, counter())
	is.NoErr(permits.Check(key, now))
	is.True(errors.Is(permits.Check(key, now.Add(retention)), ErrExpired))
	is.True(errors.Is(permits.Check(key, now.Add(-time.Minute)), ErrEarly))
}
