package admission

import (
	"slices"
	"time"
)

const (
	// sampleSize is the number of answers whose durations are kept. It is large enough to
	// estimate requiredTimeQuantile, and small enough to notice a slower replica within seconds.
	sampleSize = 32
	// minSamples is the number of answers that are needed to compute quantiles.
	minSamples = 4
	// defaultRequestTime stands for every quantile while there are fewer than minSamples
	// answers.
	defaultRequestTime = 50 * time.Millisecond
	// minSlowAnswers is the number of consecutive slow answers within slowWindow that are a sign
	// of a full service. If slots were free, some of that many answers would be fast.
	minSlowAnswers = 4
	slowWindow     = 2 * time.Second
	// An answer is slow if it takes at least slowFactor times the slowReferenceQuantile of the
	// baseline.
	slowFactor            = 2
	slowReferenceQuantile = 0.75
	// slowTargetDivisor sets how long an answer of a full service takes at least to count as
	// slow: its target latency divided by slowTargetDivisor.
	slowTargetDivisor = 2
	// baselineSampleInterval sets how many answers of a full service are added to the baseline:
	// one of baselineSampleInterval answers. If a service stays slow, its slow answers thereby
	// become the new baseline.
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

// quantile returns the quantile q of the durations, with q in [0, 1]. It returns
// defaultRequestTime if there are fewer than minSamples durations.
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

// isSlow reports whether an answer took at least slowFactor times the baseline. At a full
// service an answer is also slow if it took so much of its target latency that a request that
// had waited here first could not have met the target; this covers daemons with too few requests
// for a baseline.
func (t *answerTimes) isSlow(took, targetLatency time.Duration, full bool) bool {
	if full && targetLatency > 0 && took >= targetLatency/slowTargetDivisor {
		return true
	}
	return t.baseline.count >= sampleSize/2 && took >= slowFactor*t.baseline.quantile(slowReferenceQuantile)
}

// record adds the duration of an answer. isSlow tells whether the answer was slow, full whether
// the service is considered full. complete is true if the answer completes a run of
// minSlowAnswers slow answers; median is then the median duration of the run.
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
