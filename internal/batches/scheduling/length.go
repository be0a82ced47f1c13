package scheduling

import (
	"math"
	"sync"
)

const (
	// defaultTokensPerEvent is the number of hinted tokens per event assumed before any
	// observation.
	defaultTokensPerEvent = 50
	// defaultDeviation is the standard deviation of log(events / hinted tokens) assumed before
	// any observation.
	defaultDeviation = 0.5
	// priorWeight is the number of observations that the default distribution counts as.
	priorWeight = 8
	// maxWeight limits how many past observations the running means reflect.
	maxWeight = 1000
	// minSamplesForLongest is the number of observations from which the longest output bounds
	// the estimates: engines truncate outputs, so many end at the same length.
	minSamplesForLongest = 100
	// minDeviation keeps the estimated distribution from collapsing to one point.
	minDeviation = 0.05
	// exceedingFraction is the fraction of outputs that exceed the result of MaxRemaining.
	exceedingFraction = 0.05
	// minTailFraction is the smallest tail probability for which an estimate is made. If a smaller
	// fraction of outputs is expected to exceed an output's present length, the output counts as
	// longer than any estimate.
	minTailFraction = 1e-9
	// overrunFraction is the expected remaining length of an output that is longer than any
	// estimate, as a fraction of its present length.
	overrunFraction = 0.1
)

// LengthEstimator estimates the length of outputs, in events, from the token counts hinted by
// callers and from earlier outputs. The ratio of length to hint is modelled as log-normal; a
// regression on the hint corrects for hints that are extreme because of their own error. It is
// safe for concurrent use. Create it with NewLengthEstimator; the zero value is not usable.
type LengthEstimator struct {
	mu sync.Mutex
	// weight is the number of observations that the running means count as, at most maxWeight.
	// mean and variance are the mean and the variance of log(events / hinted tokens).
	weight, mean, variance float64
	// hintMean and hintVariance are the mean and the variance of log(hinted tokens); covariance is
	// the covariance of log(hinted tokens) and log(events / hinted tokens).
	hintMean, hintVariance, covariance float64
	// longest is the length of the longest recent output, in events. It decays slowly.
	longest float64
}

// NewLengthEstimator returns an estimator whose estimates start from the default distribution.
func NewLengthEstimator() *LengthEstimator {
	mean := -math.Log(defaultTokensPerEvent)
	return &LengthEstimator{weight: priorWeight, mean: mean, variance: defaultDeviation * defaultDeviation}
}

// Observe records a complete output: the number of tokens that the caller hinted and the number of
// events. It ignores outputs for which either number is not positive.
func (l *LengthEstimator) Observe(hint int64, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	hinted := math.Log(float64(hint))
	value := math.Log(float64(events)) - hinted
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.longest == 0 {
		l.hintMean = hinted
	}
	l.weight = min(l.weight+1, maxWeight)
	diff, hintDiff := value-l.mean, hinted-l.hintMean
	l.mean += diff / l.weight
	l.hintMean += hintDiff / l.weight
	l.variance += (diff*(value-l.mean) - l.variance) / l.weight
	l.hintVariance += (hintDiff*(hinted-l.hintMean) - l.hintVariance) / l.weight
	l.covariance += (hintDiff*(value-l.mean) - l.covariance) / l.weight
	l.longest = max(float64(events), l.longest*(1-1/float64(maxWeight)))
}

// forecast returns the median and the standard deviation of the logarithm of an output's length in
// events. longest is the upper bound on lengths in events; it is infinite until
// minSamplesForLongest outputs were observed.
func (l *LengthEstimator) forecast(hint int64) (median, deviation, longest float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hinted := math.Log(float64(max(hint, 1)))
	slope := l.covariance / (l.hintVariance + priorWeight*defaultDeviation*defaultDeviation/l.weight)
	median = hinted + l.mean + slope*(hinted-l.hintMean)
	variance := l.variance - 2*slope*l.covariance + slope*slope*l.hintVariance
	longest = math.Inf(1)
	if l.weight >= priorWeight+minSamplesForLongest {
		longest = l.longest
	}
	return min(median, math.Log(longest)), max(math.Sqrt(max(variance, 0)), minDeviation), longest
}

// Remaining returns the expected number of events still to come of an output that has produced the
// given number of events. hint is the hinted length in tokens. The result is the median over the
// outputs that reach the present length.
func (l *LengthEstimator) Remaining(hint int64, events int) float64 {
	return l.remainingQuantile(hint, events, 0.5)
}

// MaxRemaining returns an upper estimate of the number of events still to come: of the outputs
// that reach the present length, only exceedingFraction produce more. The arguments are those of
// Remaining.
func (l *LengthEstimator) MaxRemaining(hint int64, events int) float64 {
	return l.remainingQuantile(hint, events, exceedingFraction)
}

// remainingQuantile estimates the number of events still to come that only the given fraction of
// outputs exceeds, among the outputs that reach the present length.
func (l *LengthEstimator) remainingQuantile(hint int64, events int, fraction float64) float64 {
	median, deviation, longest := l.forecast(hint)
	if events <= 0 {
		return min(math.Exp(median+deviation*upperQuantile(fraction)), longest)
	}
	current := float64(events)
	// longer is the fraction of outputs that exceed the present length.
	longer := upperTail((math.Log(current) - median) / deviation)
	if longer < minTailFraction || current >= longest {
		return current * overrunFraction * math.Log(1/fraction) / math.Ln2
	}
	return max(min(math.Exp(median+deviation*upperQuantile(longer*fraction)), longest)-current, 1)
}

// upperTail returns the probability that a standard normal variable exceeds z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// upperQuantile is the inverse of upperTail.
func upperQuantile(probability float64) float64 { return math.Sqrt2 * math.Erfcinv(2*probability) }
