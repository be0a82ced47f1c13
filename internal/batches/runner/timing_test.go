package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/batches/batch"
)

// The account of a batch is that of the item listed last, and its parts add up.
func TestTimeBreakdownIsOfItemListedLast(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	parts := map[string]time.Duration{}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := &Runner{observe: func(part string, took time.Duration) { parts[part] = took }}
	j := &job{
		r:          owner,
		submission: &batch.Submission{ID: "b", AcceptedAtMs: start.UnixMilli()},
		adoptedAt:  start.Add(time.Second),
		logger:     zap.New(core),
	}
	walk := func(id string, steps ...time.Duration) {
		it := &item{
			Item:   batch.Item{ID: id},
			state:  itemListed,
			text:   text{lastEvent: 10},
			timing: timing{since: j.adoptedAt},
		}
		now := j.adoptedAt
		for i, took := range steps {
			now = now.Add(took)
			it.timing.enter(phaseWaiting+phase(i)+1, now)
		}
		j.items = append(j.items, it)
	}
	walk("early", 1*time.Second, time.Second, time.Second, time.Second, time.Second)
	walk("last", 1*time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 5*time.Second)
	j.items = append(j.items, &item{Item: batch.Item{ID: "open"}, state: itemRunning})
	j.logTimeBreakdown("ended", start.Add(20*time.Second))
	is.Equal(lines.Len(), 1)
	told := lines.All()[0].ContextMap()
	is.Equal(told["last_item"], "last")
	is.Equal(told["listed"], int64(2))
	is.Equal(told["event_time"], 300*time.Millisecond)
	is.Equal(parts, map[string]time.Duration{
		"waiting": time.Second, "prompt": 2 * time.Second, "making": 3 * time.Second, "scoring": 4 * time.Second,
		"listing": 5 * time.Second, "until left": 4 * time.Second,
	})
	sum := told["before"].(time.Duration)
	for _, took := range parts {
		sum += took
	}
	is.Equal(sum, 20*time.Second)
}

// An item whose run failed waits again: the time counts as waiting.
func TestPhaseTimesOfAttemptsAddUp(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := timing{since: start}
	for i, next := range []phase{phasePrompt, phaseWaiting, phasePrompt, phaseGenerating, phaseScoring} {
		a.enter(next, start.Add(time.Duration(i+1)*time.Second))
	}
	is.Equal(a.spent[phaseWaiting], 2*time.Second)
	is.Equal(a.spent[phasePrompt], 2*time.Second)
	is.Equal(a.spent[phaseGenerating], time.Second)
}
