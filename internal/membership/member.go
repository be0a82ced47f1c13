// Package membership tracks which daemons run, by probing and gossip.
//
// The Machine in this package is pure: it takes events and a time, and returns
// what to send. It holds no clock, socket or goroutine; the daemon package
// drives it. A process that restarts is a new member with a new NodeID, never
// the old one at the same address, because it has forgotten what it promised.
package membership

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// NodeID names one run of one daemon: "name#generation".
type NodeID string

// NewNodeID returns the identity of a daemon's run.
func NewNodeID(name string, generation uint64) NodeID {
	return NodeID(fmt.Sprintf("%s#%x", name, generation))
}

// Health is what a member is believed to be. At equal refutation counts the
// larger value wins.
type Health uint8

// The values of Health.
const (
	Alive Health = iota
	Suspect
	Dead
)

// String implements fmt.Stringer.
func (health Health) String() string {
	switch health {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Member is one daemon as gossip describes it.
type Member struct {
	ID         NodeID
	Name       string
	Address    string
	Zone       string
	Region     string
	Generation uint64
	Health     Health
	// Refutation is raised only by the member itself, to contradict a false
	// suspicion. A higher refutation replaces any Health told with a lower one.
	Refutation uint64
	// Leaving is set by the member itself at a planned stop and never cleared.
	Leaving bool
	// Gone means proved to be over: a newer generation listens at the same
	// address, or the member said so as its last act. Never cleared.
	Gone bool
}

// Serving reports whether new work may be given to the member.
func (member Member) Serving() bool {
	return member.Health != Dead && !member.Leaving && !member.Gone
}

// Reachable reports whether the member may still answer, also while leaving.
func (member Member) Reachable() bool { return member.Health != Dead && !member.Gone }

// hash returns a hash over all that gossip compares.
func (member Member) hash() uint64 {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(string(member.ID))
	flags := byte(member.Health) << 2
	if member.Leaving {
		flags |= 1
	}
	if member.Gone {
		flags |= 2
	}
	var tail [9]byte
	for i := range 8 {
		tail[i] = byte(member.Refutation >> (8 * i))
	}
	tail[8] = flags
	_, _ = hasher.Write(tail[:])
	return hasher.Sum64()
}

// merge joins two descriptions of the same member. It is commutative,
// associative and idempotent.
func merge(held, told Member) Member {
	joined := held
	if told.Refutation > held.Refutation {
		joined.Refutation = told.Refutation
		joined.Health = told.Health
	} else if told.Refutation == held.Refutation && told.Health > held.Health {
		joined.Health = told.Health
	}
	joined.Leaving = held.Leaving || told.Leaving
	joined.Gone = held.Gone || told.Gone
	return joined
}

// BucketCount is the number of parts of the digest. A difference in one part
// costs the exchange of that part only.
const BucketCount = 16

// Digest summarises a membership table; equal tables have equal digests.
type Digest [BucketCount]uint64

func bucketOf(id NodeID) int { return int(xxhash.Sum64String(string(id)) % BucketCount) }
