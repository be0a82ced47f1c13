package scheduling

import (
	"math"
	"sync"
)

const (
	// defaultTokensPerEvent is assumed until texts have shown how many tokens an event
	// carries by their hints.
	defaultTokensPerEvent = 50
	// defaultDeviation is the standard deviation of the logarithm of a length by its
	// hint, until it was observed.
	defaultDeviation = 0.5
	// priorWeight is how many texts the defaults count as.
	priorWeight = 8
	// maxWeight is how many texts the means reach back.
	maxWeight = 1000
	// minSamplesForLongest is from how many texts on the longest of them bounds the
	// forecasts: engines bound lengths, and many texts reach that bound.
	minSamplesForLongest = 100
	// minDeviation keeps a forecast from certainty.
	minDeviation = 0.05
	// exceedingFraction is the part of the texts that outgrow what MaxRemaining returns.
	exceedingFraction = 0.05
	// minTailFraction is the smallest part of longer texts that is distinguished from none.
	minTailFraction = 1e-9
	// overrunFraction is what is expected of a text far beyond any forecast, by its length.
	overrunFraction = 0.1
)

// LengthEstimator forecasts how long texts get, from their hints and from how texts before
// compared with theirs: lengths by hints are taken to be log-normal, and a hint that is
// far off the usual one to be so in part by its own error. It is safe for concurrent use.
// The zero value is not ready; use NewLengths.
type LengthEstimator struct {
	mu sync.Mutex
	// weight is how many texts the means count as, up to maxWeight. mean and variance are of
	// the logarithm of events by hinted tokens.
	weight, mean, variance float64
	// hintMean and hintVariance are of the logarithm of the hints, covariance is that of the
	// two logarithms.
	hintMean, hintVariance, covariance float64
	// longest is the greatest length of late, in events.
	longest float64
}

// NewLengthEstimator returns a forecast before any text.
func NewLengthEstimator() *LengthEstimator {
	mean := -math.Log(defaultTokensPerEvent)
	return &LengthEstimator{weight: priorWeight, mean: mean, variance: defaultDeviation * defaultDeviation}
}

// Observe notes a whole text: the tokens hinted at and the events that it had.
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
	off, hintOff := value-l.mean, hinted-l.hintMean
	l.mean += off / l.weight
	l.hintMean += hintOff / l.weight
	l.variance += (off*(value-l.mean) - l.variance) / l.weight
	l.hintVariance += (hintOff*(hinted-l.hintMean) - l.hintVariance) / l.weight
	l.covariance += (hintOff*(value-l.mean) - l.covariance) / l.weight
	l.longest = max(float64(events), l.longest*(1-1/float64(maxWeight)))
}

// forecast is the logarithm of a text's length to expect by its hint, with the standard
// deviation, and the length that no text of late had; infinite if too few were seen.
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

// Remaining returns how many events are expected to come of a text with a hint, in
// tokens, and some events already: the median over the texts that got as far.
func (l *LengthEstimator) Remaining(hint int64, events int) float64 {
	return l.remainingQuantile(hint, events, 0.5)
}

// MaxRemaining returns how many events come at most of a text, but for a few in a hundred of the
// texts that got as far.
func (l *LengthEstimator) MaxRemaining(hint int64, events int) float64 {
	return l.remainingQuantile(hint, events, exceedingFraction)
}

// remainingQuantile returns how many more events a part of the texts get that got as far.
func (l *LengthEstimator) remainingQuantile(hint int64, events int, part float64) float64 {
	median, spread, longest := l.forecast(hint)
	if events <= 0 {
		return min(math.Exp(median+spread*upperQuantile(part)), longest)
	}
	so := float64(events)
	// above is the part of the texts that get longer than this one is.
	above := upperTail((math.Log(so) - median) / spread)
	if above < minTailFraction || so >= longest {
		return so * overrunFraction * math.Log(1/part) / math.Ln2
	}
	return max(min(math.Exp(median+spread*upperQuantile(above*part)), longest)-so, 1)
}

// upperTail is the part of a normal distribution above z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// upperQuantile is the z that a part of a normal distribution lies above.
func upperQuantile(part float64) float64 { return math.Sqrt2 * math.Erfcinv(2*part) }
