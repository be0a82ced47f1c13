package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventTimeEstimate(t *testing.T) {
	is := is.New(t)
	var e eventTimeEstimate
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	run := func(events int, gap time.Duration) {
		for range events {
			now = now.Add(gap)
			e.add(gap, now)
		}
	}
	is.Equal(e.value(now), time.Duration(0))
	run(1, 40*time.Millisecond)
	is.Equal(e.value(now), time.Duration(0))
	run(minEvents, 40*time.Millisecond)
	is.Equal(e.value(now), 40*time.Millisecond)
	run(2*eventWindow, 40*time.Millisecond)
	is.Equal(e.value(now), 40*time.Millisecond)
	// A delay of all streams, such as a change of weights, does not affect the median.
	run(12, 400*time.Millisecond)
	is.Equal(e.value(now), 40*time.Millisecond)
	run(eventWindow, 40*time.Millisecond)
	// A replica that slows down is detected within one window.
	run(eventWindow, 140*time.Millisecond)
	is.True(e.value(now) > 90*time.Millisecond)
	// Without new events the lowest recent median is used, so that the replica gets work again.
	now = now.Add(eventTimeMaxAge + time.Millisecond)
	is.Equal(e.value(now), 40*time.Millisecond)
	// New events start a new estimate.
	run(minEvents, 60*time.Millisecond)
	is.Equal(e.value(now), 60*time.Millisecond)
	// A replica that is always slower keeps its estimate while it is idle.
	for range 3 {
		run(eventWindow, 60*time.Millisecond)
		now = now.Add(minEventTimeWindow + time.Second)
	}
	is.Equal(e.value(now), 60*time.Millisecond)
}
