package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// fakeGroup is a group whose partitions the test assigns.
type fakeGroup struct {
	partitions map[journal.Partition]bool
	generation int64
}

func (d *fakeGroup) Generation() int64 { return d.generation }

func (d *fakeGroup) Partitions() map[journal.Partition]bool { return d.partitions }

func (d *fakeGroup) Alive(context.Context) ([]string, error) { return nil, nil }

// A partition that is assigned to another member stays watched until that member has learned of it,
// so that it is never without a watcher.
func TestReassignedPartitionStaysWatchedForDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		jobs := ledger.New(ctx, journaltest.New(), zap.NewNop())
		one := journal.Partition{Topic: ledger.TopicNames()[0]}
		group := &fakeGroup{partitions: map[journal.Partition]bool{one: true}}
		watcher := NewWatcher(&Runner{ledger: jobs, logger: zap.NewNop()}, group)
		watcher.follow(time.Now())
		is.Equal(len(watcher.watched), 1)
		group.partitions = nil
		watcher.follow(time.Now())
		time.Sleep(unwatchDelay - time.Millisecond)
		watcher.follow(time.Now())
		is.Equal(len(watcher.watched), 1)
		time.Sleep(2 * time.Millisecond)
		watcher.follow(time.Now())
		is.Equal(len(watcher.watched), 0)
		// A partition that is assigned back in the meantime stays watched.
		group.partitions = map[journal.Partition]bool{one: true}
		watcher.follow(time.Now())
		group.partitions = nil
		watcher.follow(time.Now())
		group.partitions = map[journal.Partition]bool{one: true}
		watcher.follow(time.Now())
		time.Sleep(2 * unwatchDelay)
		watcher.follow(time.Now())
		is.Equal(len(watcher.watched), 1)
		for _, p := range watcher.watched {
			p.unfollow()
		}
	})
}

// replacedGroup is a group in which a newer incarnation of owner "a/1" is alive.
type replacedGroup struct{ fakeGroup }

func (replacedGroup) Alive(context.Context) ([]string, error) { return []string{"a/2"}, nil }

func newTestWatcher(ctx context.Context, log *journaltest.Journal, group Group) (*Watcher, *ledger.Partition) {
	jobs := ledger.New(ctx, log, zap.NewNop())
	cancelled, cancel := context.WithCancel(ctx)
	cancel() // batches taken over don't run
	runner := &Runner{self: "b/1", ledger: jobs, locator: ledgerLocator{}, logger: zap.NewNop(), ctx: cancelled}
	return NewWatcher(runner, group), jobs.PartitionOf("x")
}

func ownerOf(partition *ledger.Partition, batchID string) string {
	owner := ""
	partition.ViewBatch(batchID, func(b *batch.Batch) { owner = b.Owner })
	return owner
}

// A replaced owner is detected as soon as it is suspect, also between two answers to a long poll.
func TestReplacedOwnerIsDetectedBetweenLongPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		group := &replacedGroup{}
		watcher, partition := newTestWatcher(ctx, journaltest.New(), group)
		group.partitions = map[journal.Partition]bool{partition.Name(): true}
		go watcher.Run(ctx)
		time.Sleep(1300 * time.Millisecond)
		is.NoErr(partition.Append(ctx, batch.Accepted(&oneItem, "a/1")))
		time.Sleep(suspectTimeout + 2*watchInterval + 20*time.Millisecond)
		is.Equal(ownerOf(partition, "x"), "b/1")
	})
}

// A heartbeat that is in the journal but not yet in this daemon's fold counts: the watcher reads
// before it takes a batch over.
func TestUnreadHeartbeatKeepsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		group := &replacedGroup{}
		log := journaltest.New()
		watcher, partition := newTestWatcher(ctx, log, group)
		is.NoErr(partition.Append(ctx, batch.Accepted(&oneItem, "a/1")))
		is.NoErr(partition.CatchUp(ctx))
		p := &watchedPartition{owners: map[string]observation{}}
		is.Equal(len(watcher.inspect(partition.Name(), p, 0, time.Now())), 0)
		time.Sleep(suspectTimeout + time.Millisecond)
		suspects := watcher.inspect(partition.Name(), p, 0, time.Now())
		is.Equal(len(suspects), 1)
		is.Equal(len(watcher.runner.confirmSilence(ctx, suspects)), 1)
		other := ledger.New(ctx, log, zap.NewNop())
		is.NoErr(other.PartitionOf("x").Append(ctx, batch.Heartbeat("x", "a/1", 1)))
		is.Equal(len(watcher.runner.confirmSilence(ctx, suspects)), 0)
		log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
		is.Equal(len(watcher.runner.confirmSilence(ctx, suspects)), 0)
	})
}

// A replaced owner is detected as soon as the group reports the newer incarnation, without waiting
// for suspectTimeout.
func TestReplacedOwnerIsDetectedOnGroupChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		group := &replacedGroup{}
		log := journaltest.New()
		watcher, partition := newTestWatcher(ctx, log, group)
		accepter := ledger.New(ctx, log, zap.NewNop())
		is.NoErr(accepter.PartitionOf("x").Append(ctx, batch.Accepted(&oneItem, "a/1")))
		group.partitions, group.generation = map[journal.Partition]bool{partition.Name(): true}, 2
		go watcher.Run(ctx)
		time.Sleep(2*watchInterval + 20*time.Millisecond)
		is.Equal(ownerOf(partition, "x"), "b/1")
	})
}

// Each owner is checked once per generation of the group, not after each of its heartbeats.
func TestLivingOwnerIsCheckedOncePerGeneration(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	group := &replacedGroup{}
	watcher, partition := newTestWatcher(ctx, journaltest.New(), group)
	is.NoErr(partition.Append(ctx, batch.Accepted(&oneItem, "c/1")))
	is.NoErr(partition.CatchUp(ctx))
	p := &watchedPartition{owners: map[string]observation{}}
	watcher.watched[partition.Name()] = p
	suspects := watcher.inspect(partition.Name(), p, 7, time.Now())
	is.Equal(len(suspects), 1)
	is.True(watcher.replaceLostOwners(ctx, suspects))
	watcher.recordChecked(suspects, 7)
	is.NoErr(partition.Append(ctx, batch.Heartbeat("x", "c/1", 1)))
	is.NoErr(partition.CatchUp(ctx))
	is.Equal(len(watcher.inspect(partition.Name(), p, 7, time.Now())), 0)
	is.Equal(len(watcher.inspect(partition.Name(), p, 8, time.Now())), 1)
	is.Equal(ownerOf(partition, "x"), "c/1")
}

// A watcher whose reads take longer than confirmTimeout must still take over batches.
func TestSlowWatcherTakesOverBatches(t *testing.T) {
	for _, delay := range []time.Duration{
		0, 200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond,
	} {
		for _, released := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v released=%v", delay, released), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx := t.Context()
					log := &slowJournal{Journal: journaltest.New()}
					owner := newOwner(ctx, t, log, "b/1")
					partition := owner.ledger.PartitionOf("x")
					is.NoErr(partition.Append(ctx, batch.Accepted(&twoItems, "a/1")))
					if released {
						is.NoErr(partition.Append(ctx, batch.Released("x", "a/1", nil)))
					}
					log.reads.Store(int64(delay))
					go NewWatcher(owner, &fakeGroup{partitions: map[journal.Partition]bool{partition.Name(): true}}).Run(ctx)
					time.Sleep(heartbeatTimeout + 2*time.Second)
					is.Equal(ownerInJournal(ctx, t, log.Journal, "x"), "b/1")
				})
			})
		}
	}
}
