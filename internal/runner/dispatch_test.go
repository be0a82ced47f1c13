package runner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/batch"
	"woodworks/internal/route"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

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
