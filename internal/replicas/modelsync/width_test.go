package modelsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pgregory.net/rapid"
	"woodworks/internal/daemon/bootclock/clocktest"
)

var testStart = time.Unix(1_800_000_000, 0)

// simulateLoads records loads from a source that carries the given number of them at full speed,
// as many at a time as the limit allows, in count rounds. It returns the limit at the end.
func simulateLoads(limiter *loadLimiter, count, waiting, capacity int) int {
	now := testStart
	if limiter.decreasedAt.After(now) {
		now = limiter.decreasedAt
	}
	for i := 0; i < count; i++ {
		loads := min(limiter.maxLoads(), waiting)
		took := time.Second
		if loads > capacity {
			took = took * time.Duration(loads) / time.Duration(capacity)
		}
		for j := 0; j < loads; j++ {
			limiter.waiting = waiting
			limiter.record(now, now.Add(took))
		}
		now = now.Add(took)
	}
	return limiter.maxLoads()
}

func TestLimitStaysLowWithFewWaiting(t *testing.T) {
	is := is.New(t)
	is.Equal(simulateLoads(&loadLimiter{}, 20, 8, 100), minConcurrentLoads)
}

// Hundreds of engines must not be changed two at a time.
func TestLimitGrowsWithManyWaiting(t *testing.T) {
	is := is.New(t)
	is.True(simulateLoads(&loadLimiter{}, 5, 300, 1000) >= 32)
}

func TestLimitStaysNearTheSourceCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(2, 50).Draw(t, "capacity")
		limiter := &loadLimiter{}
		simulateLoads(limiter, 10, 1000, capacity)
		maxLoads := 0
		for i := 0; i < 20; i++ {
			maxLoads = max(maxLoads, simulateLoads(limiter, 1, 1000, capacity))
		}
		if maxLoads > 4*capacity+2 {
			t.Fatalf("limit is %d, source capacity is %d", maxLoads, capacity)
		}
	})
}

// Without a bound, an overestimated load time would never be corrected, as only a poll can show
// it.
func TestLoadTimeEstimateIsBounded(t *testing.T) {
	is := is.New(t)
	syncer := &Syncer{expectedLoadTime: initialLoadTime}
	is.Equal(syncer.estimateLoadTime(), initialLoadTime)
	for range 4 {
		syncer.recordLoadTime(testStart, testStart.Add(time.Second))
	}
	for range 8 {
		syncer.recordLoadTime(testStart, testStart.Add(5*time.Second))
	}
	is.True(syncer.expectedLoadTime > 3*time.Second)
	is.Equal(syncer.estimateLoadTime(), time.Duration(slowLoadRatio*float64(time.Second)))
}

// Loads with one cause of slowness must not lower the limit several times.
func TestLoadsSlowedTogetherLowerTheLimitOnce(t *testing.T) {
	is := is.New(t)
	limiter := &loadLimiter{}
	now := testStart
	for range 8 {
		limiter.waiting = 40
		limiter.record(now, now.Add(time.Second))
		now = now.Add(time.Second)
	}
	before := limiter.maxLoads()
	is.True(before >= 7)
	for range before {
		limiter.record(now, now.Add(5*time.Second))
	}
	is.Equal(limiter.maxLoads(), int(decreaseFactor*float64(before)))
	now = now.Add(5 * time.Second)
	limiter.record(now, now.Add(5*time.Second)) // a load begun after the decrease counts again
	is.Equal(limiter.maxLoads(), int(decreaseFactor*decreaseFactor*float64(before)))
}

// A wait that ends much too late means that the process was stalled.
func TestStallIsDetected(t *testing.T) {
	is := is.New(t)
	for took, stalled := range map[time.Duration]bool{
		pollInterval: false, pollInterval + maxWaitOverrun: false, pollInterval + maxWaitOverrun + time.Millisecond: true, 0: false,
	} {
		detector := stallDetector{}
		detector.record(pollInterval, took)
		is.Equal(detector.stalled, stalled)
		detector.record(pollInterval, pollInterval) // a stall stays recorded
		is.Equal(detector.stalled, stalled)
	}
}

// A suspension of the machine during a wait is a stall, though timers do not see it.
func TestSuspensionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clocktest.New()
		detector := stallDetector{now: clock.Now}
		detector.wait(t.Context(), pollInterval)
		is.True(!detector.stalled)
		time.AfterFunc(pollInterval/2, func() { clock.Suspend(4 * time.Second) })
		detector.wait(t.Context(), pollInterval)
		is.True(detector.stalled)
	})
}
