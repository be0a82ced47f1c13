package runner

import (
	"context"
	"time"

	"woodworks/internal/batch"
	"woodworks/internal/identity"
	"woodworks/internal/journal"
	"woodworks/internal/ledger"
	"woodworks/internal/periodic"
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
	// backupDelay is by how much the second watcher of a partition acts later than
	// the first.
	backupDelay = 400 * time.Millisecond
	// refreshInterval is the time between two reads of a partition whose follower
	// has had no answer for long.
	refreshInterval = 600 * time.Millisecond
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
// run of its machine, or gives no sign of life. It looks after the counterpart of
// each of its partitions as well, a bit later than the one to whom that is dealt,
// as an owner may be its batch's watcher itself. Two watchers of one partition do
// no harm, as one takeover counts.
type Watcher struct {
	runner  *Runner
	group   Group
	watched map[journal.Partition]*watched
}

// watched is one partition with when each owner was last seen alive.
type watched struct {
	release func()
	owners  map[string]sighting
	// backup says that another member is its first watcher.
	backup bool
	// dropped is when it was first seen to be dealt to another member, or zero.
	dropped time.Time
	// refreshedAt is when it was last read beside its follower.
	refreshedAt time.Time
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

// follow starts and stops following as partitions come and go.
func (watcher *Watcher) follow(now time.Time) {
	wanted := watcher.wanted()
	for name, backup := range wanted {
		known := watcher.watched[name]
		if known == nil {
			known = &watched{release: watcher.runner.ledger.Partition(name).Follow(), owners: map[string]sighting{}}
			watcher.watched[name] = known
		}
		known.backup, known.dropped = backup, time.Time{}
	}
	for name, each := range watcher.watched {
		_, still := wanted[name]
		switch {
		case still:
		case each.dropped.IsZero() && !watcher.runner.stopping.Load():
			each.dropped = now
		case watcher.runner.stopping.Load() || now.Sub(each.dropped) > watchOn:
			each.release()
			delete(watcher.watched, name)
		}
	}
}

// wanted returns the partitions to watch, and which of them as a second watcher.
func (watcher *Watcher) wanted() map[journal.Partition]bool {
	dealt := watcher.group.Partitions()
	wanted := make(map[journal.Partition]bool, 2*len(dealt))
	for name := range dealt {
		if name.Topic != RunnersTopic {
			wanted[watcher.runner.ledger.Counterpart(name)] = true
		}
	}
	for name := range dealt {
		if name.Topic != RunnersTopic {
			wanted[name] = false
		}
	}
	return wanted
}

// refresh reads a partition whose follower has had no answer for long: the read
// that it holds may outlast an outage by a second.
func (watcher *Watcher) refresh(partition *ledger.Partition, each *watched, now time.Time) {
	if now.Sub(each.refreshedAt) < refreshInterval {
		return
	}
	each.refreshedAt = now
	go func() {
		bounded, cancel := context.WithTimeout(watcher.runner.context, takeOverTimeout)
		defer cancel()
		_ = partition.CatchUp(bounded)
	}()
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
		watcher.refresh(partition, each, now)
		return nil
	}
	since := now
	if each.backup {
		since = now.Add(backupDelay)
	}
	var suspects []sighting
	var own []string
	partition.View(func(state *batch.State) {
		state.All(func(known *batch.Batch) {
			if !known.Open() {
				delete(each.owners, known.ID)
				return
			}
			seen, ok := each.owners[known.ID]
			if !ok || seen.owner != known.Owner || seen.signs != known.Signs {
				found := sighting{partition: name, batch: known.ID, owner: known.Owner, signs: known.Signs, at: since}
				if seen.owner == known.Owner {
					found.judgedIn = seen.judgedIn
				}
				seen = found
				each.owners[known.ID] = seen
			}
			switch {
			case known.Owner == watcher.runner.self:
				own = append(own, known.ID)
			case now.Before(seen.at):
			case known.Owner == "" || seen.judgedIn != generation || now.Sub(seen.at) > silenceSuspect || identity.Machine(known.Owner) == identity.Machine(watcher.runner.self):
				suspects = append(suspects, seen)
			}
		})
	})
	for _, batchID := range own {
		watcher.runner.Adopt(batchID)
	}
	return suspects
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
		case suspect.signs == 0 && time.Since(suspect.at) > firstSign:
			reason = "owner has not begun"
		case time.Since(suspect.at) > silenceAllowed:
			reason = "owner silent"
		default:
			continue
		}
		go watcher.runner.replaceOwner(ctx, suspect, reason)
	}
	return true
}
