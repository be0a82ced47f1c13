package runner

import (
	"context"
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

const (
	watchInterval = 200 * time.Millisecond
	// silenceAllowed is how long an owner may give no sign of life before
	// another daemon takes its batch over.
	silenceAllowed = 1500 * time.Millisecond
	// firstSign is how long a new owner may take to give its first sign of life.
	firstSign = 700 * time.Millisecond
	// silenceSuspect is after how long an owner's machine is looked for among
	// those alive: a new run there proves that the owner is gone.
	silenceSuspect = 500 * time.Millisecond
	// watchOn is how long a partition is watched after it was dealt to another
	// member, who hears of it only at its second join from then.
	watchOn = 1500 * time.Millisecond
)

// Group tells which partitions this daemon watches, and who is alive.
type Group interface {
	Partitions() map[journal.Partition]bool
	Alive(ctx context.Context) ([]string, error)
	// Generation rises whenever a daemon comes or goes.
	Generation() int64
}

// Watcher looks after the batches in the partitions dealt to this daemon: it
// takes over those whose owner has let them go, has been replaced by another
// run of its machine, or gives no sign of life. Two watchers of one partition
// do no harm, as one takeover counts.
type Watcher struct {
	runner  *Runner
	group   Group
	watched map[journal.Partition]*watched
	// generation is that of the group at the last look.
	generation int64
}

// watched is one partition with when each owner was last seen alive.
type watched struct {
	release func()
	owners  map[string]sighting
	// dropped is when it was first seen to be dealt to another member, or zero.
	dropped time.Time
}

// NewWatcher returns a watcher of the partitions dealt by the group.
func NewWatcher(runner *Runner, group Group) *Watcher {
	return &Watcher{runner: runner, group: group, watched: map[journal.Partition]*watched{}}
}

// Run watches until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	periodic.Every(ctx, watchInterval, func(ctx context.Context) {
		watcher.follow(time.Now())
		generation := watcher.group.Generation()
		var suspects []sighting
		for name, each := range watcher.watched {
			suspects = append(suspects, watcher.inspect(name, each, generation, time.Now())...)
		}
		confirmed := watcher.runner.confirm(ctx, suspects)
		if watcher.judge(ctx, confirmed) {
			watcher.judged(confirmed, generation)
		}
	})
	for _, each := range watcher.watched {
		each.release()
	}
}

// follow starts and stops following as partitions come and go. A partition is followed from
// the second look of a generation on: while daemons start one after the other all are dealt anew
// with each, and would be read by everyone in turn. With 84 daemons and 72 MB in the partitions a
// start of all reads 73 to 81 MB of them, in place of 128 to 396 (virtual time).
func (watcher *Watcher) follow(now time.Time) {
	dealt, settled := watcher.group.Partitions(), watcher.settled()
	for name := range dealt {
		switch known := watcher.watched[name]; {
		case name.Topic == RunnersTopic:
		case known == nil && !settled:
		case known == nil:
			watcher.watched[name] = &watched{release: watcher.runner.ledger.Partition(name).Follow(), owners: map[string]sighting{}}
		default:
			known.dropped = time.Time{}
		}
	}
	for name, each := range watcher.watched {
		switch {
		case dealt[name]:
		case each.dropped.IsZero() && !watcher.runner.stopping.Load():
			each.dropped = now
		case watcher.runner.stopping.Load() || now.Sub(each.dropped) > watchOn:
			each.release()
			delete(watcher.watched, name)
		}
	}
}

// settled reports whether the group's generation is that of the last look.
func (watcher *Watcher) settled() bool {
	before := watcher.generation
	watcher.generation = watcher.group.Generation()
	return watcher.generation == before
}

// inspect returns the batches of one partition whose owner may be gone, and
// starts those that this daemon owns. An owner is looked for once in each
// generation, and when it has been silent.
func (watcher *Watcher) inspect(name journal.Partition, each *watched, generation int64, now time.Time) []sighting {
	partition := watcher.runner.ledger.Partition(name)
	// Silence counts only while the journal can be read: what an owner wrote
	// during an outage is seen afterwards.
	if now.Sub(partition.LastRead()) > silenceAllowed {
		each.owners = map[string]sighting{}
		return nil
	}
	var suspects []sighting
	var own []string
	partition.View(func(state *batch.State) {
		state.All(func(known *batch.Batch) {
			if !known.Open() {
				delete(each.owners, known.ID)
				return
			}
			seen := each.sight(name, known, now)
			switch {
			case known.Owner == watcher.runner.self:
				own = append(own, known.ID)
			case known.Owner == "" || seen.judgedIn != generation || now.Sub(seen.at) > silenceSuspect || identity.Machine(known.Owner) == identity.Machine(watcher.runner.self):
				suspects = append(suspects, seen)
			}
		})
	})
	for _, batchID := range own {
		watcher.runner.adopt(partition, batchID)
	}
	return suspects
}

// sight returns what was last seen of the owner of an open batch, with the time
// since when nothing new was.
func (w *watched) sight(name journal.Partition, known *batch.Batch, now time.Time) sighting {
	before, ok := w.owners[known.ID]
	if ok && before.still(known) {
		return before
	}
	seen := sighting{partition: name, batch: known.ID, owner: known.Owner, signs: known.Signs, at: now}
	if before.owner == known.Owner {
		seen.judgedIn = before.judgedIn
	}
	w.owners[known.ID] = seen
	return seen
}

// judged notes the generation in which owners were looked for.
func (watcher *Watcher) judged(suspects []sighting, generation int64) {
	for _, suspect := range suspects {
		each := watcher.watched[suspect.partition]
		if seen := each.owners[suspect.batch]; seen.owner == suspect.owner {
			seen.judgedIn = generation
			each.owners[suspect.batch] = seen
		}
	}
}

// judge takes over the suspects that are gone, and reports whether it could
// tell which are.
func (watcher *Watcher) judge(ctx context.Context, suspects []sighting) bool {
	if len(suspects) == 0 {
		return true
	}
	alive, err := watcher.group.Alive(ctx)
	if err != nil {
		return false
	}
	// This run is alive whatever the group says.
	alive = append(alive, watcher.runner.self)
	for _, suspect := range suspects {
		reason := ""
		switch {
		case suspect.owner == "":
			reason = "released"
		case identity.Replaced(suspect.owner, alive):
			reason = "owner replaced"
		case suspect.signs == 0 && suspect.silent() > firstSign:
			reason = "owner has not begun"
		case suspect.silent() > silenceAllowed:
			reason = "owner silent"
		default:
			continue
		}
		go watcher.runner.replaceOwner(ctx, suspect, reason)
	}
	return true
}
