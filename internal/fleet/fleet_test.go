package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/announce"
	"woodworks/internal/backend/engine"
	"woodworks/internal/membership"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/scheduler"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func machine(index int) machinelist.Machine {
	return machinelist.Machine{Name: fmt.Sprint("m", index), Service: "lm", Address: fmt.Sprint("10.0.0.", index, ":1"), Zone: "z", State: machinelist.Live}
}

func tableOf(count int) *Table {
	table := NewTable(announce.NewBoard(100), func() {})
	changes := machinelist.Changes{Revision: 1}
	for i := range count {
		changes.Machines = append(changes.Machines, machine(i))
	}
	table.ApplyMachines(changes)
	return table
}

// However states change, reports are lost and replicas come to and go from an
// owner, a follower that has asked twice without loss knows what the owner does.
func TestFollowersCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 6
		owner, follower := tableOf(count), &Fleet{Table: tableOf(count)}
		heard := &following{names: map[string]bool{}}
		owned := map[int]bool{0: true, 1: true}
		now := start
		ask := func(lost bool) {
			var machines []machinelist.Machine
			for i := range count {
				if owned[i] {
					machines = append(machines, machine(i))
				}
			}
			changes := owner.ChangesOf(now, machines, heard.edition)
			if !lost {
				follower.applyChanges(now, heard, changes)
			}
		}
		observe := func(index int, t *rapid.T) {
			owner.ApplyReport(now, Report{Machine: fmt.Sprint("m", index), Reachable: rapid.IntRange(0, 4).Draw(t, "reachable") > 0, State: engine.State{
				Version: uint64(rapid.IntRange(1, 3).Draw(t, "version")), Running: rapid.IntRange(0, 3).Draw(t, "running"),
			}})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			index := rapid.IntRange(0, count-1).Draw(t, "index")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				owned[index] = !owned[index]
			case 1, 2:
				observe(index, t)
			default:
				ask(rapid.IntRange(0, 2).Draw(t, "lost") == 0)
			}
		}
		now = now.Add(100 * time.Millisecond)
		for index := range count {
			observe(index, t)
		}
		for range 2 {
			now = now.Add(10 * time.Millisecond)
			ask(false)
		}
		for index := range count {
			name := fmt.Sprint("m", index)
			want, got := owner.entries[name], follower.Table.entries[name]
			// Of an unreachable replica only that is told.
			differs := got.reachable != want.reachable || (want.reachable && got.state != want.state)
			if owned[index] && differs {
				t.Fatalf("%s: follower has %+v, owner %+v", name, got.state, want.state)
			}
		}
	})
}

// A replica whose owner fell silent is not taken for well.
func TestSilenceMakesUnusable(t *testing.T) {
	is := is.New(t)
	table := tableOf(1)
	table.ApplyReport(start, Report{Machine: "m0", Reachable: true, State: engine.State{Slots: 4}})
	is.True(table.Replicas(start, "lm")[0].Usable)
	is.True(!table.Replicas(start.Add(staleAfter), "lm")[0].Usable)
	table.Vouch(start.Add(staleAfter), "m0")
	is.True(table.Replicas(start.Add(staleAfter), "lm")[0].Usable)
}

// A daemon's own streams are counted once: neither twice beside the report
// that includes them, nor not at all before one does.
func TestOwnStreamsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	table := tableOf(1)
	now := time.Now()
	table.ApplyReport(now, Report{Machine: "m0", Reachable: true, State: engine.State{Slots: 4, Running: 1}})
	done := table.Sent("m0")
	is.Equal(table.Replicas(now, "lm")[0].Load, 2) // another's and ours, not yet reported
	later := time.Now().Add(time.Second)
	table.ApplyReport(later, Report{Machine: "m0", Reachable: true, State: engine.State{Slots: 4, Running: 2}})
	is.Equal(table.Replicas(later, "lm")[0].Load, 2) // now the report includes ours
	done()
	is.Equal(table.Replicas(later, "lm")[0].Load, 2) // until the next report
}

func TestLeavingBySource(t *testing.T) {
	is := is.New(t)
	board := announce.NewBoard(100)
	table := NewTable(board, func() {})
	table.ApplyMachines(machinelist.Changes{Revision: 1, Machines: []machinelist.Machine{machine(0)}})
	report := Report{Machine: "m0", Reachable: true, State: engine.State{Instance: "i1"}}
	table.ApplyReport(start, report)
	leaving := func() bool { return table.Replicas(start, "lm")[0].Leaving }
	is.True(!leaving())
	board.Merge(start, announce.Announcement{Key: announce.Key{Kind: announce.Drain, Subject: "m0"}, Version: 1})
	is.True(leaving())
	board.Merge(start, announce.Announcement{Key: announce.Key{Kind: announce.Drain, Subject: "m0"}, Version: 2})
	is.True(!leaving())
	board.Merge(start, announce.Announcement{Key: announce.Key{Kind: announce.InstanceLeaving, Subject: "m0/i1"}, Version: 1})
	is.True(leaving())
	report.State.Instance = "i2" // a new run at the machine is not leaving
	table.ApplyReport(start.Add(time.Second), report)
	is.True(!leaving())
	gone := machine(0)
	gone.State = machinelist.Gone
	gone.Revision = 2
	table.ApplyMachines(machinelist.Changes{Revision: 2, Machines: []machinelist.Machine{gone}})
	is.Equal(len(table.Replicas(start, "lm")), 0)
	is.Equal(len(table.ChangedSince(1).Machines), 1) // daemons that ask later learn it
}

func TestOwnersAreOfTheZoneWhereThereAreAny(t *testing.T) {
	is := is.New(t)
	owners := NewOwners([]membership.Member{{ID: "a", Zone: "z"}, {ID: "b", Zone: "y"}})
	is.Equal(owners.Of(machine(1)), membership.NodeID("a"))
	is.Equal(NewOwners([]membership.Member{{ID: "b", Zone: "y"}}).Of(machine(1)), membership.NodeID("b"))
}

func BenchmarkSnapshotAndPick(b *testing.B) {
	for _, count := range []int{50, 500} {
		table := tableOf(count)
		now := time.Now()
		for i := range count {
			table.ApplyReport(now, Report{Machine: fmt.Sprint("m", i), Reachable: true, State: engine.State{Slots: 8, Version: 1, Model: "m", Running: i % 8}})
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				candidates := Candidates(table.Replicas(now, "lm"), membership.Member{Zone: "z"})
				scheduler.Pick(scheduler.Request{Model: "m", MinVersion: 1}, candidates, scheduler.DefaultWeights(), 0.5)
			}
		})
	}
}

// quietPeers is a membership whose size the test sets.
type quietPeers struct{ serving []membership.Member }

func (peers *quietPeers) Self() membership.Member           { return peers.serving[0] }
func (peers *quietPeers) Serving() []membership.Member      { return peers.serving }
func (peers *quietPeers) Version() uint64                   { return uint64(len(peers.serving)) }
func (peers *quietPeers) Announce(...announce.Announcement) {}

// A daemon that has just started and knows no one does not take the whole
// floor for its own.
func TestNewDaemonOwnsNothingUntilItsViewStands(t *testing.T) {
	is := is.New(t)
	peers := &quietPeers{serving: []membership.Member{{ID: "a", Zone: "z"}}}
	fleet := New(tableOf(6), peers, nil, nil, time.Second, nil)
	is.Equal(len(fleet.Owned()), 0)
	now := fleet.startedAt
	is.True(fleet.isSettling(now.Add(settleQuiet/2), 1))
	is.True(fleet.isSettling(now.Add(settleQuiet), 30)) // it grew just now
	is.True(!fleet.isSettling(now.Add(3*settleQuiet), 30))
	is.Equal(len(fleet.Owned()), 6) // alone in its zone, and settled
}
