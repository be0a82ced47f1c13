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
		lengths := NewLengths()
		for range rapid.IntRange(0, 30).Draw(t, "texts") {
			lengths.Finished(rapid.Int64Range(-1, 1<<40).Draw(t, "hint"), rapid.IntRange(-1, 1<<20).Draw(t, "events"))
		}
		remaining := lengths.Remaining(rapid.Int64Range(-1, 1<<40).Draw(t, "hint"), rapid.IntRange(0, 1<<20).Draw(t, "so far"))
		if !(remaining > 0) || math.IsInf(remaining, 0) {
			t.Fatalf("%v events remain", remaining)
		}
	})
}

// Hints are learned: their scale, and how far they are off.
func TestForecastsFollowTheTexts(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 2))
	lengths := NewLengths()
	for range 2000 {
		hint := int64(500 + source.IntN(20000))
		lengths.Finished(hint, max(int(float64(hint)/100*math.Exp(0.3*source.NormFloat64())), 1))
	}
	is.True(math.Abs(lengths.Remaining(10000, 0)-100) < 10)
	is.True(math.Abs(math.Sqrt(lengths.square)-0.3) < 0.05)
	// A text that has outrun its hint is long: it should be expected to go on.
	is.True(lengths.Remaining(10000, 150) > 5)
	is.True(lengths.Remaining(10000, 150) < 60)
	is.True(lengths.Remaining(10000, 50) > 40)
	// The longer hint stays the longer text while both run.
	is.True(lengths.Remaining(20000, 50) > lengths.Remaining(10000, 50))
}
