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

// The time breakdown describes the item whose result came last, and its phases add up to the
// total.
func TestTimeBreakdownIsOfItemListedLast(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	phases := map[string]time.Duration{}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := &Runner{observe: func(phase string, took time.Duration) { phases[phase] = took }}
	j := &job{
		r:          owner,
		submission: &batch.Submission{ID: "b", AcceptedAtMs: start.UnixMilli()},
		adoptedAt:  start.Add(time.Second),
		logger:     zap.New(core),
	}
	addListed := func(id string, steps ...time.Duration) {
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
	addListed("early", 1*time.Second, time.Second, time.Second, time.Second, time.Second)
	addListed("last", 1*time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 5*time.Second)
	j.items = append(j.items, &item{Item: batch.Item{ID: "open"}, state: itemRunning})
	j.logTimeBreakdown("ended", start.Add(20*time.Second))
	is.Equal(lines.Len(), 1)
	logged := lines.All()[0].ContextMap()
	is.Equal(logged["last_item"], "last")
	is.Equal(logged["listed"], int64(2))
	is.Equal(logged["event_time"], 300*time.Millisecond)
	is.Equal(phases, map[string]time.Duration{
		"waiting": time.Second, "prompt": 2 * time.Second, "making": 3 * time.Second, "scoring": 4 * time.Second,
		"listing": 5 * time.Second, "until left": 4 * time.Second,
	})
	sum := logged["before"].(time.Duration)
	for _, took := range phases {
		sum += took
	}
	is.Equal(sum, 20*time.Second)
}

// The time between attempts counts as waiting.
func TestPhaseTimesOfAttemptsAddUp(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spent := timing{since: start}
	for i, next := range []phase{phasePrompt, phaseWaiting, phasePrompt, phaseGenerating, phaseScoring} {
		spent.enter(next, start.Add(time.Duration(i+1)*time.Second))
	}
	is.Equal(spent.spent[phaseWaiting], 2*time.Second)
	is.Equal(spent.spent[phasePrompt], 2*time.Second)
	is.Equal(spent.spent[phaseGenerating], time.Second)
}
