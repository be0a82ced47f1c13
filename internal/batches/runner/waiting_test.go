package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/batches/batch"
)

// Guards against an item that waits in silence, and against a flood of lines where all items wait.
func TestWaitsAreLoggedWithinABudget(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	j := &job{r: &Runner{}, logger: zap.New(core)}
	began := time.Unix(1_764_700_000, 0)
	const items = 100
	for i := range items {
		it := &item{Item: batch.Item{ID: fmt.Sprint("i", i)}}
		it.timing.since = began
		j.items = append(j.items, it)
	}
	note := func(after time.Duration) int {
		before := logs.Len()
		for _, it := range j.items {
			j.r.noteWait(j, it, waitRetryDelay, began.Add(after))
		}
		return logs.Len() - before
	}
	is.Equal(note(firstWaitLine/2), 0)
	is.Equal(note(firstWaitLine), waitLinesPerSecond)
	is.Equal(note(firstWaitLine), 0) // each wait was noted
	is.Equal(note(2*firstWaitLine), waitLinesPerSecond)
	is.Equal(logs.All()[waitLinesPerSecond].ContextMap()["left_out"], int64(items-waitLinesPerSecond))
	is.Equal(logs.All()[0].ContextMap()["reason"], string(waitRetryDelay))
}
