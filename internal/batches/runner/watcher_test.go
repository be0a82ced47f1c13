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

// fakeGroup is a group whose partitions the test deals.
type fakeGroup struct {
	partitions map[journal.Partition]bool
	generation int64
}

func (d *fakeGroup) Generation() int64 { return d.generation }

func (d *fakeGroup) Partitions() map[journal.Partition]bool { return d.partitions }

func (d *fakeGroup) Alive(context.Context) ([]string, error) { return nil, nil }

// A partition that is dealt to another member is watched on for a while: the
// other hears of it only at its second join from then. A batch had no owner for 9 s,
// as its partition had no watcher just before an outage of the journal.
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
		// One that comes back meanwhile stays.
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

// replacedGroup is a group in which another incarnation of each owner's machine is alive.
type replacedGroup struct{ fakeGroup }

func (replacedGroup) Alive(context.Context) ([]string, error) { return []string{"a/2"}, nil }

func newTestWatcher(ctx context.Context, log *journaltest.Journal, group Group) (*Watcher, *ledger.Partition) {
	jobs := ledger.New(ctx, log, zap.NewNop())
	over, cancel := context.WithCancel(ctx)
	cancel() // nothing that is taken over is run
	runner := &Runner{self: "b/1", ledger: jobs, locator: ledgerLocator{}, logger: zap.NewNop(), ctx: over}
	return NewWatcher(runner, group), jobs.Of("x")
}

func ownerOf(partition *ledger.Partition, batchID string) string {
	owner := ""
	partition.ViewBatch(batchID, func(b *batch.Batch) { owner = b.Owner })
	return owner
}

// An owner that was replaced is found as soon as it is suspect, also between
// two answers to the long poll, for which it waited half a second longer.
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

// A sign that reached the journal but not this daemon counts: the watcher reads
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
		seen := &watchedPartition{owners: map[string]observation{}}
		is.Equal(len(watcher.inspect(partition.Name(), seen, 0, time.Now())), 0)
		time.Sleep(suspectTimeout + time.Millisecond)
		suspects := watcher.inspect(partition.Name(), seen, 0, time.Now())
		is.Equal(len(suspects), 1)
		is.Equal(len(watcher.runner.confirmSilence(ctx, suspects)), 1)
		other := ledger.New(ctx, log, zap.NewNop())
		is.NoErr(other.Of("x").Append(ctx, batch.Heartbeat("x", "a/1", 1)))
		is.Equal(len(watcher.runner.confirmSilence(ctx, suspects)), 0)
		log.SetBefall(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
		is.Equal(len(watcher.runner.confirmSilence(ctx, suspects)), 0)
	})
}

// A batch whose owner has been replaced changes hands as soon as the group
// tells of another incarnation: after all daemons are killed at once, each step would
// otherwise wait for half a second of silence.
func TestReplacedOwnerIsDetectedOnGroupChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		group := &replacedGroup{}
		log := journaltest.New()
		watcher, partition := newTestWatcher(ctx, log, group)
		accepter := ledger.New(ctx, log, zap.NewNop())
		is.NoErr(accepter.Of("x").Append(ctx, batch.Accepted(&oneItem, "a/1")))
		group.partitions, group.generation = map[journal.Partition]bool{partition.Name(): true}, 2
		go watcher.Run(ctx)
		time.Sleep(2*watchInterval + 20*time.Millisecond)
		is.Equal(ownerOf(partition, "x"), "b/1")
	})
}

// Each owner is looked for once in a generation, not at each of its signs.
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

// A watcher reads a partition before it takes a batch over, and gave that read 0.3 s. A
// daemon on a fraction of a core, or before a store that is slow for it alone, needs
// longer for each of its reads: it took none of the batches over that it watched, for as
// long as that lasted, and nobody else watches them.
func TestSlowWatcherTakesOverBatches(t *testing.T) {
	for _, lag := range []time.Duration{
		0, 200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond,
	} {
		for _, released := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v released=%v", lag, released), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx := t.Context()
					log := &slowJournal{Journal: journaltest.New()}
					owner := newOwner(ctx, t, log, "b/1")
					partition := owner.ledger.Of("x")
					is.NoErr(partition.Append(ctx, batch.Accepted(&twoItems, "a/1")))
					if released {
						is.NoErr(partition.Append(ctx, batch.Released("x", "a/1", nil)))
					}
					log.reads.Store(int64(lag))
					go NewWatcher(owner, &fakeGroup{partitions: map[journal.Partition]bool{partition.Name(): true}}).Run(ctx)
					time.Sleep(heartbeatTimeout + 2*time.Second)
					is.Equal(ownerInJournal(ctx, t, log.Journal, "x"), "b/1")
				})
			})
		}
	}
}
