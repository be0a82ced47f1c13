package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal/journaltest"
)

// Guards against a reward call that is never sent because clients fill the service for good.
func TestARewardCallDoesNotWaitForRoomForGood(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwnerOfTwo(ctx, t, log)
		j := markRunning(owner, 1)
		var sent atomic.Int64
		owner.forwarder.Observe = func(string, string, time.Duration) { sent.Add(1) }
		engine := owner.table.Replicas("s")[0]
		for range engine.Slots {
			owner.table.RequestStarted(engine.Incarnation())
		}
		j.items[0].Reward = &batch.Reward{ID: "r", Host: "h", Path: "/p/r"}
		go func() { _, _ = j.reward(j.items[0]) }()
		time.Sleep(maxRewardRoomWait - time.Millisecond)
		is.Equal(sent.Load(), int64(0))
		time.Sleep(rewardRoomDelay + time.Millisecond)
		is.True(sent.Load() > 0)
	})
}
