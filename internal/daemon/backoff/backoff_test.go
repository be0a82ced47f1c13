package backoff

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var bounds = Bounds{First: 100 * time.Millisecond, Longest: 2 * time.Second}

func TestPausesGrowWithFailures(t *testing.T) {
	is := is.New(t)
	is.Equal(bounds.After(1), bounds.First)
	is.Equal(bounds.After(3), 4*bounds.First)
	is.Equal(bounds.After(5), 16*bounds.First)
	is.Equal(bounds.After(6), bounds.Longest)
	is.Equal(bounds.After(99), bounds.Longest)
	is.Equal(bounds.After(math.MaxInt), bounds.Longest)
}

// Each of the users' pauses is what its own code gave before the three became one.
func TestPausesAreThoseOfTheUsers(t *testing.T) {
	is := is.New(t)
	users := []struct {
		bounds       Bounds
		maxDoublings int
	}{
		{Bounds{200 * time.Millisecond, 2 * time.Second}, 6},  // usage
		{Bounds{300 * time.Millisecond, 5 * time.Second}, 6},  // fleet
		{Bounds{100 * time.Millisecond, 2 * time.Second}, 10}, // modelsync
	}
	for _, user := range users {
		for failures := 1; failures < 100; failures++ {
			before := min(user.bounds.First<<min(failures-1, user.maxDoublings), user.bounds.Longest)
			is.Equal(user.bounds.After(failures), before)
		}
	}
}

func TestARestEndsAndIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	rest := Rest{}
	is.True(rest.Over(now))
	rest.Failed(bounds, now)
	rest.Failed(bounds, now)
	is.Equal(rest.Failures(), 2)
	is.True(!rest.Over(now.Add(2*bounds.First - 1)))
	is.True(rest.Over(now.Add(2 * bounds.First)))
	rest.Succeeded()
	is.Equal(rest.Failures(), 0)
	rest.Failed(bounds, now)
	is.True(rest.Over(now.Add(bounds.First)))
}
