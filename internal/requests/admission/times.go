package admission

import (
	"slices"
	"time"
)

const (
	// sampleSize is over how many answers the times of a service are taken: enough to
	// tell needPart, few enough that a slower replica shows within seconds.
	sampleSize = 32
	// minSamples is from how many answers on times are believed.
	minSamples = 4
	// defaultRequestTime is reckoned with before that: most plain requests take less.
	defaultRequestTime = 50 * time.Millisecond
	// minSlowAnswers is how many answers in a row must be slow, within slowSpan, for a service to be
	// taken to be full: with room, one of so many is as fast as most, however much
	// requests differ.
	minSlowAnswers = 4
	slowWindow     = 2 * time.Second
	// slowFactor is by how much they take longer than usuallyPart of the answers do.
	slowFactor            = 2
	slowReferenceQuantile = 0.75
	// slowTargetDivisor is the part of its aim, one in so many, from which on an answer of a full service
	// is slow.
	slowTargetDivisor = 2
	// baselineSampleInterval is how often, one answer in so many, what is usual follows while the service
	// is taken to be full: one that has become slow for good is soon as usual.
	baselineSampleInterval = 8
)

// samples are the times of the last answers.
type samples struct {
	ring  [sampleSize]time.Duration
	count int
}

func (s *samples) add(took time.Duration) {
	s.ring[s.count%sampleSize] = took
	s.count++
}

// quantile returns the time within which a part of the answers came. One answer that took
// for ever does not move it.
func (s *samples) quantile(part float64) time.Duration {
	if s.count < minSamples {
		return defaultRequestTime
	}
	sorted := s.ring
	taken := sorted[:min(s.count, sampleSize)]
	slices.Sort(taken)
	return taken[int(part*float64(len(taken)-1))]
}

// answerTimes are those that the answers of a service took.
type answerTimes struct {
	samples
	// baseline are those while it was not taken to be full.
	baseline samples
	// slowRun are the slow answers in a row, of which no conclusion was drawn yet.
	slowRun []time.Duration
	// slowSince is when the first of them came.
	slowSince time.Time
}

// isSlow reports whether an answer took slowBy times as long as is usual or, of a full service, so
// much of its aim that requests which wait here before could not reach theirs. A daemon that
// asks seldom knows little of what is usual.
func (t *answerTimes) isSlow(took, aim time.Duration, full bool) bool {
	if full && aim > 0 && took >= aim/slowTargetDivisor {
		return true
	}
	return t.baseline.count >= sampleSize/2 && took >= slowFactor*t.baseline.quantile(slowReferenceQuantile)
}

// record takes an answer into account, that was slow or not. It reports whether the service is slow, and by which
// time: as fast as half of the last answers.
func (t *answerTimes) record(now time.Time, took time.Duration, slow, full bool) (lately time.Duration, isSlow bool) {
	t.samples.add(took)
	if !full || t.samples.count%baselineSampleInterval == 0 {
		t.baseline.add(took)
	}
	if !slow || now.Sub(t.slowSince) > slowWindow {
		t.slowRun, t.slowSince = t.slowRun[:0], now
	}
	if slow {
		t.slowRun = append(t.slowRun, took)
	}
	if len(t.slowRun) < minSlowAnswers {
		return 0, false
	}
	slices.Sort(t.slowRun)
	lately = t.slowRun[len(t.slowRun)/2]
	t.slowRun, t.slowSince = t.slowRun[:0], now
	return lately, true
}
