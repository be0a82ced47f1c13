package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/ledger"
)

// dealing is a group whose partitions the test deals.
type dealing struct{ partitions map[journal.Partition]bool }

func (d *dealing) Partitions() map[journal.Partition]bool { return d.partitions }

func (d *dealing) Alive(context.Context) ([]string, error) { return nil, nil }

// A partition that is dealt to another member is watched on for a while: the
// other hears of it only at its second join from then (scale-1 of aarewald-plan:
// a batch without an owner from 6.6 to 15.9 s, as its partition had no watcher
// just before an outage of the store).
func TestPartitionsAreWatchedOnUntilAnotherWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		jobs := ledger.New(ctx, journaltest.New(), zap.NewNop())
		one := journal.Partition{Topic: ledger.TopicNames()[0]}
		group := &dealing{partitions: map[journal.Partition]bool{one: true}}
		watcher := NewWatcher(&Runner{ledger: jobs, logger: zap.NewNop()}, group)
		watcher.follow(time.Now())
		is.Equal(len(watcher.watched), 1)
		group.partitions = nil
		watcher.follow(time.Now())
		time.Sleep(watchOn - time.Millisecond)
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
		time.Sleep(2 * watchOn)
		watcher.follow(time.Now())
		is.Equal(len(watcher.watched), 1)
		for _, each := range watcher.watched {
			each.release()
		}
	})
}
