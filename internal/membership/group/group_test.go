package group

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

var topics = []string{"t"}

func start(ctx context.Context, log journal.Journal, name string) *Member {
	member := New(log, name, topics, zap.NewNop())
	go member.Run(ctx)
	return member
}

// A member that leaves drops its partitions at once, and retries until the group has removed it.
// Otherwise the partitions would have no watcher until memberTTL is over.
func TestLeaveIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		var refusals atomic.Int64
		log.FaultFunc = func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Leave && refusals.Add(1) <= 2 {
				return journaltest.Refuse
			}
			return journaltest.None
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := start(ctx, log, "a/1"), start(ctx, log, "b/1")
		time.Sleep(2 * joinInterval)
		is.Equal(len(first.Partitions()), 1)
		is.Equal(len(second.Partitions()), 1)
		began := time.Now()
		first.Leave(ctx)
		is.Equal(len(first.Partitions()), 0)
		is.True(time.Since(began) < memberTTL/2)
		time.Sleep(joinInterval)
		is.Equal(len(second.Partitions()), 2)
		time.Sleep(5 * joinInterval)
		is.Equal(len(first.Partitions()), 0)
	})
}

// The partitions of a member that has stopped must go to other members after memberTTL.
func TestPartitionsOfSilentMemberAreReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		bounded, kill := context.WithCancel(ctx)
		start(bounded, log, "a/1")
		second := start(ctx, log, "b/1")
		time.Sleep(2 * joinInterval)
		kill()
		time.Sleep(memberTTL + 2*joinInterval)
		is.Equal(len(second.Partitions()), 2)
		alive, err := second.Alive(ctx)
		is.NoErr(err)
		is.Equal(alive, []string{"b/1"})
		watcher, ok := second.WatcherOf(ctx, journal.Partition{Topic: "t"})
		is.True(ok)
		is.Equal(watcher, "b/1")
	})
}

// A new incarnation removes the previous incarnation on its machine from the group, also after
// failed calls. Otherwise new batches would go to a process that has ended, until memberTTL is
// over.
func TestNewIncarnationRemovesPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		bounded, kill := context.WithCancel(ctx)
		start(bounded, log, "a/1")
		other := start(ctx, log, "b/1")
		time.Sleep(2 * joinInterval)
		kill()
		synctest.Wait()
		var refusals atomic.Int64
		log.SetFault(func(call journaltest.Call) journaltest.Fault {
			if (call == journaltest.Leave || call == journaltest.Owners) && refusals.Add(1) <= 3 {
				return journaltest.Refuse
			}
			return journaltest.None
		})
		second := start(ctx, log, "a/2")
		time.Sleep(memberTTL / 2)
		log.SetFault(nil)
		alive, err := other.Alive(ctx)
		is.NoErr(err)
		slices.Sort(alive)
		is.Equal(alive, []string{"a/2", "b/1"})
		is.Equal(len(second.Partitions())+len(other.Partitions()), 2)
		is.Equal(len(second.Partitions()), 1)
	})
}

// The silence must include the time in which the machine was suspended, as a daemon that resumes
// would otherwise report itself ready.
func TestSilenceIncludesSuspendedTime(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	member := New(journaltest.New(), "a/1", topics, zap.NewNop())
	member.lastContact = journal.NewLastContact(clock.Now)
	is.True(member.Silence() > 24*time.Hour) // no join has succeeded yet
	member.join(t.Context())
	is.True(member.Silence() < time.Minute)
	clock.Suspend(time.Hour)
	is.True(member.Silence() >= time.Hour)
}
