package admission

import (
	"slices"
	"time"
)

const (
	// sampleSize is the number of answers whose durations are kept: enough to estimate
	// requiredTimeQuantile, few enough to notice a slower replica within seconds.
	sampleSize = 32
	// minSamples is the number of answers below which quantiles are not computed.
	minSamples = 4
	// defaultRequestTime is the estimate used with fewer than minSamples answers.
	defaultRequestTime = 50 * time.Millisecond
	// minSlowAnswers is the number of consecutive slow answers within slowWindow that indicate a
	// full service. With free slots, some of that many answers are fast.
	minSlowAnswers = 4
	slowWindow     = 2 * time.Second
	// An answer is slow if it takes slowFactor times the slowReferenceQuantile of the baseline.
	slowFactor            = 2
	slowReferenceQuantile = 0.75
	// slowTargetDivisor sets the time from which an answer of a full service is slow: the target
	// latency divided by it.
	slowTargetDivisor = 2
	// baselineSampleInterval is the number of answers of a full service of which one is added to
	// the baseline, so that a service that stays slow becomes the new baseline.
	baselineSampleInterval = 8
)

// samples holds the durations of the last sampleSize answers.
type samples struct {
	ring  [sampleSize]time.Duration
	count int
}

func (s *samples) add(took time.Duration) {
	s.ring[s.count%sampleSize] = took
	s.count++
}

// quantile returns the given quantile, a fraction in [0, 1], of the durations, or
// defaultRequestTime if there are too few.
func (s *samples) quantile(q float64) time.Duration {
	if s.count < minSamples {
		return defaultRequestTime
	}
	sorted := s.ring
	durations := sorted[:min(s.count, sampleSize)]
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))]
}

// answerTimes tracks the durations of the answers of a service, and detects runs of slow ones.
type answerTimes struct {
	samples
	// baseline holds durations of answers while the service was not considered full.
	baseline samples
	// slowRun holds the durations of the current run of consecutive slow answers.
	slowRun []time.Duration
	// slowSince is the time at which slowRun was last emptied.
	slowSince time.Time
}

// isSlow reports whether an answer took slowFactor times the baseline or, at a full service, so
// much of its target latency that a request that waited here before could not have met it. The
// second condition covers daemons with too few requests for a baseline.
func (t *answerTimes) isSlow(took, targetLatency time.Duration, full bool) bool {
	if full && targetLatency > 0 && took >= targetLatency/slowTargetDivisor {
		return true
	}
	return t.baseline.count >= sampleSize/2 && took >= slowFactor*t.baseline.quantile(slowReferenceQuantile)
}

// record adds an answer, with whether it was slow and whether the service is considered full. It
// reports whether a run of slow answers is complete, and returns the median duration of the run.
func (t *answerTimes) record(now time.Time, took time.Duration, isSlow, full bool) (median time.Duration, complete bool) {
	t.samples.add(took)
	if !full || t.samples.count%baselineSampleInterval == 0 {
		t.baseline.add(took)
	}
	if !isSlow || now.Sub(t.slowSince) > slowWindow {
		t.slowRun, t.slowSince = t.slowRun[:0], now
	}
	if isSlow {
		t.slowRun = append(t.slowRun, took)
	}
	if len(t.slowRun) < minSlowAnswers {
		return 0, false
	}
	slices.Sort(t.slowRun)
	median = t.slowRun[len(t.slowRun)/2]
	t.slowRun, t.slowSince = t.slowRun[:0], now
	return median, true
}
