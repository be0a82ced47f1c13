package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An owner is replaced if its batch was released, a newer incarnation of the owner is alive, or
// the owner was silent.
func TestReasonToReplaceOwner(t *testing.T) {
	is := is.New(t)
	lastSeen := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	reason := func(owner string, livenessSignals int64, silent time.Duration, alive ...string) string {
		return observation{owner: owner, livenessSignals: livenessSignals, unchangedSince: lastSeen, confirmStart: lastSeen.Add(silent)}.reasonToReplace(alive)
	}
	is.Equal(reason("", 1, 0), "released")
	is.Equal(reason("a/1", 1, 0, "a/2"), "owner replaced")
	is.Equal(reason("a/1", 1, heartbeatTimeout, "a/1"), "")
	is.Equal(reason("a/1", 1, heartbeatTimeout+1, "a/1"), "owner silent")
	is.Equal(reason("a/1", 0, firstHeartbeatTimeout, "a/1"), "")
	is.Equal(reason("a/1", 0, firstHeartbeatTimeout+1, "a/1"), "no first heartbeat")
}
