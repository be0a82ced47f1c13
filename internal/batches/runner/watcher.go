package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// watchInterval is the time between two checks of the owners and of the assigned partitions.
	watchInterval = 200 * time.Millisecond
	// unwatchDelay is how long this daemon continues to watch a partition that was assigned to
	// another member. That member learns of the assignment only at the second join after the
	// assignment.
	unwatchDelay = 1500 * time.Millisecond
)

// Group reports which partitions this daemon watches and which daemons are alive.
type Group interface {
	// Partitions returns the partitions that this daemon watches.
	Partitions() map[journal.Partition]bool
	// Alive returns the daemons that are alive, by owner name.
	Alive(ctx context.Context) ([]string, error)
	// Generation returns a number that increases whenever a daemon joins or leaves.
	Generation() int64
}

// Watcher watches the batches in the partitions assigned to this daemon. It takes over those whose
// owner has released them, was replaced by another incarnation on its machine, or is silent. Two
// watchers of one partition do no harm, as only one takeover has an effect.
type Watcher struct {
	runner  *Runner
	group   Group
	watched map[journal.Partition]*watchedPartition
	// generation is the group's generation at the last check.
	generation int64
	// aliveUnknown says that the last check failed to find out which daemons are alive.
	aliveUnknown bool
}

// watchedPartition is a partition that the watcher follows. owners holds the last observation of
// each batch's owner, by batch id.
type watchedPartition struct {
	unfollow func()
	owners   map[string]observation
	// endRepeatedAt is when the end of a batch that ended early was last appended once more, by
	// batch id.
	endRepeatedAt map[string]time.Time
	// reassignedAt is when the partition was first seen assigned to another member, or zero while
	// it is assigned to this daemon.
	reassignedAt time.Time
}

// NewWatcher returns a watcher of the partitions that the group assigns to this daemon.
func NewWatcher(runner *Runner, group Group) *Watcher {
	return &Watcher{runner: runner, group: group, watched: map[journal.Partition]*watchedPartition{}}
}

// Run watches until ctx ends.
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

// follow starts and stops following partitions as they are assigned and reassigned. A new partition
// is followed only once the group's generation is stable: while daemons start one after the other,
// each start reassigns all partitions, and every daemon would read them all in turn.
func (w *Watcher) follow(now time.Time) {
	assigned, stable := w.group.Partitions(), w.generationStable()
	for name := range assigned {
		switch p := w.watched[name]; {
		case name.Topic == RunnersTopic:
		case p == nil && !stable:
		case p == nil:
			unfollow := w.runner.ledger.Partition(name).Follow()
			w.watched[name] = &watchedPartition{unfollow: unfollow, owners: map[string]observation{}, endRepeatedAt: map[string]time.Time{}}
		default:
			p.reassignedAt = time.Time{}
		}
	}
	for name, p := range w.watched {
		switch {
		case assigned[name]:
		case p.reassignedAt.IsZero() && !w.runner.stopping.Load():
			p.reassignedAt = now
		case w.runner.stopping.Load() || now.Sub(p.reassignedAt) > unwatchDelay:
			p.unfollow()
			delete(w.watched, name)
		}
	}
}

// generationStable reports whether the group's generation is the same as at the last call.
func (w *Watcher) generationStable() bool {
	before := w.generation
	w.generation = w.group.Generation()
	return w.generation == before
}

// inspect returns the observations of the partition's owners that are to be checked, and adopts
// the batches that this daemon owns.
func (w *Watcher) inspect(name journal.Partition, p *watchedPartition, generation int64, now time.Time) []observation {
	partition := w.runner.ledger.Partition(name)
	// Silence counts only while the journal can be read: records written during an outage are read
	// afterwards.
	if now.Sub(partition.LastReadToEnd()) > heartbeatTimeout {
		p.owners = map[string]observation{}
		return nil
	}
	var suspects []observation
	var own []string
	endedEarly := map[string]string{} // tenants, by batch id
	partition.View(func(state *batch.State) {
		state.ForEach(func(b *batch.Batch) {
			if !b.IsOpen() {
				delete(p.owners, b.ID)
				if b.EndedEarly && !b.Ended {
					endedEarly[b.ID] = b.Tenant
				}
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
	w.repeatEnds(partition, p, endedEarly, now)
	return suspects
}

// repeatEnds appends once more the ends of batches that ended before their acceptance, so that
// readers that lack the early end have it too: those whose fold begins at the acceptance because
// the records before it were trimmed, and earlier versions of this program. endedEarly holds the
// tenants of the batches, by batch id.
func (w *Watcher) repeatEnds(partition *ledger.Partition, p *watchedPartition, endedEarly map[string]string, now time.Time) {
	for batchID := range p.endRepeatedAt {
		if _, ok := endedEarly[batchID]; !ok {
			delete(p.endRepeatedAt, batchID)
		}
	}
	for batchID, tenant := range endedEarly {
		if last, ok := p.endRepeatedAt[batchID]; ok && now.Sub(last) <= SubmitTimeout {
			continue
		}
		p.endRepeatedAt[batchID] = now
		go w.runner.repeatEnd(partition, batchID, tenant)
	}
}

// repeatEnd appends the end of a batch once more. If it fails, the watcher calls it again.
func (r *Runner) repeatEnd(partition *ledger.Partition, batchID, tenant string) {
	ctx, cancel := context.WithTimeout(r.ctx, SubmitTimeout)
	defer cancel()
	err := r.appendWithRetry(ctx, partition, batch.Ended(batchID, tenant))
	r.logger.Info("batch ended before its acceptance", zap.String("batch", batchID), zap.Inline(partition), zap.Error(err))
}

// observe returns the last observation of the owner of an open batch, updated from the fold.
func (p *watchedPartition) observe(name journal.Partition, b *batch.Batch, now time.Time) observation {
	before, ok := p.owners[b.ID]
	if ok && before.unchanged(b) {
		return before
	}
	o := observation{partition: name, batch: b.ID, owner: b.Owner, livenessSignals: b.LivenessSignals, unchangedSince: now}
	if before.owner == b.Owner {
		o.checkedGeneration = before.checkedGeneration
	}
	p.owners[b.ID] = o
	return o
}

// recordChecked records that the owners in suspects were checked in the given generation. A batch
// whose owner has changed meanwhile is left out.
func (w *Watcher) recordChecked(suspects []observation, generation int64) {
	for _, suspect := range suspects {
		p := w.watched[suspect.partition]
		if o := p.owners[suspect.batch]; o.owner == suspect.owner {
			o.checkedGeneration = generation
			p.owners[suspect.batch] = o
		}
	}
}

// replaceLostOwners starts a takeover, in a goroutine of its own, of each suspect's batch whose
// owner is to be replaced. It reports false if the group could not tell which daemons are alive.
func (w *Watcher) replaceLostOwners(ctx context.Context, suspects []observation) bool {
	if len(suspects) == 0 {
		return true
	}
	alive, err := w.group.Alive(ctx)
	if err != nil && !w.aliveUnknown {
		w.runner.logger.Info("suspect owners not checked", zap.Int("suspects", len(suspects)), zap.Error(err))
	}
	w.aliveUnknown = err != nil
	if w.aliveUnknown {
		return false
	}
	// This daemon is alive whatever the group reports.
	alive = append(alive, w.runner.self)
	for _, suspect := range suspects {
		if reason := suspect.reasonToReplace(alive); reason != "" && !w.runner.stopping.Load() {
			go w.runner.replaceOwner(ctx, suspect, reason)
		}
	}
	return true
}
