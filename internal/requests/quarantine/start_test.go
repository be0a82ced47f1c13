package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/replicas/replica"
)

// incarnations returns the names of consecutive incarnations of one replica.
func incarnations(count int) []string {
	var names []string
	for i := range count {
		entry := replica.Entry{ID: "a", StartedAt: time.UnixMilli(1_764_700_000_000 + int64(i)*1000)}
		names = append(names, string(entry.Incarnation()))
	}
	return names
}

// Guards against missing the end of a replica that restarts under the same id and so never
// leaves the list.
func TestRestartedReplicaHasEnded(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	names := incarnations(minEndsToRefuse + 1)
	for i := range minEndsToRefuse {
		current := names[i]
		table.ConnectionBroken(bad, names[i], "s")
		table.Sweep(func(name string) bool { return name == current })
		is.Equal(endsOf(table, bad), i)
		clock.advance(300 * time.Millisecond) // shorter than endDedupWindow
		current = names[i+1]
		table.Sweep(func(name string) bool { return name == current })
		is.Equal(endsOf(table, bad), i+1)
	}
	is.Equal(table.Suspicion(bad), Quarantined)
}

// Guards against counting one end several times when daemons learn of it at different times.
func TestIncarnationEndsOnce(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, other, bad := clock.table("m"), clock.table("n"), contentNamed("bad")
	name := incarnations(1)[0]
	table.ConnectionBroken(bad, name, "s")
	other.ReplicaEnded(bad, name, "s")
	table.Merge(other.entriesOf([]Digest{bad.Digest()}), "n")
	clock.advance(3 * time.Second)
	table.Sweep(func(string) bool { return false })
	table.ReplicaEnded(bad, name, "s")
	is.Equal(endsOf(table, bad), 1)
}

// Guards against treating a restarted replica as unavailable because its previous incarnation
// ended.
func TestNextIncarnationIsAvailable(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	names := incarnations(3)
	table.ReplicaEnded(bad, "b", "s")
	table.ReplicaEnded(bad, names[0], "s")
	is.Equal(decisionOn(table, bad, names[0], "x"), "other replica")
	is.Equal(decisionOn(table, bad, names[1], "x"), "isolated")
	is.Equal(decisionOn(table, bad, "x", names[1]), "isolated")
	is.Equal(decisionOn(table, bad, "x", names[0]), "refused")
}

// endsOf returns the number of ends counted for a content.
func endsOf(table *Table, content *Content) int {
	for _, s := range table.List() {
		if s.Digest == content.Digest().String() {
			return s.ends()
		}
	}
	return 0
}
