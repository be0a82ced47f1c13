package bootclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestItNeverGoesBackAndPassesAsTimeDoes(t *testing.T) {
	is := is.New(t)
	first := Now()
	began := time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now().Sub(first)
	is.True(passed >= time.Since(began)-20*time.Millisecond)
	is.True(passed > 0)
	for before := Now(); passed < 50*time.Millisecond; passed = Now().Sub(first) {
		now := Now()
		is.True(!now.Before(before))
		before = now
	}
}
