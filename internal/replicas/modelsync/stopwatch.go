package modelsync

import (
	"context"
	"time"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
)

// stallSlack is how much longer than asked for a wait may last in a process that runs:
// timers of machines that are slowed five times are late by less.
const stallSlack = 400 * time.Millisecond

// stopwatch notes whether the process stood still in one of its waits. What was timed
// meanwhile says nothing of the engines: a holder that was frozen under some changes would
// take all of them for slowed, and narrow the width.
type stopwatch struct {
	// now also counts the time in which the machine is suspended.
	now     bootclock.Clock
	stalled bool
}

func (s *stopwatch) pause(ctx context.Context, wait time.Duration) {
	began := s.now()
	periodic.Pause(ctx, wait)
	s.note(wait, s.now().Sub(began))
}

// note takes a wait into account.
func (s *stopwatch) note(wait, took time.Duration) {
	s.stalled = s.stalled || took > wait+stallSlack
}
