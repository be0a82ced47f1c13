package runner

import (
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

// The rules that decide when the owner of a batch is replaced.

const (
	// heartbeatTimeout is how long an owner may be silent before another daemon takes over its
	// batch.
	heartbeatTimeout = 1500 * time.Millisecond
	// firstHeartbeatTimeout is how long the first owner of a batch may take to send its first
	// heartbeat. For an owner that took the batch over, heartbeatTimeout applies to the first
	// heartbeat too.
	firstHeartbeatTimeout = 700 * time.Millisecond
	// suspectTimeout is how long an owner may be silent before the watcher asks the group which
	// daemons are alive: a newer incarnation on the owner's machine proves that the owner has
	// ended.
	suspectTimeout = 500 * time.Millisecond
	// minStandByDelay is the minimum time that the accepting daemon waits for the first heartbeat
	// of the owner. The delay grows by standByAcceptFactor times the duration of the acceptance,
	// since about standByAcceptFactor calls to the journal lie between the acceptance and the
	// first heartbeat.
	minStandByDelay     = 300 * time.Millisecond
	standByAcceptFactor = 4
)

// observation is what a daemon last observed of the owner of a batch.
type observation struct {
	partition journal.Partition
	batch     string
	owner     string
	// livenessSignals is the batch's count of records that show an owner alive
	// (batch.Batch.LivenessSignals).
	livenessSignals int64
	// unchangedSince is when the owner and its liveness signals were first observed as they are
	// here.
	unchangedSince time.Time
	// checkedGeneration is the generation of the group in which the owner was last checked against
	// the daemons that are alive.
	checkedGeneration int64
	// confirmStart is when the read that confirmed the owner's silence began, or zero if no read
	// has confirmed it.
	confirmStart time.Time
}

// unchanged reports whether the batch is still open, has the same owner and shows no new sign of
// life since the observation.
func (o observation) unchanged(b *batch.Batch) bool {
	return b.IsOpen() && b.Owner == o.owner && b.LivenessSignals == o.livenessSignals
}

// silentFor returns how long the owner is known to have been silent. The silence counts only up to
// the start of the confirming read, which may miss records that were appended after its start.
func (o observation) silentFor() time.Duration { return o.confirmStart.Sub(o.unchangedSince) }

// suspectsOwner reports whether the owner is to be checked. An owner is checked if the generation
// of the group has changed since the last check of the owner, or if it has been silent for longer
// than suspectTimeout. If the batch has no owner, or its owner is an incarnation on this machine,
// the result is always true.
func (o observation) suspectsOwner(self string, generation int64, now time.Time) bool {
	return o.owner == "" || o.checkedGeneration != generation || now.Sub(o.unchangedSince) > suspectTimeout ||
		identity.Machine(o.owner) == identity.Machine(self)
}

// reasonToReplace returns why the owner is to be replaced, or "" if it is not to be replaced. The
// owner's silence must have been confirmed (confirmStart). alive lists the daemons that are alive,
// by owner name.
func (o observation) reasonToReplace(alive []string) string {
	switch {
	case o.owner == "":
		return "released"
	case identity.Replaced(o.owner, alive):
		return "owner replaced"
	case o.livenessSignals == 0 && o.silentFor() > firstHeartbeatTimeout:
		return "no first heartbeat"
	case o.silentFor() > heartbeatTimeout:
		return "owner silent"
	default:
		return ""
	}
}

// standByDelay returns how long the daemon that accepted a batch waits for the first heartbeat of
// another daemon that owns the batch, before it takes the batch over. accepting is how long the
// acceptance took.
func standByDelay(accepting time.Duration) time.Duration {
	return minStandByDelay + standByAcceptFactor*accepting
}
