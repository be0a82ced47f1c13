package runner

import (
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

// The rules by which the owner of a batch is replaced.

const (
	// heartbeatTimeout is how long an owner may give no sign of life before another daemon
	// takes its batch over.
	heartbeatTimeout = 1500 * time.Millisecond
	// firstHeartbeatTimeout is how long the first owner of a batch may take to give its first
	// sign of life. One that took a batch over has heartbeatTimeout from the start.
	firstHeartbeatTimeout = 700 * time.Millisecond
	// suspectTimeout is after how long an owner's machine is looked for among those alive: a
	// new incarnation there proves that the owner is gone.
	suspectTimeout = 500 * time.Millisecond
	// minStandByDelay is how long the daemon that accepted a batch waits for the owner's first
	// sign of life, besides standBySteps times what the acceptance took: that many calls lie
	// between the two.
	minStandByDelay     = 300 * time.Millisecond
	standByAcceptFactor = 4
)

// observation is what a daemon last saw of a batch's owner.
type observation struct {
	partition journal.Partition
	batch     string
	owner     string
	// signs is the batch's count of signs of life, over all its owners.
	signs int64
	// unchangedSince is since when nothing new was seen.
	unchangedSince time.Time
	// checkedGeneration is the generation of the group in which the owner was last looked for among
	// those alive.
	checkedGeneration int64
	// confirmStart is when the read began that confirmed the silence, or zero.
	confirmStart time.Time
}

// unchanged reports whether the batch shows nothing new of its owner since.
func (o observation) unchanged(b *batch.Batch) bool {
	return b.Open() && b.Owner == o.owner && b.Signs == o.signs
}

// silentFor is for how long the owner is known to have given no sign.
func (o observation) silentFor() time.Duration { return o.confirmStart.Sub(o.unchangedSince) }

// suspectsOwner reports whether the owner is to be looked for: once in each generation of the
// group, when it has been silent, and always if the batch has none or it is an incarnation
// of the own machine.
func (o observation) suspectsOwner(self string, generation int64, now time.Time) bool {
	return o.owner == "" || o.checkedGeneration != generation || now.Sub(o.unchangedSince) > suspectTimeout ||
		identity.Machine(o.owner) == identity.Machine(self)
}

// reasonToReplace returns why the owner of a batch whose silence is confirmed is to be
// replaced, or "" if it is not. Alive are the daemons of the group.
func (o observation) reasonToReplace(alive []string) string {
	switch {
	case o.owner == "":
		return "released"
	case identity.Replaced(o.owner, alive):
		return "owner replaced"
	case o.signs == 0 && o.silentFor() > firstHeartbeatTimeout:
		return "owner has not begun"
	case o.silentFor() > heartbeatTimeout:
		return "owner silent"
	default:
		return ""
	}
}

// standByDelay is how long the daemon that accepted a batch for another one waits before it
// takes the batch over, by how long the acceptance took.
func standByDelay(accepting time.Duration) time.Duration {
	return minStandByDelay + standByAcceptFactor*accepting
}
