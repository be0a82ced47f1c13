package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/batch"
	"woodworks/internal/replica"
	"woodworks/internal/route"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

const testModel = "m"

func testPending(minVersion int64) pending {
	made := &job{submission: &batch.Submission{Model: testModel, MinVersion: minVersion}, groups: map[string]string{}}
	return pending{job: made, item: &item{}, route: &route.Route{}}
}

func drawReplica(t *rapid.T, id string, now time.Time) replica.Replica {
	made := replica.Replica{
		Entry:    replica.Entry{ID: id, Slots: 4, Zone: rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")},
		InFlight: rapid.IntRange(0, 5).Draw(t, "in flight"),
		Pace:     time.Duration(rapid.IntRange(0, 100).Draw(t, "pace")) * time.Millisecond,
	}
	made.Versions = map[string]int64{testModel: rapid.Int64Range(1, 4).Draw(t, "version")}
	if rapid.Bool().Draw(t, "avoid") {
		made.AvoidUntil = now.Add(time.Second)
	}
	return made
}

// An item never goes to a replica without room, to be avoided, or with weights
// that are too old; and it goes somewhere if any replica will do.
func TestItemsGoWhereTheyMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		each := testPending(rapid.Int64Range(1, 4).Draw(t, "least version"))
		var candidates []replica.Replica
		for i := 0; i < rapid.IntRange(0, 6).Draw(t, "replicas"); i++ {
			candidates = append(candidates, drawReplica(t, string(rune('a'+i)), now))
		}
		may := map[int]bool{}
		for i, candidate := range candidates {
			if candidate.InFlight < candidate.Slots && !now.Before(candidate.AvoidUntil) && candidate.Versions[testModel] >= each.job.submission.MinVersion {
				may[i] = true
			}
		}
		chosen := choose(candidates, each, usualPace(candidates), "z", now)
		if (chosen >= 0) != (len(may) > 0) || chosen >= 0 && !may[chosen] {
			t.Fatalf("chose %d of %v", chosen, may)
		}
	})
}

func TestSlowReplicasAreToldFromNoise(t *testing.T) {
	is := is.New(t)
	paced := func(id string, pace time.Duration) replica.Replica {
		return replica.Replica{Entry: replica.Entry{ID: id, Slots: 4}, Pace: pace}
	}
	candidates := []replica.Replica{paced("a", 30*time.Millisecond), paced("b", 33*time.Millisecond), paced("c", 105*time.Millisecond), paced("new", 0)}
	pace := usualPace(candidates)
	is.Equal(slowReplicas(candidates, pace), map[string]bool{"c": true})
	is.True(candidates[choose(candidates, testPending(0), pace, "", time.Now())].ID != "c")
	is.Equal(usualPace(nil), time.Duration(0))
}

func TestTheLongestItemsStartFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []*item
		for i, cost := range rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 20).Draw(t, "costs") {
			items = append(items, &item{index: i, cost: cost})
		}
		rankItems(items)
		ranks := map[int]bool{}
		for _, first := range items {
			ranks[first.rank] = true
			for _, second := range items {
				if first.cost > second.cost && first.rank > second.rank {
					t.Fatalf("an item of %d after one of %d", first.cost, second.cost)
				}
			}
		}
		if len(ranks) != len(items) {
			t.Fatal("two items have one rank")
		}
	})
}

func TestMoreUrgentRoutesAndOlderBatchesComeFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	urgent, usual, later := testPending(0), testPending(0), testPending(0)
	urgent.route = &route.Route{Priority: 0}
	usual.route, later.route = &route.Route{Priority: 1}, &route.Route{Priority: 1}
	urgent.job.adoptedAt, usual.job.adoptedAt, later.job.adoptedAt = now.Add(time.Minute), now, now.Add(time.Second)
	is.True(before(urgent, usual))
	is.True(before(usual, later))
	is.True(!before(later, usual))
}

// A split route gives each part its weight's share of the items, also where
// they come in a few large batches (the users' rule on weights, of their news).
func TestASplitRouteDividesTheItemsOfOneBatch(t *testing.T) {
	is := is.New(t)
	split := &route.Route{Kind: route.Batch, Shares: []route.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	const items = 400
	counts := map[string]int{}
	for i := range items {
		counts[serviceOf(split, &item{Item: batch.Item{ID: fmt.Sprintf("%016x", i*7919)}})]++
	}
	is.True(counts["a"] > items*65/100)
	is.True(counts["a"] < items*85/100)
	is.Equal(counts["a"]+counts["b"], items)
}
