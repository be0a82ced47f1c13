package runner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batch"
	"woodworks/internal/identity"
	"woodworks/internal/journal"
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
	silenceSuspect  = 500 * time.Millisecond
	takeOverTimeout = 1500 * time.Millisecond
	// confirmTimeout bounds the read that shows that a suspect still is one.
	confirmTimeout = 300 * time.Millisecond
	// watchOn is how long a partition is watched after it was dealt to another
	// member, who hears of it only at its second join from then.
	watchOn = 1500 * time.Millisecond
)

// Group tells which partitions this daemon watches, and who is alive.
type Group interface {
	Partitions() map[journal.Partition]bool
	Alive(ctx context.Context) ([]string, error)
}

// Watcher looks after the batches in the partitions dealt to this daemon: it
// takes over those whose owner has let them go, has been replaced by another
// run of its machine, or gives no sign of life. Two watchers of one partition
// do no harm, as one takeover counts.
type Watcher struct {
	runner  *Runner
	group   Group
	watched map[journal.Partition]*watched
}

// watched is one partition with when each owner was last seen alive.
type watched struct {
	release func()
	owners  map[string]sighting
	// dropped is when it was first seen to be dealt to another member, or zero.
	dropped time.Time
}

// sighting is an owner's count of signs of life, and when it last rose.
type sighting struct {
	partition journal.Partition
	batch     string
	owner     string
	signs     int64
	at        time.Time
}

// still reports whether nothing has been heard of the owner since.
func (s sighting) still(known *batch.Batch) bool {
	return known.Open() && known.Owner == s.owner && known.Signs == s.signs
}

// NewWatcher returns a watcher of the partitions dealt by the group.
func NewWatcher(runner *Runner, group Group) *Watcher {
	return &Watcher{runner: runner, group: group, watched: map[journal.Partition]*watched{}}
}

// Run watches until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	periodic.Every(ctx, watchInterval, func(ctx context.Context) {
		watcher.follow(time.Now())
		var suspects []sighting
		for name, each := range watcher.watched {
			suspects = append(suspects, watcher.inspect(name, each, time.Now())...)
		}
		watcher.judge(ctx, watcher.confirm(ctx, suspects))
	})
	for _, each := range watcher.watched {
		each.release()
	}
}

// follow starts and stops following as partitions come and go.
func (watcher *Watcher) follow(now time.Time) {
	dealt := watcher.group.Partitions()
	for name := range dealt {
		switch known := watcher.watched[name]; {
		case name.Topic == RunnersTopic:
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

// inspect returns the batches of one partition whose owner may be gone, and
// starts those that this daemon owns.
func (watcher *Watcher) inspect(name journal.Partition, each *watched, now time.Time) []sighting {
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
			seen, ok := each.owners[known.ID]
			if !ok || seen.owner != known.Owner || seen.signs != known.Signs {
				seen = sighting{partition: name, batch: known.ID, owner: known.Owner, signs: known.Signs, at: now}
				each.owners[known.ID] = seen
			}
			switch {
			case known.Owner == watcher.runner.self:
				own = append(own, known.ID)
			case known.Owner == "" || now.Sub(seen.at) > silenceSuspect || identity.Machine(known.Owner) == identity.Machine(watcher.runner.self):
				suspects = append(suspects, seen)
			}
		})
	})
	for _, batchID := range own {
		watcher.runner.Adopt(batchID)
	}
	return suspects
}

// confirm returns the suspects of which a read that begins now brings nothing
// either. The reads of followers are held while there is nothing to tell, so
// that they alone show silence up to a second late, or not at all.
func (watcher *Watcher) confirm(ctx context.Context, suspects []sighting) []sighting {
	if len(suspects) == 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	read := watcher.catchUp(bounded, suspects)
	var confirmed []sighting
	for _, suspect := range suspects {
		if !read[suspect.partition] {
			continue
		}
		watcher.runner.ledger.Partition(suspect.partition).View(func(state *batch.State) {
			if known, ok := state.Get(suspect.batch); ok && suspect.still(known) {
				confirmed = append(confirmed, suspect)
			}
		})
	}
	return confirmed
}

// catchUp reads the suspects' partitions, and returns those that could be read.
func (watcher *Watcher) catchUp(ctx context.Context, suspects []sighting) map[journal.Partition]bool {
	var mu sync.Mutex
	var reads sync.WaitGroup
	read := map[journal.Partition]bool{}
	asked := map[journal.Partition]bool{}
	for _, suspect := range suspects {
		name := suspect.partition
		if asked[name] {
			continue
		}
		asked[name] = true
		reads.Go(func() {
			if watcher.runner.ledger.Partition(name).CatchUp(ctx) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			read[name] = true
		})
	}
	reads.Wait()
	return read
}

// judge takes over the suspects that are gone.
func (watcher *Watcher) judge(ctx context.Context, suspects []sighting) {
	if len(suspects) == 0 {
		return
	}
	alive, err := watcher.group.Alive(ctx)
	if err != nil {
		return
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
		go watcher.takeOver(ctx, suspect, reason)
	}
}

func (watcher *Watcher) takeOver(ctx context.Context, suspect sighting, reason string) {
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	err := watcher.runner.TakeOver(bounded, suspect.batch, suspect.owner)
	event := "batch taken over"
	if err != nil {
		event = "batch not taken over"
	}
	watcher.runner.logger.Info(event, zap.String("batch", suspect.batch), zap.String("from", suspect.owner),
		zap.String("reason", reason), zap.Duration("silent", time.Since(suspect.at)), zap.Error(err))
}
