package runner

import (
	"context"
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

const (
	// standByTime is how long the daemon that accepted a batch waits for the
	// owner's first sign of life, besides standBySteps times what the acceptance
	// took: that many calls lie between the two.
	standByTime  = 300 * time.Millisecond
	standBySteps = 4
)

// standBy takes a batch over that this daemon has accepted for another one, if
// that one gives no first sign of life: it may have ended since the group told
// of it. The watcher of the partition would find out as well, but later.
func (runner *Runner) standBy(batchID, owner string, accepting time.Duration) {
	if !runner.begin() {
		return
	}
	defer runner.running.Done()
	partition := runner.foldOf(runner.context, batchID)
	release := partition.Follow()
	defer release()
	expected := sighting{partition: partition.Name(), batch: batchID, owner: owner, at: time.Now()}
	patience, cancel := context.WithTimeout(runner.context, standByTime+standBySteps*accepting)
	defer cancel()
	if hasBegun(patience, partition, expected) || runner.context.Err() != nil {
		return
	}
	bounded, cancel := context.WithTimeout(runner.context, takeOverTimeout)
	defer cancel()
	if partition.CatchUp(bounded) != nil || !runner.stillSuspect(expected) {
		return
	}
	runner.replaceOwner(runner.context, expected, "owner has not begun")
}

// hasBegun waits until the fold shows anything of a batch beyond its acceptance
// by then, and reports whether it does.
func hasBegun(ctx context.Context, partition *ledger.Partition, expected sighting) bool {
	for {
		changed := partition.Changed()
		begun := false
		partition.View(func(state *batch.State) {
			known, ok := state.Get(expected.batch)
			begun = ok && !expected.still(known)
		})
		if begun {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
