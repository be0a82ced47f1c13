package results

import "time"

const (
	// minHalvingInterval bounds how often the fraction is halved. Reads that are late at the same
	// time have one cause, and the reads of a query end within answerTimeout.
	minHalvingInterval = answerTimeout
	// recoveryTime is the time in which the fraction rises from 0 to 1. It is longer than the 15 s
	// in which daemons recover when all start at once, when the journal is loaded most.
	recoveryTime = 30 * time.Second
)

// bandwidthFraction estimates which fraction of its granted bandwidth a journal delivers, by
// additive increase and multiplicative decrease: a late read halves the estimate, and between late
// reads the estimate rises steadily to 1.
//
// A journal may deliver less than it grants, to some daemons or to all, for seconds or
// permanently. If daemons still relied on the grant, they would request more than arrives, every
// read would be abandoned before its end, and no query would ever be answered.
//
// The caller must synchronize calls.
type bandwidthFraction struct {
	fraction  float64
	updatedAt time.Time
	halvedAt  time.Time
}

func newBandwidthFraction(now time.Time) *bandwidthFraction {
	return &bandwidthFraction{fraction: 1, updatedAt: now}
}

// current returns the fraction at the time now, in (0, 1]: the increase between two halvings keeps
// it above 0. If now is before the time of the last call, the fraction does not change.
func (s *bandwidthFraction) current(now time.Time) float64 {
	if now.After(s.updatedAt) {
		s.fraction = min(s.fraction+now.Sub(s.updatedAt).Seconds()/recoveryTime.Seconds(), 1)
		s.updatedAt = now
	}
	return s.fraction
}

// noteLate halves the fraction after a late read, at most once per minHalvingInterval.
func (s *bandwidthFraction) noteLate(now time.Time) {
	s.current(now)
	if now.Sub(s.halvedAt) < minHalvingInterval {
		return
	}
	s.fraction, s.halvedAt = s.fraction/2, now
}

// recentlyLate reports whether the fraction was halved within the last budgetBurstTime.
func (s *bandwidthFraction) recentlyLate(now time.Time) bool {
	return !s.halvedAt.IsZero() && now.Sub(s.halvedAt) < budgetBurstTime
}
