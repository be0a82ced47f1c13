package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/group"
)

// delayedJournal is a journal that delays the answer to each call.
type delayedJournal struct {
	journal.Journal
	delay time.Duration
}

func (l delayedJournal) wait(ctx context.Context) error {
	select {
	case <-time.After(l.delay):
		return nil
	case <-ctx.Done():
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
}

func (l delayedJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	if err := l.wait(ctx); err != nil {
		return journal.Appended{}, err
	}
	return l.Journal.Append(ctx, request)
}

func (l delayedJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := l.Journal.Read(ctx, request)
	if err := l.wait(ctx); err != nil {
		return journal.Records{}, err
	}
	return read, err
}

func (l delayedJournal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	if err := l.wait(ctx); err != nil {
		return journal.Assignment{}, err
	}
	return l.Journal.Join(ctx, request)
}

func (l delayedJournal) Owners(ctx context.Context, name string) ([]journal.Ownership, error) {
	if err := l.wait(ctx); err != nil {
		return nil, err
	}
	return l.Journal.Owners(ctx, name)
}

// watcherPeer is the only peer, which watches all partitions. It implements results.Peers.
type watcherPeer struct{ reader *results.Reader }

func (watcherPeer) Daemons() int { return 3 }

func (h watcherPeer) Ask(ctx context.Context, _, _ string, asked, answer any) error {
	return h.reader.Service(ctx).Beginning(asked.(results.BeginningQuery), answer.(*results.Beginning))
}

// timeToFirstHeartbeatDelayed returns the time from the acceptance of a new batch to its owner's
// first heartbeat, and the name of that owner. Calls to the journal are delayed, and the partition
// holds the given bytes of other batches.
func timeToFirstHeartbeatDelayed(
	ctx context.Context, t *testing.T, others int, takes time.Duration, groupTells bool,
) (took time.Duration, owner string) {
	const watcher = "h/1"
	logger := zap.NewNop()
	log := journaltest.New()
	log.RecordBytes = 256 << 10
	slow := delayedJournal{Journal: log, delay: takes}
	watched := ledger.New(ctx, slow, logger)
	partition := watched.PartitionOf("x")
	appendOtherBatches(ctx, t, log, partition.Name(), others)
	member := group.New(slow, watcher, ledger.TopicNames(), logger)
	go member.Run(ctx)
	defer partition.Follow()()
	time.Sleep(10 * time.Second)
	peers := watcherPeer{results.NewReader(watched, fixedWatcher(watcher), nil, log.RateLimits(), watcher, logger)}
	locator := func(self string, batches *ledger.Ledger) Locator {
		var watchers results.Watchers = fixedWatcher(watcher)
		if groupTells {
			watchers = group.New(slow, self, ledger.TopicNames(), logger)
		}
		return results.NewReader(batches, watchers, peers, journal.RateLimits{ReadBytesPerSecond: 1}, self, logger)
	}
	chosen := newOwner(ctx, t, slow, "a/1")
	chosen.locator = locator("a/1", chosen.ledger)
	accepter := newAccepter(ctx, slow, "a/1")
	accepter.locator = locator("b/1", accepter.ledger)
	began := time.Now()
	if err := accepter.Accept(ctx, &oneItem); err != nil {
		t.Fatal(err)
	}
	go chosen.AdoptAssigned("x")
	for seen := false; !seen && time.Since(began) < 20*time.Second; time.Sleep(time.Millisecond) {
		seen, owner = firstHeartbeat(partition)
	}
	return time.Since(began), owner
}

// With a slow journal, a new owner must not read the whole partition because the query for its
// batch's offset has timed out: the watcher reads the batch from the same slow journal, and so does
// the group that tells whom to ask.
func TestANewOwnerReadsItsBatchAloneWhereTheJournalIsLate(t *testing.T) {
	const others = 8 << 20
	for name, groupTells := range map[string]bool{"the watcher is known": false, "the group tells": true} {
		for _, takes := range []time.Duration{
			4 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(name, ", ", takes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx := t.Context()
					alone, _ := timeToFirstHeartbeatDelayed(ctx, t, 0, takes, groupTells)
					among, owner := timeToFirstHeartbeatDelayed(ctx, t, others, takes, groupTells)
					t.Logf("first heartbeat after %v alone, after %v among %d MB of others, by %s", alone, among, others>>20, owner)
					is.True(among <= alone+takes)
				})
			})
		}
	}
}
