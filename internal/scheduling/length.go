package scheduling

import (
	"math"
	"sync"
)

const (
	// tokensPerEvent is assumed until texts have shown how many tokens an event
	// carries by their hints.
	tokensPerEvent = 50
	// assumedSpread is the standard deviation of the logarithm of a length by its
	// hint, until it was observed.
	assumedSpread = 0.5
	// assumedWeight is how many texts the assumptions count as.
	assumedWeight = 8
	// rememberedTexts is how many texts the means reach back.
	rememberedTexts = 1000
	// leastSpread keeps a forecast from certainty.
	leastSpread = 0.05
)

// Lengths forecasts how long texts get, from their hints and from how texts before
// compared with theirs: lengths by hints are taken to be log-normal. It is safe for
// concurrent use. The zero value is not ready; use NewLengths.
type Lengths struct {
	mu sync.Mutex
	// weight, mean and square are of the logarithms of events by hinted tokens.
	weight, mean, square float64
}

// NewLengths returns a forecast before any text.
func NewLengths() *Lengths {
	mean := -math.Log(tokensPerEvent)
	return &Lengths{weight: assumedWeight, mean: mean, square: assumedSpread * assumedSpread}
}

// Finished notes a whole text: the tokens hinted at and the events that it had.
func (l *Lengths) Finished(hint int64, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	value := math.Log(float64(events) / float64(hint))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weight = min(l.weight+1, rememberedTexts)
	off := value - l.mean
	l.mean += off / l.weight
	l.square += (off*(value-l.mean) - l.square) / l.weight
}

// Remaining returns how many events are expected to come of a text with a hint, in
// tokens, and some events already: the median over the texts that got as far.
func (l *Lengths) Remaining(hint int64, events int) float64 {
	l.mu.Lock()
	median := l.mean + math.Log(float64(max(hint, 1)))
	spread := max(math.Sqrt(l.square), leastSpread)
	l.mu.Unlock()
	if events <= 0 {
		return math.Exp(median)
	}
	so := float64(events)
	// above is the part of the texts that get longer than this one is.
	above := upperTail((math.Log(so) - median) / spread)
	if above < leastAbove {
		return so * outgrown
	}
	return max(math.Exp(median+spread*upperQuantile(above/2))-so, 1)
}

const (
	// leastAbove is the smallest part of longer texts that is told from none.
	leastAbove = 1e-9
	// outgrown is what is expected of a text far beyond any forecast, by its length.
	outgrown = 0.1
)

// upperTail is the part of a normal distribution above z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// upperQuantile is the z that a part of a normal distribution lies above.
func upperQuantile(part float64) float64 { return math.Sqrt2 * math.Erfcinv(2*part) }
