package results

import "time"

const (
	// minHalvingInterval is the least time between two halvings of a share: reads that are late at the
	// same time are late for one reason, and a question's reads end within answerWithin.
	minHalvingInterval = answerTimeout
	// recoveryTime is how long a share takes to come back from nothing: twice the 15 s
	// within which daemons serve again after a start of all, when the journal has most to send.
	recoveryTime = 30 * time.Second
)

// bandwidthFraction is the part of what a journal grants that it is seen to send: halved when a read is
// late, and rising steadily otherwise.
//
// A journal may send less than it grants, to some or to all, for seconds or for good. Daemons
// that rely on the grant then ask for more than arrives, each read is given up before its end, and
// no question is answered however long they ask.
type bandwidthFraction struct {
	fraction  float64
	updatedAt time.Time
	halvedAt  time.Time
}

func newBandwidthFraction(now time.Time) *bandwidthFraction {
	return &bandwidthFraction{fraction: 1, updatedAt: now}
}

// current returns the part, up to 1. What it regains between two halvings keeps it above 0.
func (s *bandwidthFraction) current(now time.Time) float64 {
	if now.After(s.updatedAt) {
		s.fraction = min(s.fraction+now.Sub(s.updatedAt).Seconds()/recoveryTime.Seconds(), 1)
		s.updatedAt = now
	}
	return s.fraction
}

// noteLate halves the part as a read is noteLate.
func (s *bandwidthFraction) noteLate(now time.Time) {
	s.current(now)
	if now.Sub(s.halvedAt) < minHalvingInterval {
		return
	}
	s.fraction, s.halvedAt = s.fraction/2, now
}

// recentlyLate reports whether a read was late a moment ago.
func (s *bandwidthFraction) recentlyLate(now time.Time) bool {
	return !s.halvedAt.IsZero() && now.Sub(s.halvedAt) < budgetBurstTime
}
