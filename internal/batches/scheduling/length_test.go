package scheduling

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Estimates must be positive and finite for any hints and lengths.
func TestEstimatesArePositiveAndFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := NewLengthEstimator()
		for range rapid.IntRange(0, 30).Draw(t, "items") {
			lengths.Observe(rapid.Int64Range(-1, 1<<40).Draw(t, "hint"), rapid.IntRange(-1, 1<<20).Draw(t, "events"))
		}
		hint, events := rapid.Int64Range(-1, 1<<40).Draw(t, "hint"), rapid.IntRange(0, 1<<20).Draw(t, "events")
		remaining, maxRemaining := lengths.Remaining(hint, events), lengths.MaxRemaining(hint, events)
		if !(remaining > 0) || math.IsInf(remaining, 0) {
			t.Fatalf("Remaining = %v, want a positive finite number", remaining)
		}
		if !(maxRemaining >= remaining) || math.IsInf(maxRemaining, 0) {
			t.Fatalf("Remaining = %v, MaxRemaining = %v", remaining, maxRemaining)
		}
	})
}

// Estimates must adopt the scale of the hints and the spread of their errors.
func TestEstimatesFollowObservedLengths(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 2))
	lengths := NewLengthEstimator()
	for range 2000 {
		hint := int64(500 + source.IntN(20000))
		lengths.Observe(hint, max(int(float64(hint)/100*math.Exp(0.3*source.NormFloat64())), 1))
	}
	is.True(math.Abs(lengths.Remaining(10000, 0)-100) < 10)
	is.True(math.Abs(math.Sqrt(lengths.variance)-0.3) < 0.05)
	// An output that is longer than its estimate is expected to continue.
	is.True(lengths.Remaining(10000, 150) > 5)
	is.True(lengths.Remaining(10000, 150) < 60)
	is.True(lengths.Remaining(10000, 50) > 40)
	// Of two outputs of equal length the one with the greater hint is the longer one.
	is.True(lengths.Remaining(20000, 50) > lengths.Remaining(10000, 50))
}

// Extreme hints must be corrected towards the mean, no estimate may exceed the longest output,
// and few outputs may exceed MaxRemaining.
func TestEstimatesOfSkewedLengths(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(3, 4))
	draw := func() (hint int64, events int) {
		length := max(min(math.Round(14*math.Exp(0.9*source.NormFloat64())), 145), 1)
		return int64(max(length*75*math.Exp(0.5*source.NormFloat64()), 1)), int(length)
	}
	lengths := NewLengthEstimator()
	for range 2000 {
		lengths.Observe(draw())
	}
	is.True(lengths.Remaining(400*75, 0) <= 145)
	is.True(lengths.Remaining(75, 0) > 1.5)
	const outputs = 2000
	longer, below := 0, 0
	for range outputs {
		hint, events := draw()
		if float64(events) > lengths.MaxRemaining(hint, 0) {
			longer++
		}
		if float64(events) < lengths.Remaining(hint, 0) {
			below++
		}
	}
	is.True(longer > outputs*2/100 && longer < outputs*8/100)
	is.True(below > outputs*40/100 && below < outputs*60/100)
}
