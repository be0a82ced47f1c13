package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/membership"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(index int, generation uint64) membership.Member {
	name := fmt.Sprintf("d%d", index)
	return membership.Member{
		ID: membership.NewNodeID(name, generation), Name: name, Address: fmt.Sprintf("10.0.0.%d:1", index),
		Zone: fmt.Sprintf("zone-%d", index%3), Region: "r", Generation: generation,
	}
}

func machine(index int, generation uint64, now time.Time) *membership.Machine {
	return membership.NewMachine(membership.DefaultConfig(), member(index, generation), now, uint64(index))
}

// exchange is one gossip exchange with its repair, as package gossip does it.
func exchange(now time.Time, from, to *membership.Machine) {
	to.Merge(now, append(from.Updates(16), from.Self()))
	from.Merge(now, append(append(to.Updates(16), to.Differing(from.Digest(), 4)...), to.Self()))
	to.Merge(now, from.Differing(to.Digest(), 4))
}

// floor is a set of daemons, some of them dead or cut off.
type floor struct {
	now      time.Time
	machines map[membership.NodeID]*membership.Machine
	down     map[membership.NodeID]bool
	side     map[membership.NodeID]int
}

func newFloor(size int) *floor {
	one := &floor{now: start, machines: map[membership.NodeID]*membership.Machine{}, down: map[membership.NodeID]bool{}, side: map[membership.NodeID]int{}}
	first := machine(0, 1, start)
	one.machines[first.Self().ID] = first
	for index := 1; index < size; index++ {
		joining := machine(index, 1, start)
		one.machines[joining.Self().ID] = joining
		exchange(start, joining, first)
	}
	return one
}

func (one *floor) reaches(from, to membership.NodeID) bool {
	return !one.down[from] && !one.down[to] && one.side[from] == one.side[to]
}

// second lets a second pass at every daemon that runs.
func (one *floor) second() {
	one.now = one.now.Add(time.Second)
	for index := range len(one.machines) * 2 {
		id := membership.NewNodeID(fmt.Sprintf("d%d", index), 1)
		probing, known := one.machines[id]
		if !known || one.down[id] {
			continue
		}
		for _, target := range probing.Tick(one.now) {
			if one.reaches(id, target.ID) {
				exchange(one.now, probing, one.machines[target.ID])
			} else {
				probing.ProbeFailed(one.now, one.now, target.ID)
			}
		}
	}
}

func (one *floor) agree(t interface{ Fatalf(string, ...any) }, want int) {
	for id, held := range one.machines {
		if one.down[id] {
			continue
		}
		serving := 0
		for _, seen := range held.Members() {
			if seen.Serving() {
				serving++
			}
		}
		if serving != want {
			t.Fatalf("%s sees %d serving daemons, want %d: %+v", id, serving, want, held.Members())
		}
	}
}

// Whatever was down or cut off, once it is back every daemon sees every other.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(t, "size")
		one := newFloor(size)
		for range rapid.IntRange(1, 40).Draw(t, "seconds") {
			index := rapid.IntRange(0, size-1).Draw(t, "victim")
			id := membership.NewNodeID(fmt.Sprintf("d%d", index), 1)
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				one.down[id] = !one.down[id]
			case 1:
				one.side[id] = 1 - one.side[id]
			}
			one.second()
		}
		one.down = map[membership.NodeID]bool{}
		one.side = map[membership.NodeID]int{}
		for range 120 {
			one.second()
		}
		one.agree(t, size)
	})
}

func TestDeadDaemonIsKnownEverywhereWithinSeconds(t *testing.T) {
	one := newFloor(12)
	for range 20 {
		one.second()
	}
	one.agree(t, 12)
	one.down[membership.NewNodeID("d5", 1)] = true
	for range 15 {
		one.second()
	}
	one.agree(t, 11)
}

// A daemon that was paused blames no one for the probes that failed meanwhile.
func TestPausedDaemonBlamesNoOne(t *testing.T) {
	is := is.New(t)
	one := machine(0, 1, start)
	other := member(1, 1)
	one.Merge(start, []membership.Member{other})
	one.Tick(start)
	one.Tick(start.Add(time.Minute))
	one.ProbeFailed(start.Add(time.Minute), start, other.ID)
	for _, seen := range one.Members() {
		is.Equal(seen.Health, membership.Alive)
	}
}

func TestNewRunProvesTheOldOneGone(t *testing.T) {
	is := is.New(t)
	one := machine(0, 1, start)
	one.Merge(start, []membership.Member{member(1, 1)})
	one.Merge(start, []membership.Member{member(1, 2)})
	gone := map[uint64]bool{}
	for _, seen := range one.Members() {
		gone[seen.Generation*10+uint64(len(seen.Name))] = seen.Gone
		if seen.Name == "d1" {
			is.Equal(seen.Gone, seen.Generation == 1)
		}
	}
}

func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	accused := machine(0, 1, start)
	told := accused.Self()
	told.Health = membership.Dead
	accused.Merge(start, []membership.Member{told})
	is.Equal(accused.Self().Health, membership.Alive)
	is.True(accused.Self().Refutation > told.Refutation)
}

// Merging is the same in any order and however often.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told []membership.Member
		for range rapid.IntRange(1, 8).Draw(t, "count") {
			one := member(rapid.IntRange(1, 2).Draw(t, "index"), uint64(rapid.IntRange(1, 2).Draw(t, "generation")))
			one.Health = membership.Health(rapid.IntRange(0, 2).Draw(t, "health"))
			one.Refutation = uint64(rapid.IntRange(0, 2).Draw(t, "refutation"))
			one.Leaving = rapid.Bool().Draw(t, "leaving")
			told = append(told, one)
		}
		forward := machine(0, 1, start)
		backward := machine(0, 1, start)
		for i := range told {
			forward.Merge(start, told[i:i+1])
			backward.Merge(start, told[len(told)-1-i:len(told)-i])
		}
		backward.Merge(start, told)
		if forward.Digest() != backward.Digest() {
			t.Fatalf("%+v differs from %+v", forward.Members(), backward.Members())
		}
	})
}
