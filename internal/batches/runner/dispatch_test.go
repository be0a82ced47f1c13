package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/daemon/testseed"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

func init() { testseed.Fix() }

// A split route divides the items by weight even if they come in a few large batches.
func TestSplitRouteDividesItemsOfOneBatch(t *testing.T) {
	is := is.New(t)
	split := &route.Route{
		Kind:   route.Batch,
		Shares: []route.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}},
	}
	const items = 400
	counts := map[string]int{}
	for i := range items {
		counts[serviceOf(split, &item{Item: batch.Item{ID: fmt.Sprintf("%016x", i*7919)}})]++
	}
	is.True(counts["a"] > items*65/100)
	is.True(counts["a"] < items*85/100)
	is.Equal(counts["a"]+counts["b"], items)
}

// A restarted engine has the same id but has not cached the group's prompt.
func TestGroupEngineIsBoundToIncarnation(t *testing.T) {
	is := is.New(t)
	earlier := replica.Replica{Entry: replica.Entry{ID: "a", StartedAt: time.UnixMilli(1)}}
	restarted := replica.Replica{Entry: replica.Entry{ID: "a", StartedAt: time.UnixMilli(2)}}
	other := replica.Replica{Entry: replica.Entry{ID: "b"}}
	items := func() []scheduling.Item {
		return []scheduling.Item{
			{GroupEngine: string(earlier.Incarnation())},
			{GroupEngine: string(other.Incarnation())},
			{},
		}
	}
	engines := func(v view) (named []string) {
		v.resolveGroupEngines()
		for _, each := range v.Items {
			named = append(named, each.GroupEngine)
		}
		return named
	}
	is.Equal(engines(view{Snapshot: scheduling.Snapshot{Items: items()}, replicas: []replica.Replica{earlier, other}}),
		[]string{"a", "b", ""})
	is.Equal(engines(view{Snapshot: scheduling.Snapshot{Items: items()}, replicas: []replica.Replica{restarted, other}}),
		[]string{"", "b", ""})
}
