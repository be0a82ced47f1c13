package group

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// staleOwners is a journal that reads the owners at once, but delays the answer.
type staleOwners struct {
	*journaltest.Journal
	delay time.Duration
}

func (u staleOwners) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	rows, err := u.Journal.Owners(ctx, group)
	select {
	case <-time.After(u.delay):
		return rows, err
	case <-ctx.Done():
		return nil, journal.ErrUnknown
	}
}

// A list whose read began before a new assignment must not be used in the new generation.
func TestListOfEarlierGenerationIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := staleOwners{journaltest.New(), 600 * time.Millisecond}
		first := start(ctx, log.Journal, "a/1")
		asking := start(ctx, log, "b/1")
		time.Sleep(5 * time.Second)
		asking.WatcherOf(ctx, journal.Partition{Topic: "t"}) // starts a read
		first.Leave(ctx)                                     // the partitions are assigned anew
		left := time.Now()
		time.Sleep(joinInterval + 200*time.Millisecond) // b/1 receives its new assignment
		is.Equal(len(asking.Partitions()), 2)
		watcher, ok := asking.WatcherOf(ctx, journal.Partition{Topic: "t"})
		t.Logf("%v after all partitions were assigned to b/1, it returns watcher %q, known: %v", time.Since(left), watcher, ok)
		stale := time.Duration(0)
		for time.Since(left) < 4*time.Second {
			if watcher, ok := asking.WatcherOf(ctx, journal.Partition{Topic: "t"}); ok && watcher != "b/1" {
				stale = time.Since(left)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("the member that left was last returned %v after it left", stale)
		is.True(!ok || watcher == "b/1")
	})
}

// lossyOwners is a journal that loses the next call of Owners if lose is set, and then clears lose.
type lossyOwners struct {
	*journaltest.Journal
	lose *atomic.Bool
}

func (s lossyOwners) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	if s.lose.CompareAndSwap(true, false) {
		<-ctx.Done()
		return nil, journal.ErrUnknown
	}
	return s.Journal.Owners(ctx, group)
}

// A question waits up to 0.6 s for the watcher. One lost read of the list must not use up that
// time.
func TestLostOwnersReadIsRetriedWithinOneQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lose := &atomic.Bool{}
		log := lossyOwners{journaltest.New(), lose}
		start(ctx, log, "a/1")
		time.Sleep(5 * time.Second)
		asking := New(journal.DetectLostCalls(log, zap.NewNop()), "b/1", topics, zap.NewNop())
		lose.Store(true)
		began, ok := time.Now(), false
		for !ok && time.Since(began) < 3*time.Second {
			if _, ok = asking.WatcherOf(ctx, journal.Partition{Topic: "t"}); !ok {
				time.Sleep(100 * time.Millisecond)
			}
		}
		t.Logf("watcher known after %v", time.Since(began))
		is.True(time.Since(began) <= 600*time.Millisecond)
	})
}

// Reads of the list use the context of Run. After Run has ended, callers must still get a list.
func TestWatchersAreReadAfterRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := journaltest.New()
		start(ctx, log, "a/1")
		asking := start(ctx, log, "b/1")
		time.Sleep(time.Second)
		cancel()
		time.Sleep(100 * time.Millisecond)
		_, ok := asking.WatcherOf(t.Context(), journal.Partition{Topic: "t"})
		is.New(t).True(ok)
	})
}

// A failed read of the list must be followed by another read. If the caller that started a read
// leaves, the read must continue for the next caller.
func TestListIsReadAgainAfterFailureAndForNextCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := journaltest.New()
		start(ctx, log, "a/1")
		time.Sleep(time.Second)
		var refuse atomic.Bool
		refuse.Store(true)
		log.SetFault(func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Owners && refuse.Load() {
				return journaltest.Refuse
			}
			return journaltest.None
		})
		asking := start(ctx, slowJournal{log, 250 * time.Millisecond}, "b/1")
		time.Sleep(4 * time.Second) // the assignment is stable
		partition := journal.Partition{Topic: "t"}
		began := time.Now()
		_, ok := asking.WatcherOf(ctx, partition)
		is.True(!ok)
		is.Equal(time.Since(began), listTimeout) // though the read takes longer
		time.Sleep(time.Second)
		refuse.Store(false)
		leaving, leave := context.WithTimeout(ctx, 50*time.Millisecond)
		defer leave()
		began = time.Now()
		_, ok = asking.WatcherOf(leaving, partition)
		is.True(!ok)
		is.Equal(time.Since(began), 50*time.Millisecond) // the call ends with its context
		time.Sleep(210 * time.Millisecond)
		watcher, ok := asking.WatcherOf(ctx, partition)
		is.True(ok)
		is.Equal(watcher, "a/1")
		is.Equal(time.Since(began), 260*time.Millisecond) // answered by the read that the last caller started
	})
}

// A list of the current generation must still be used while a newer read is slow, but only as
// long as the daemon can join the group.
func TestListOfSameGenerationIsUsedWhileReadIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := journaltest.New()
		start(ctx, log, "a/1")
		asking := New(log, "b/1", topics, zap.NewNop())
		asking.lastContact = journal.NewLastContact(time.Now)
		go asking.Run(ctx)
		time.Sleep(4 * time.Second) // the assignment is stable
		partition := journal.Partition{Topic: "t"}
		watcher, ok := asking.WatcherOf(ctx, partition)
		is.True(ok)
		hang := map[journaltest.Call]bool{journaltest.Owners: true}
		log.SetFault(func(call journaltest.Call) journaltest.Fault {
			if hang[call] {
				return journaltest.Hang
			}
			return journaltest.None
		})
		time.Sleep(2 * listMaxAge)
		later, ok := asking.WatcherOf(ctx, partition)
		is.True(ok)
		is.Equal(later, watcher)
		log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
		time.Sleep(2 * memberTTL)
		_, ok = asking.WatcherOf(ctx, partition)
		is.True(!ok)
	})
}
