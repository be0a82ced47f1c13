package modelsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
)

// enginesOf returns engines of a model that hold the given versions.
func enginesOf(model string, versions ...int64) []replica.Replica {
	var engines []replica.Replica
	for i, version := range versions {
		engines = append(engines, replica.Replica{Entry: replica.Entry{ID: fmt.Sprintf("%s-%d", model, i), Versions: map[string]int64{model: version}}})
	}
	return engines
}

func maxLagOfOne(string) int64 { return 1 }

// A model without usable engines must not wait for other models that have some.
func TestModelWithoutUsableEnginesComesFirst(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c"}
	newestVersions := map[string]int64{"a": 4, "b": 4, "c": 3}
	assignments := [][]replica.Replica{enginesOf("a", 3, 3, 2), enginesOf("b", 3, 2, 2), enginesOf("c", 1, 1, 1)}
	due := listDueChanges(assignments, models, newestVersions, maxLagOfOne, engine.ContinueRunning, idle)
	var order []string
	for _, c := range due[:3] {
		order = append(order, c.model)
	}
	is.Equal(order, []string{"c", "b", "c"})
}

// If all models have equally many usable engines, the one with the fewest at its newest version
// comes first.
func TestModelWithFewestNewestEnginesComesFirst(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b"}
	newestVersions := map[string]int64{"a": 2, "b": 2}
	assignments := [][]replica.Replica{enginesOf("a", 2, 2, 1), enginesOf("b", 1, 1, 1)}
	due := listDueChanges(assignments, models, newestVersions, maxLagOfOne, engine.ContinueRunning, idle)
	is.Equal(due[0].model, "b")
}

// Each change is listed once, those in progress come first, and the first to start is for a model
// with no greater fraction of usable engines than any other that has a due change.
func TestChangesStartForModelWithFewestUsableEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		newestVersions := map[string]int64{}
		assignments := make([][]replica.Replica, len(models))
		loading := map[string]bool{}
		for i, model := range models {
			newestVersions[model] = rapid.Int64Range(1, 6).Draw(t, "newest version")
			versions := rapid.SliceOfN(rapid.Int64Range(1, newestVersions[model]), 1, 4).Draw(t, "versions")
			assignments[i] = enginesOf(model, versions...)
			for _, rep := range assignments[i] {
				loading[rep.ID] = rep.Versions[model] < newestVersions[model] && rapid.IntRange(0, 3).Draw(t, "loading") == 0
			}
		}
		due := listDueChanges(assignments, models, newestVersions, maxLagOfOne, engine.ContinueRunning, func(id string) bool { return loading[id] })
		usable := func(model string) float64 {
			total, ready := 0, 0
			for i := range models {
				for _, rep := range assignments[i] {
					if models[i] != model {
						continue
					}
					total++
					if loading[rep.ID] || rep.Versions[model] >= newestVersions[model]-1 {
						ready++
					}
				}
			}
			return float64(ready) / float64(total)
		}
		seen := map[string]bool{}
		started, firstModel := false, ""
		for _, c := range due {
			if seen[c.replica.ID] {
				t.Fatalf("%s is listed twice", c.replica.ID)
			}
			seen[c.replica.ID] = true
			if loading[c.replica.ID] {
				if started {
					t.Fatalf("%s is in progress and listed after one that is not", c.replica.ID)
				}
				continue
			}
			if !started {
				started, firstModel = true, c.model
			}
			if usable(firstModel) > usable(c.model)+1e-9 {
				t.Fatalf("%s comes first with %.2f usable, %s has %.2f", firstModel, usable(firstModel), c.model, usable(c.model))
			}
		}
	})
}
