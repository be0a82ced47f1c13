package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batch"
	"woodworks/internal/journal"
	"woodworks/internal/periodic"
)

const (
	watchInterval = 250 * time.Millisecond
	// silenceAllowed is how long an owner may give no sign of life before
	// another daemon takes its batch over.
	silenceAllowed  = 2 * time.Second
	takeOverTimeout = 1500 * time.Millisecond
)

// Watcher looks after the batches in the partitions dealt to this daemon: it
// takes over those whose owner has let them go or gives no sign of life. Two
// watchers of one partition do no harm, as one takeover counts.
type Watcher struct {
	runner     *Runner
	partitions func() map[journal.Partition]bool
	watched    map[journal.Partition]*watched
}

// watched is one partition with when each owner was last seen alive.
type watched struct {
	release func()
	owners  map[string]sighting
}

// sighting is an owner's count of signs of life, and when it last rose.
type sighting struct {
	owner string
	signs int64
	at    time.Time
}

// NewWatcher returns a watcher of the partitions that the function names.
func NewWatcher(runner *Runner, partitions func() map[journal.Partition]bool) *Watcher {
	return &Watcher{runner: runner, partitions: partitions, watched: map[journal.Partition]*watched{}}
}

// Run watches until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	periodic.Every(ctx, watchInterval, func(ctx context.Context) {
		watcher.follow()
		for name, each := range watcher.watched {
			watcher.inspect(ctx, name, each, time.Now())
		}
	})
	for _, each := range watcher.watched {
		each.release()
	}
}

// follow starts and stops following as partitions come and go.
func (watcher *Watcher) follow() {
	dealt := watcher.partitions()
	for name := range dealt {
		if watcher.watched[name] == nil {
			watcher.watched[name] = &watched{release: watcher.runner.ledger.Partition(name).Follow(), owners: map[string]sighting{}}
		}
	}
	for name, each := range watcher.watched {
		if !dealt[name] {
			each.release()
			delete(watcher.watched, name)
		}
	}
}

// inspect takes over the batches of one partition that need it.
func (watcher *Watcher) inspect(ctx context.Context, name journal.Partition, each *watched, now time.Time) {
	partition := watcher.runner.ledger.Partition(name)
	// Silence counts only while the journal can be read: what an owner wrote
	// during an outage is seen afterwards.
	reachable := partition.LastRead()
	var orphans []sighting
	var ids []string
	partition.View(func(state *batch.State) {
		state.All(func(known *batch.Batch) {
			if !known.Open() {
				delete(each.owners, known.ID)
				return
			}
			seen, ok := each.owners[known.ID]
			if !ok || seen.owner != known.Owner || seen.signs != known.Signs {
				seen = sighting{owner: known.Owner, signs: known.Signs, at: now}
				each.owners[known.ID] = seen
			}
			if known.Owner == "" || known.Owner != watcher.runner.self && reachable.Sub(seen.at) > silenceAllowed {
				orphans = append(orphans, seen)
				ids = append(ids, known.ID)
			}
			if known.Owner == watcher.runner.self {
				go watcher.runner.Adopt(known.ID)
			}
		})
	})
	if now.Sub(reachable) > silenceAllowed {
		each.owners = map[string]sighting{}
		return
	}
	for i, orphan := range orphans {
		watcher.takeOver(ctx, ids[i], orphan, now)
	}
}

func (watcher *Watcher) takeOver(ctx context.Context, batchID string, orphan sighting, now time.Time) {
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	err := watcher.runner.TakeOver(bounded, batchID, orphan.owner)
	watcher.runner.logger.Info("batch taken over", zap.String("batch", batchID), zap.String("from", orphan.owner),
		zap.Duration("silent", now.Sub(orphan.at)), zap.Error(err))
}
