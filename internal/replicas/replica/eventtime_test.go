package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPace(t *testing.T) {
	is := is.New(t)
	var p eventTimeEstimate
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	run := func(events int, gap time.Duration) {
		for range events {
			now = now.Add(gap)
			p.add(gap, now)
		}
	}
	is.Equal(p.value(now), time.Duration(0))
	run(1, 40*time.Millisecond)
	is.Equal(p.value(now), time.Duration(0))
	run(minEvents, 40*time.Millisecond)
	is.Equal(p.value(now), 40*time.Millisecond)
	run(2*eventWindow, 40*time.Millisecond)
	is.Equal(p.value(now), 40*time.Millisecond)
	// A pause of all its texts, as while weights are changed, says nothing of it.
	run(12, 400*time.Millisecond)
	is.Equal(p.value(now), 40*time.Millisecond)
	run(eventWindow, 40*time.Millisecond)
	// A replica that turns slow shows within a few events.
	run(eventWindow, 140*time.Millisecond)
	is.True(p.value(now) > 90*time.Millisecond)
	// Left alone, it is taken to be as good as it was: it gets work again.
	now = now.Add(eventTimeMaxAge + time.Millisecond)
	is.Equal(p.value(now), 40*time.Millisecond)
	// After that its pace is measured anew.
	run(minEvents, 60*time.Millisecond)
	is.Equal(p.value(now), 60*time.Millisecond)
	// One that is always slower stays told apart while it has nothing to do.
	for range 3 {
		run(eventWindow, 60*time.Millisecond)
		now = now.Add(minEventTimeWindow + time.Second)
	}
	is.Equal(p.value(now), 60*time.Millisecond)
}
