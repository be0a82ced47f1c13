package modelsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
)

// enginesOf are engines that were dealt to a model, at the given versions.
func enginesOf(model string, versions ...int64) []replica.Replica {
	var made []replica.Replica
	for i, version := range versions {
		made = append(made, replica.Replica{Entry: replica.Entry{ID: fmt.Sprintf("%s-%d", model, i), Versions: map[string]int64{model: version}}})
	}
	return made
}

func lagOfOne(string) int64 { return 1 }

// A model none of whose engines may run its batches comes before others that
// have some, whatever its place in the list: two models once got all changes
// for 12 s, and the third one's steps stood still.
func TestAModelWithoutUsableEnginesComesFirst(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c"}
	named := map[string]int64{"a": 4, "b": 4, "c": 3}
	deals := [][]replica.Replica{enginesOf("a", 3, 3, 2), enginesOf("b", 3, 2, 2), enginesOf("c", 1, 1, 1)}
	due := changesDue(deals, models, named, lagOfOne, engine.ContinueRunning, idle)
	var order []string
	for _, c := range due[:3] {
		order = append(order, c.model)
	}
	is.Equal(order, []string{"c", "b", "c"})
}

// Where all may run their batches, the one with the fewest engines at its newest
// version comes first.
func TestTheModelWithFewestNewestEnginesComesFirst(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b"}
	named := map[string]int64{"a": 2, "b": 2}
	deals := [][]replica.Replica{enginesOf("a", 2, 2, 1), enginesOf("b", 1, 1, 1)}
	due := changesDue(deals, models, named, lagOfOne, engine.ContinueRunning, idle)
	is.Equal(due[0].model, "b")
}

// Whatever the engines hold and whichever of them change: each change is listed
// once, those under way first, and the first that starts is for a model that is
// no better off than any other for which one is due.
func TestChangesStartWhereEnginesAreFewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		named := map[string]int64{}
		deals := make([][]replica.Replica, len(models))
		loading := map[string]bool{}
		for i, model := range models {
			named[model] = rapid.Int64Range(1, 6).Draw(t, "named")
			versions := rapid.SliceOfN(rapid.Int64Range(1, named[model]), 1, 4).Draw(t, "versions")
			deals[i] = enginesOf(model, versions...)
			for _, rep := range deals[i] {
				loading[rep.ID] = rep.Versions[model] < named[model] && rapid.IntRange(0, 3).Draw(t, "loading") == 0
			}
		}
		due := changesDue(deals, models, named, lagOfOne, engine.ContinueRunning, func(id string) bool { return loading[id] })
		usable := func(model string) float64 {
			all, ready := 0, 0
			for i := range models {
				for _, rep := range deals[i] {
					if models[i] != model {
						continue
					}
					all++
					if loading[rep.ID] || rep.Versions[model] >= named[model]-1 {
						ready++
					}
				}
			}
			return float64(ready) / float64(all)
		}
		seen := map[string]bool{}
		started, first := false, ""
		for _, c := range due {
			if seen[c.replica.ID] {
				t.Fatalf("%s twice", c.replica.ID)
			}
			seen[c.replica.ID] = true
			if loading[c.replica.ID] {
				if started {
					t.Fatalf("%s is under way and stands behind one that is not", c.replica.ID)
				}
				continue
			}
			if !started {
				started, first = true, c.model
			}
			if usable(first) > usable(c.model)+1e-9 {
				t.Fatalf("%s comes first with %.2f usable, %s has %.2f", first, usable(first), c.model, usable(c.model))
			}
		}
	})
}
