package modelsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
)

// speedUnknown returns no event time for any engine.
func speedUnknown(replica.Replica) (eventTime, age time.Duration) { return 0, 0 }

func init() { testseed.Fix() }

// idle reports no engine as loading.
func idle(string) bool { return false }

func replicasAt(versions ...int64) []replica.Replica {
	var replicas []replica.Replica
	for i, version := range versions {
		replicas = append(replicas, replica.Replica{Entry: replica.Entry{ID: fmt.Sprintf("r%02d", i), Service: "s", Slots: 4, Versions: map[string]int64{"m": version}}})
	}
	return replicas
}

// No replica may be too old for the batches of the next version, and each is changed only once
// per maximum lag.
func TestReplicasStayWithinTheLagWithFewChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lag := rapid.Int64Range(0, 4).Draw(t, "lag")
		count := rapid.IntRange(1, 9).Draw(t, "replicas")
		replicas := replicasAt(make([]int64, count)...)
		for i := range replicas {
			replicas[i].Versions["m"] = 1
		}
		changes := 0
		const versions = 24
		for version := int64(2); version <= versions; version++ {
			for _, rep := range replicas {
				if behind := version - rep.Versions["m"]; behind > max(lag, 1) {
					t.Fatalf("version %d when %d is the newest, lag %d", rep.Versions["m"], version, lag)
				}
			}
			for _, c := range listModelChanges(replicas, "m", version, lag, engine.ContinueRunning) {
				c.replica.Versions["m"] = version
				changes++
			}
		}
		maxChanges := versions * (count/int(max(lag, 1)) + 1)
		if changes > maxChanges {
			t.Fatalf("%d changes of %d replicas in %d versions with lag %d", changes, count, versions, lag)
		}
	})
}

func TestAllotmentFollowsTheWork(t *testing.T) {
	is := is.New(t)
	is.Equal(computeAllotment([]float64{14, 34, 38}, 9), []int{2, 3, 4})
	is.Equal(computeAllotment([]float64{0, 0, 0}, 9), []int{3, 3, 3})
	is.Equal(computeAllotment([]float64{1, 1000}, 4), []int{1, 3})
	is.Equal(computeAllotment([]float64{1, 1, 1}, 2), []int{1, 1, 0})
	is.True(isNearIdeal([]int{2, 3, 4}, []float64{15, 33, 38}))
	is.True(!isNearIdeal([]int{3, 3, 3}, []float64{14, 34, 38}))
}

func TestAllotmentCoversAllReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 6).Draw(t, "work")
		replicas := rapid.IntRange(0, 40).Draw(t, "replicas")
		allotment := computeAllotment(work, replicas)
		if total(allotment) != replicas {
			t.Fatalf("allotment %v does not add up to %d replicas", allotment, replicas)
		}
		for _, share := range allotment {
			if share == 0 && replicas >= len(work) {
				t.Fatalf("allotment %v has a model without a replica", allotment)
			}
		}
	})
}

func TestEachModelHasAReplicaIfThereAreFewerReplicas(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c"}
	newestVersions := map[string]int64{"a": 2, "b": 2, "c": 2}
	due := listDueChanges(assignByID(replicasAt(1, 1), models, computeAllotment(make([]float64, 3), 2), nil), models, newestVersions, func(string) int64 { return 0 }, engine.ContinueRunning, idle)
	changed := map[string]bool{}
	for _, c := range due {
		changed[c.model] = true
	}
	is.Equal(len(changed), 3)
}

func TestEnginesFurthestBehindChangeFirst(t *testing.T) {
	is := is.New(t)
	models := []string{"m"}
	due := listDueChanges(assignByID(replicasAt(5, 3, 4, 6), models, []int{4}, nil), models, map[string]int64{"m": 6}, func(string) int64 { return 1 }, engine.ContinueRunning, idle)
	is.Equal(len(due), 3)
	is.Equal(due[0].replica.ID, "r01")
	is.Equal(due[1].replica.ID, "r02")
}

// Guards against replicas that change their model whenever another one comes or goes.
func TestReplicasKeepTheirModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		work := rapid.SliceOfN(rapid.Float64Range(1, 100), 3, 3).Draw(t, "work")
		all := replicasAt(make([]int64, rapid.IntRange(4, 12).Draw(t, "replicas"))...)
		assigned := map[string]string{}
		recordAssignments := func(assignments [][]replica.Replica) int {
			count := 0
			for i, model := range models {
				for _, rep := range assignments[i] {
					assigned[rep.ID] = model
					count++
				}
			}
			return count
		}
		if recordAssignments(assignByID(all, models, computeAllotment(work, len(all)), assigned)) != len(all) {
			t.Fatal("a replica has no model or several")
		}
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
		remaining := append(append([]replica.Replica{}, all[:removed]...), all[removed+1:]...)
		allotment := computeAllotment(work, len(remaining))
		previous := map[string]string{}
		for id, model := range assigned {
			previous[id] = model
		}
		assignments := assignByID(remaining, models, allotment, assigned)
		recordAssignments(assignments)
		moved := 0
		for _, rep := range remaining {
			if assigned[rep.ID] != previous[rep.ID] {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("%d replicas changed their model when one was removed", moved)
		}
	})
}

// A new holder of the lease must derive the assignment from the versions that replicas hold.
func TestNewHolderKeepsTheAssignment(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b"}
	replicas := replicasAt(0, 0, 0, 0)
	for i, versions := range []map[string]int64{{"a": 2, "b": 7}, {"a": 8, "b": 1}, {"a": 1, "b": 6}, {"a": 7, "b": 2}} {
		replicas[i].Versions = versions
	}
	assignments := assignByID(replicas, models, []int{2, 2}, nil)
	is.Equal(assignments[0][0].ID, "r01")
	is.Equal(assignments[0][1].ID, "r03")
	is.Equal(assignments[1][0].ID, "r00")
}

// A deployment with many more engines than its batches fill must not load each version into all
// of them.
func TestBatchesLimitTheEnginesOfAModel(t *testing.T) {
	is := is.New(t)
	is.Equal(enginesNeeded(48, 8), 24)
	is.Equal(enginesNeeded(1, 8), minEnginesPerModel)
	is.Equal(enginesNeeded(100, 0), 50)
	models := []string{"m"}
	demands := demand.NewState(zap.NewNop())
	encoded, err := cbor.Marshal(demand.Demand{MinVersion: 1, NewestVersion: 3, Tokens: 100, Items: 16})
	is.NoErr(err)
	demands.Apply(journal.KeyedRecord{Key: "m", Value: encoded})
	syncer := New(Deps{Holder: "h", Demands: demands}, zap.NewNop())
	replicas := replicasAt(make([]int64, 50)...)
	assignments := syncer.assignReplicas("s", models, replicas)
	is.Equal(len(assignments[0]), enginesNeeded(16, replicas[0].Slots))
	is.Equal(len(syncer.assignReplicas("s", models, replicas[:3])[0]), 3)
}

func TestBackoffGrowsWithFailures(t *testing.T) {
	is := is.New(t)
	is.Equal(changeBackoff.After(1), changeBackoff.First)
	is.Equal(changeBackoff.After(3), 4*changeBackoff.First)
	is.Equal(changeBackoff.After(99), changeBackoff.Longest)
}

// States of engines must not accumulate, as ids are rarely reused, but they must outlive a short
// absence: an outage of the journal may empty the replica list.
func TestStatesOfLongUnlistedEnginesAreRemoved(t *testing.T) {
	is := is.New(t)
	syncer := New(Deps{Holder: "d", Table: replica.NewTable(time.Second, zap.NewNop()), Demands: demand.NewState(zap.NewNop()), EventTime: speedUnknown}, zap.NewNop())
	start := time.Now()
	syncer.updateListed(replicasAt(1, 1, 1), start)
	syncer.engines["r00"].assignedModel, syncer.engines["r01"].loading = "m", true
	syncer.removeExpired(start.Add(unlistedStateTTL))
	is.Equal(len(syncer.engines), 3)
	is.Equal(syncer.assignedModels(replicasAt(1)), map[string]string{"r00": "m"})
	syncer.updateListed(replicasAt(1, 1, 1)[2:], start.Add(unlistedStateTTL))
	syncer.removeExpired(start.Add(unlistedStateTTL + time.Second))
	is.Equal(len(syncer.engines), 2) // the listed one, and one with a change in progress
}
