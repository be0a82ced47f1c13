package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/replicas/replica"
)

// starts names the starts of a replica, in order.
func starts(count int) []string {
	var names []string
	for i := range count {
		entry := replica.Entry{ID: "a", Born: time.UnixMilli(1_764_700_000_000 + int64(i)*1000)}
		names = append(names, string(entry.Incarnation()))
	}
	return names
}

// A replica that ends and starts again under its id never left the list: its ends were no
// evidence where nothing refused a connection in between.
func TestAStartThatAnotherFollowsHasEnded(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	names := starts(minEndsToRefuse + 1)
	for i := range minEndsToRefuse {
		present := names[i]
		table.ConnectionBroken(bad, names[i], "s")
		table.Sweep(func(name string) bool { return name == present })
		is.Equal(ends(table, bad), i)
		clock.pass(300 * time.Millisecond) // sooner than two ends of an unnamed start would count
		present = names[i+1]
		table.Sweep(func(name string) bool { return name == present })
		is.Equal(ends(table, bad), i+1)
	}
	is.Equal(table.Suspicion(bad), Quarantined)
}

// One end is noted by each daemon when it finds out, at once or as the list tells: that
// counted once a second.
func TestAStartEndsOnce(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, other, bad := clock.table("m"), clock.table("n"), contentNamed("bad")
	name := starts(1)[0]
	table.ConnectionBroken(bad, name, "s")
	other.ReplicaEnded(bad, name, "s")
	table.Merge(other.entriesOf([]Digest{bad.Digest()}), "n")
	clock.pass(3 * time.Second)
	table.Sweep(func(string) bool { return false })
	table.ReplicaEnded(bad, name, "s")
	is.Equal(ends(table, bad), 1)
}

// The start that follows one which ended is back: it may run the content alone.
func TestTheNextStartIsBack(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, bad := clock.table("m"), contentNamed("bad")
	names := starts(3)
	table.ReplicaEnded(bad, "b", "s")
	table.ReplicaEnded(bad, names[0], "s")
	is.Equal(verdictOn(table, bad, names[0], "x"), "elsewhere")
	is.Equal(verdictOn(table, bad, names[1], "x"), "alone")
	is.Equal(verdictOn(table, bad, "x", names[1]), "alone")
	is.Equal(verdictOn(table, bad, "x", names[0]), "refused")
}

// ends is how many ends are held against a content.
func ends(table *Table, content *Content) int {
	for _, s := range table.List() {
		if s.Digest == content.Digest().String() {
			return s.ends()
		}
	}
	return 0
}
