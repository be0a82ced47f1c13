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

// speedUnknown is the event time of engines of which nothing is known.
func speedUnknown(replica.Replica) (eventTime, age time.Duration) { return 0, 0 }

func init() { testseed.Fix() }

// idle says that no engine changes.
func idle(string) bool { return false }

func replicasAt(versions ...int64) []replica.Replica {
	var made []replica.Replica
	for i, version := range versions {
		made = append(made, replica.Replica{Entry: replica.Entry{ID: fmt.Sprintf("r%02d", i), Service: "s", Slots: 4, Versions: map[string]int64{"m": version}}})
	}
	return made
}

// Changed as soon as they are due, no replica is ever older than the batches of
// the next version allow, and each changes once in as many versions as the lag.
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
					t.Fatalf("version %d when %d is named, lag %d", rep.Versions["m"], version, lag)
				}
			}
			for _, c := range changesOfModel(replicas, "m", version, lag, engine.ContinueRunning) {
				c.replica.Versions["m"] = version
				changes++
			}
		}
		most := versions * (count/int(max(lag, 1)) + 1)
		if changes > most {
			t.Fatalf("%d changes of %d replicas in %d versions, lag %d", changes, count, versions, lag)
		}
	})
}

func TestSharesFollowTheWork(t *testing.T) {
	is := is.New(t)
	is.Equal(allot([]float64{14, 34, 38}, 9), []int{2, 3, 4})
	is.Equal(allot([]float64{0, 0, 0}, 9), []int{3, 3, 3})
	is.Equal(allot([]float64{1, 1000}, 4), []int{1, 3})
	is.Equal(allot([]float64{1, 1, 1}, 2), []int{1, 1, 0})
	is.True(near([]int{2, 3, 4}, []float64{15, 33, 38}))
	is.True(!near([]int{3, 3, 3}, []float64{14, 34, 38}))
}

func TestSharesDealAllReplicasOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 6).Draw(t, "work")
		replicas := rapid.IntRange(0, 40).Draw(t, "replicas")
		allotment := allot(work, replicas)
		if total(allotment) != replicas {
			t.Fatalf("%v of %d replicas", allotment, replicas)
		}
		for _, share := range allotment {
			if share == 0 && replicas >= len(work) {
				t.Fatalf("a model without a replica: %v", allotment)
			}
		}
	})
}

func TestEachModelHasAReplicaThoughThereAreFewerReplicas(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c"}
	named := map[string]int64{"a": 2, "b": 2, "c": 2}
	due := changesDue(deal(replicasAt(1, 1), models, allot(make([]float64, 3), 2), nil), models, named, func(string) int64 { return 0 }, engine.ContinueRunning, idle)
	changed := map[string]bool{}
	for _, c := range due {
		changed[c.model] = true
	}
	is.Equal(len(changed), 3)
}

func TestChangesComeFurthestBehindFirst(t *testing.T) {
	is := is.New(t)
	models := []string{"m"}
	due := changesDue(deal(replicasAt(5, 3, 4, 6), models, []int{4}, nil), models, map[string]int64{"m": 6}, func(string) int64 { return 1 }, engine.ContinueRunning, idle)
	is.Equal(len(due), 3)
	is.Equal(due[0].replica.ID, "r01")
	is.Equal(due[1].replica.ID, "r02")
}

// Replicas that come and go leave the others' models as they are, as far as the
// shares allow: after a crash, two replicas once changed their model twice within three
// seconds.
func TestReplicasKeepTheirModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		work := rapid.SliceOfN(rapid.Float64Range(1, 100), 3, 3).Draw(t, "work")
		all := replicasAt(make([]int64, rapid.IntRange(4, 12).Draw(t, "replicas"))...)
		before := map[string]string{}
		record := func(deals [][]replica.Replica) int {
			count := 0
			for i, model := range models {
				for _, rep := range deals[i] {
					before[rep.ID] = model
					count++
				}
			}
			return count
		}
		if record(deal(all, models, allot(work, len(all)), before)) != len(all) {
			t.Fatal("a replica is for no model, or for two")
		}
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		rest := append(append([]replica.Replica{}, all[:gone]...), all[gone+1:]...)
		allotment := allot(work, len(rest))
		old := map[string]string{}
		for id, model := range before {
			old[id] = model
		}
		deals := deal(rest, models, allotment, before)
		record(deals)
		moved := 0
		for _, rep := range rest {
			if before[rep.ID] != old[rep.ID] {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("%d replicas changed their model as one went", moved)
		}
	})
}

// A new holder of the lease finds the deal of the one before in the versions.
func TestANewHolderKeepsTheDeal(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b"}
	replicas := replicasAt(0, 0, 0, 0)
	for i, versions := range []map[string]int64{{"a": 2, "b": 7}, {"a": 8, "b": 1}, {"a": 1, "b": 6}, {"a": 7, "b": 2}} {
		replicas[i].Versions = versions
	}
	deals := deal(replicas, models, []int{2, 2}, nil)
	is.Equal(deals[0][0].ID, "r01")
	is.Equal(deals[0][1].ID, "r03")
	is.Equal(deals[1][0].ID, "r00")
}

// A deployment with far more engines than its batches fill keeps only some of
// them at the newest versions: at 300 machines orders once
// cost half of what the day was worth.
func TestOnlyAsManyEnginesAreKeptAsBatchesNeed(t *testing.T) {
	is := is.New(t)
	is.Equal(enough(48, 8), 24)
	is.Equal(enough(1, 8), minEngines)
	is.Equal(enough(100, 0), 50)
	models := []string{"m"}
	demands := demand.NewState(zap.NewNop())
	encoded, err := cbor.Marshal(demand.Demand{MinVersion: 1, Named: 3, Work: 100, Items: 16})
	is.NoErr(err)
	demands.Apply(journal.KeyedRecord{Key: "m", Value: encoded})
	syncer := New(Parts{Holder: "h", Demands: demands}, zap.NewNop())
	replicas := replicasAt(make([]int64, 50)...)
	deals := syncer.dealsOf("s", models, replicas)
	is.Equal(len(deals[0]), enough(16, replicas[0].Slots))
	is.Equal(len(syncer.dealsOf("s", models, replicas[:3])[0]), 3)
}

func TestPausesGrowWithFailures(t *testing.T) {
	is := is.New(t)
	is.Equal(changePauses.After(1), changePauses.First)
	is.Equal(changePauses.After(3), 4*changePauses.First)
	is.Equal(changePauses.After(99), changePauses.Longest)
}

// What is remembered of engines goes with them, as most ids never come again, but
// outlives a short absence: an outage of the journal may empty the list.
func TestEnginesThatAreLongGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	syncer := New(Parts{Holder: "d", Table: replica.NewTable(time.Second, zap.NewNop()), Demands: demand.NewState(zap.NewNop()), EventTime: speedUnknown}, zap.NewNop())
	start := time.Now()
	syncer.noteListed(replicasAt(1, 1, 1), start)
	syncer.notes["r00"].model, syncer.notes["r01"].loading = "m", true
	syncer.forget(start.Add(forgetAfter))
	is.Equal(len(syncer.notes), 3)
	is.Equal(syncer.modelsDealt(replicasAt(1)), map[string]string{"r00": "m"})
	syncer.noteListed(replicasAt(1, 1, 1)[2:], start.Add(forgetAfter))
	syncer.forget(start.Add(forgetAfter + time.Second))
	is.Equal(len(syncer.notes), 2) // the listed one, and one with a change under way
}
