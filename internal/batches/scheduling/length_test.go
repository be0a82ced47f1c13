package scheduling

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Forecasts are positive and finite for any hints and lengths.
func TestForecastsAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := NewLengthEstimator()
		for range rapid.IntRange(0, 30).Draw(t, "texts") {
			lengths.Observe(rapid.Int64Range(-1, 1<<40).Draw(t, "hint"), rapid.IntRange(-1, 1<<20).Draw(t, "events"))
		}
		hint, soFar := rapid.Int64Range(-1, 1<<40).Draw(t, "hint"), rapid.IntRange(0, 1<<20).Draw(t, "so far")
		remaining, most := lengths.Remaining(hint, soFar), lengths.MaxRemaining(hint, soFar)
		if !(remaining > 0) || math.IsInf(remaining, 0) {
			t.Fatalf("%v events remain", remaining)
		}
		if !(most >= remaining) || math.IsInf(most, 0) {
			t.Fatalf("%v events remain, %v at most", remaining, most)
		}
	})
}

// Hints are learned: their scale, and how far they are off.
func TestForecastsFollowTheTexts(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 2))
	lengths := NewLengthEstimator()
	for range 2000 {
		hint := int64(500 + source.IntN(20000))
		lengths.Observe(hint, max(int(float64(hint)/100*math.Exp(0.3*source.NormFloat64())), 1))
	}
	is.True(math.Abs(lengths.Remaining(10000, 0)-100) < 10)
	is.True(math.Abs(math.Sqrt(lengths.variance)-0.3) < 0.05)
	// A text that has outrun its hint is long: it should be expected to go on.
	is.True(lengths.Remaining(10000, 150) > 5)
	is.True(lengths.Remaining(10000, 150) < 60)
	is.True(lengths.Remaining(10000, 50) > 40)
	// The longer hint stays the longer text while both run.
	is.True(lengths.Remaining(20000, 50) > lengths.Remaining(10000, 50))
}

// A hint that is far off the usual is so in part by its own error, no text is expected to
// get longer than the longest, and few get longer than is said of most.
func TestForecastsOfUnevenTexts(t *testing.T) {
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
	const texts = 2000
	longer, below := 0, 0
	for range texts {
		hint, events := draw()
		if float64(events) > lengths.MaxRemaining(hint, 0) {
			longer++
		}
		if float64(events) < lengths.Remaining(hint, 0) {
			below++
		}
	}
	is.True(longer > texts*2/100 && longer < texts*8/100)
	is.True(below > texts*40/100 && below < texts*60/100)
}
