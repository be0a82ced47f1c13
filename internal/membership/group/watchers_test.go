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

// staleOwners is a journal whose answers about owners take their time on the way back: they tell
// what was when the call came.
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

// A list that was read before the partitions were dealt anew is not believed in the new generation.
func TestListOfEarlierGenerationIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := staleOwners{journaltest.New(), 600 * time.Millisecond}
		first := start(ctx, log.Journal, "a/1")
		asking := start(ctx, log, "b/1")
		time.Sleep(5 * time.Second)
		asking.WatcherOf(ctx, journal.Partition{Topic: "t"}) // begins a read
		first.Leave(ctx)                                     // the partitions are dealt anew
		left := time.Now()
		time.Sleep(joinInterval + 200*time.Millisecond) // b hears of it
		is.Equal(len(asking.Partitions()), 2)
		watcher, ok := asking.WatcherOf(ctx, journal.Partition{Topic: "t"})
		t.Logf("%v after all partitions were dealt to b/1, b/1 takes %q for the owner, known %v", time.Since(left), watcher, ok)
		stale := time.Duration(0)
		for time.Since(left) < 4*time.Second {
			if watcher, ok := asking.WatcherOf(ctx, journal.Partition{Topic: "t"}); ok && watcher != "b/1" {
				stale = time.Since(left)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("last told of the member that had left: %v after it", stale)
		is.True(!ok || watcher == "b/1")
	})
}

// lossyOwners loses one call for the owners.
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

// A question looks for the holder for 0.6 s. One call of the list that was swallowed must not
// take that from it.
func TestLostOwnersReadIsRetriedWithinOneQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lose := &atomic.Bool{}
		log := lossyOwners{journaltest.New(), lose}
		start(ctx, log, "a/1")
		time.Sleep(5 * time.Second)
		asking := New(journal.Revive(log, zap.NewNop()), "b/1", topics, zap.NewNop())
		lose.Store(true)
		began, ok := time.Now(), false
		for !ok && time.Since(began) < 3*time.Second {
			if _, ok = asking.WatcherOf(ctx, journal.Partition{Topic: "t"}); !ok {
				time.Sleep(100 * time.Millisecond)
			}
		}
		t.Logf("known after %v", time.Since(began))
		is.True(time.Since(began) <= 600*time.Millisecond)
	})
}

// After the end of Run the list is read all the same.
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

// A read of the list that failed is followed by another one, and one whose caller has left
// ends with an answer for the next.
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
		log.SetBefall(func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Owners && refuse.Load() {
				return journaltest.Refuse
			}
			return journaltest.None
		})
		asking := start(ctx, slowJournal{log, 250 * time.Millisecond}, "b/1")
		time.Sleep(4 * time.Second) // the group is settled
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
		is.Equal(time.Since(began), 50*time.Millisecond) // it waits no longer than its caller
		time.Sleep(210 * time.Millisecond)
		watcher, ok := asking.WatcherOf(ctx, partition)
		is.True(ok)
		is.Equal(watcher, "a/1")
		is.Equal(time.Since(began), 260*time.Millisecond) // by the read that was begun for the one who left
	})
}

// While a journal is busy the list was forgotten after 2 s, as the read of a newer one was late, and
// questions found no holder though nothing had been dealt since: 13 of 40 refused questions of a
// fleet whose journal carried half of its grant. It counts on as long as the group is heard of, and
// no longer.
func TestListOfSameGenerationIsUsedWhileReadIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := journaltest.New()
		start(ctx, log, "a/1")
		asking := New(log, "b/1", topics, zap.NewNop())
		asking.lastContact = journal.NewContact(time.Now)
		go asking.Run(ctx)
		time.Sleep(4 * time.Second) // the group is settled
		partition := journal.Partition{Topic: "t"}
		watcher, ok := asking.WatcherOf(ctx, partition)
		is.True(ok)
		hang := map[journaltest.Call]bool{journaltest.Owners: true}
		log.SetBefall(func(call journaltest.Call) journaltest.Fault {
			if hang[call] {
				return journaltest.Hang
			}
			return journaltest.None
		})
		time.Sleep(2 * listMaxAge)
		later, ok := asking.WatcherOf(ctx, partition)
		is.True(ok)
		is.Equal(later, watcher)
		log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
		time.Sleep(2 * memberTTL)
		_, ok = asking.WatcherOf(ctx, partition)
		is.True(!ok)
	})
}
