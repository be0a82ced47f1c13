package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// watchInterval is the time between two looks at the owners, and at what is dealt.
	watchInterval = 200 * time.Millisecond
	// unwatchDelay is how long a partition is watched after it was dealt to another member,
	// which learns of it only at its second join from then.
	unwatchDelay = 1500 * time.Millisecond
)

// Group tells which partitions this daemon watches, and who is alive.
type Group interface {
	Partitions() map[journal.Partition]bool
	Alive(ctx context.Context) ([]string, error)
	// Generation rises whenever a daemon comes or goes.
	Generation() int64
}

// Watcher looks after the batches in the partitions dealt to this daemon: it
// takes over those whose owner has released them, has been replaced by another
// incarnation on its machine, or gives no sign of life. Two watchers of one partition
// do no harm, as one takeover counts.
type Watcher struct {
	runner  *Runner
	group   Group
	watched map[journal.Partition]*watchedPartition
	// generation is that of the group at the last look.
	generation int64
	// aliveUnknown says that the last look could not learn who is alive.
	aliveUnknown bool
}

// watchedPartition is one partition with when each owner was last seen alive.
type watchedPartition struct {
	unfollow func()
	owners   map[string]observation
	// reassignedAt is when it was first seen to be dealt to another member, or zero.
	reassignedAt time.Time
}

// NewWatcher returns a watcher of the partitions dealt by the group.
func NewWatcher(runner *Runner, group Group) *Watcher {
	return &Watcher{runner: runner, group: group, watched: map[journal.Partition]*watchedPartition{}}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	periodic.Every(ctx, watchInterval, func(ctx context.Context) {
		w.follow(time.Now())
		generation := w.group.Generation()
		var suspects []observation
		for name, p := range w.watched {
			suspects = append(suspects, w.inspect(name, p, generation, time.Now())...)
		}
		confirmed := w.runner.confirmSilence(ctx, suspects)
		if w.replaceLostOwners(ctx, confirmed) {
			w.recordChecked(confirmed, generation)
		}
	})
	for _, p := range w.watched {
		p.unfollow()
	}
}

// follow starts and stops following as partitions come and go. A partition is followed from
// the second look of a generation on: while daemons start one after the other all are dealt anew
// with each, and would be read by everyone in turn.
func (w *Watcher) follow(now time.Time) {
	dealt, settled := w.group.Partitions(), w.generationStable()
	for name := range dealt {
		switch p := w.watched[name]; {
		case name.Topic == RunnersTopic:
		case p == nil && !settled:
		case p == nil:
			unfollow := w.runner.ledger.Partition(name).Follow()
			w.watched[name] = &watchedPartition{unfollow: unfollow, owners: map[string]observation{}}
		default:
			p.reassignedAt = time.Time{}
		}
	}
	for name, p := range w.watched {
		switch {
		case dealt[name]:
		case p.reassignedAt.IsZero() && !w.runner.stopping.Load():
			p.reassignedAt = now
		case w.runner.stopping.Load() || now.Sub(p.reassignedAt) > unwatchDelay:
			p.unfollow()
			delete(w.watched, name)
		}
	}
}

// generationStable reports whether the group's generation is that of the last look.
func (w *Watcher) generationStable() bool {
	before := w.generation
	w.generation = w.group.Generation()
	return w.generation == before
}

// inspect returns the batches of one partition whose owner may be gone, and
// starts those that this daemon owns.
func (w *Watcher) inspect(name journal.Partition, p *watchedPartition, generation int64, now time.Time) []observation {
	partition := w.runner.ledger.Partition(name)
	// Silence counts only while the journal can be read: what an owner wrote
	// during an outage is seen afterwards.
	if now.Sub(partition.LastRead()) > heartbeatTimeout {
		p.owners = map[string]observation{}
		return nil
	}
	var suspects []observation
	var own []string
	partition.View(func(state *batch.State) {
		state.All(func(b *batch.Batch) {
			if !b.Open() {
				delete(p.owners, b.ID)
				return
			}
			o := p.observe(name, b, now)
			switch {
			case b.Owner == w.runner.self:
				own = append(own, b.ID)
			case o.suspectsOwner(w.runner.self, generation, now):
				suspects = append(suspects, o)
			}
		})
	})
	for _, batchID := range own {
		w.runner.adopt(partition, batchID)
	}
	return suspects
}

// observe returns what was last seen of the owner of an open batch, with the time
// since when nothing new was.
func (p *watchedPartition) observe(name journal.Partition, b *batch.Batch, now time.Time) observation {
	before, ok := p.owners[b.ID]
	if ok && before.unchanged(b) {
		return before
	}
	o := observation{partition: name, batch: b.ID, owner: b.Owner, signs: b.Signs, unchangedSince: now}
	if before.owner == b.Owner {
		o.checkedGeneration = before.checkedGeneration
	}
	p.owners[b.ID] = o
	return o
}

// recordChecked notes the generation in which owners were looked for.
func (w *Watcher) recordChecked(suspects []observation, generation int64) {
	for _, suspect := range suspects {
		p := w.watched[suspect.partition]
		if o := p.owners[suspect.batch]; o.owner == suspect.owner {
			o.checkedGeneration = generation
			p.owners[suspect.batch] = o
		}
	}
}

// replaceLostOwners takes over the suspects that are gone, and reports whether it could
// tell which are.
func (w *Watcher) replaceLostOwners(ctx context.Context, suspects []observation) bool {
	if len(suspects) == 0 {
		return true
	}
	alive, err := w.group.Alive(ctx)
	if err != nil && !w.aliveUnknown {
		w.runner.logger.Info("owners not judged", zap.Int("suspects", len(suspects)), zap.Error(err))
	}
	w.aliveUnknown = err != nil
	if w.aliveUnknown {
		return false
	}
	// This daemon is alive whatever the group says.
	alive = append(alive, w.runner.self)
	for _, suspect := range suspects {
		if reason := suspect.reasonToReplace(alive); reason != "" {
			go w.runner.replaceOwner(ctx, suspect, reason)
		}
	}
	return true
}
