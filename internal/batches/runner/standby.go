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
	standByWait  = 300 * time.Millisecond
	standBySteps = 4
)

// standBy takes a batch over that this daemon has accepted for another one, if
// that one gives no first sign of life: it may have ended since the group told
// of it. The watcher of the partition would find out as well, but later.
func (r *Runner) standBy(batchID, owner string, accepting time.Duration) {
	if !r.begin() {
		return
	}
	defer r.work.Done()
	partition := r.foldOf(r.ctx, batchID)
	release := partition.Follow()
	defer release()
	expected := observation{partition: partition.Name(), batch: batchID, owner: owner, at: time.Now()}
	patience, cancel := context.WithTimeout(r.ctx, standByWait+standBySteps*accepting)
	defer cancel()
	if hasBegun(patience, partition, expected) || r.ctx.Err() != nil {
		return
	}
	bounded, cancel := context.WithTimeout(r.ctx, takeOverTimeout)
	defer cancel()
	if partition.CatchUp(bounded) != nil || !r.stillSuspect(expected) {
		return
	}
	r.replaceOwner(r.ctx, expected, "owner has not begun")
}

// hasBegun waits until the fold shows anything of a batch beyond its acceptance
// by then, and reports whether it does.
func hasBegun(ctx context.Context, partition *ledger.Partition, expected observation) bool {
	for {
		changed := partition.Changed()
		begun := false
		partition.View(func(state *batch.State) {
			b, ok := state.Get(expected.batch)
			begun = ok && !expected.still(b)
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
