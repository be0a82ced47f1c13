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

// rounds plays changes, as many at a time as the width allows, against a source
// that bears bears of them at a time, and returns the width at the end.
func rounds(w *loadLimiter, count, waiting, bears int) int {
	now := testStart
	if w.decreasedAt.After(now) {
		now = w.decreasedAt
	}
	for i := 0; i < count; i++ {
		places := min(w.maxLoads(), waiting)
		took := time.Second
		if places > bears {
			took = took * time.Duration(places) / time.Duration(bears)
		}
		for j := 0; j < places; j++ {
			w.waiting = waiting
			w.record(now, now.Add(took))
		}
		now = now.Add(took)
	}
	return w.maxLoads()
}

func TestFewWaitingStayNarrow(t *testing.T) {
	is := is.New(t)
	is.Equal(rounds(&loadLimiter{}, 20, 8, 100), minConcurrentLoads)
}

// Hundreds of engines are brought along within some rounds: two at a time
// there were once 46 changes in all at 300 engines.
func TestManyWaitingWiden(t *testing.T) {
	is := is.New(t)
	is.True(rounds(&loadLimiter{}, 5, 300, 1000) >= 32)
}

func TestTheWidthStaysNearWhatTheSourceBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bears := rapid.IntRange(2, 50).Draw(t, "bears")
		w := &loadLimiter{}
		rounds(w, 10, 1000, bears)
		most := 0
		for i := 0; i < 20; i++ {
			most = max(most, rounds(w, 1, 1000, bears))
		}
		if most > 4*bears+2 {
			t.Fatalf("%d at a time, the source bears %d", most, bears)
		}
	})
}

// A guess that is far too long is not followed: only looks can find it wrong.
func TestAChangeIsLookedAtAsSoonAsItMayBeDone(t *testing.T) {
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

// Changes that are found slow together are one sign.
func TestChangesSlowedTogetherNarrowOnce(t *testing.T) {
	is := is.New(t)
	w := &loadLimiter{}
	now := testStart
	for range 8 {
		w.waiting = 40
		w.record(now, now.Add(time.Second))
		now = now.Add(time.Second)
	}
	before := w.maxLoads()
	is.True(before >= 7)
	for range before {
		w.record(now, now.Add(5*time.Second))
	}
	is.Equal(w.maxLoads(), int(decreaseFactor*float64(before)))
	now = now.Add(5 * time.Second)
	w.record(now, now.Add(5*time.Second)) // the next one is another
	is.Equal(w.maxLoads(), int(decreaseFactor*decreaseFactor*float64(before)))
}

// A wait that lasted far longer than it should says that the process stood still.
func TestAStallIsNoticed(t *testing.T) {
	is := is.New(t)
	for took, stalled := range map[time.Duration]bool{
		pollInterval: false, pollInterval + maxWaitOverrun: false, pollInterval + maxWaitOverrun + time.Millisecond: true, 0: false,
	} {
		watch := stallDetector{}
		watch.record(pollInterval, took)
		is.Equal(watch.stalled, stalled)
		watch.record(pollInterval, pollInterval) // what was noted stays
		is.Equal(watch.stalled, stalled)
	}
}

// A machine that was suspended in a wait stood still as well, though no timer saw it.
func TestASuspensionIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clocktest.New()
		watch := stallDetector{now: clock.Now}
		watch.wait(t.Context(), pollInterval)
		is.True(!watch.stalled)
		time.AfterFunc(pollInterval/2, func() { clock.Suspend(4 * time.Second) })
		watch.wait(t.Context(), pollInterval)
		is.True(watch.stalled)
	})
}
