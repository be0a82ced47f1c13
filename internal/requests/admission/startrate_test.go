package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// tenth is the capacity of a service with 20 slots and 100 ms per request that ten daemons
// share, so that an equal share is 20 starts per second.
var tenth = Capacity{Slots: 20, Daemons: 10, TypicalTime: 100 * time.Millisecond}

func TestInactiveLimitAllowsAllStarts(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	for range 1000 {
		is.True(rate.TryStart(start))
		rate.RecordAnswer(start, tenth)
	}
	is.Equal(rate.NextStartIn(start), time.Duration(0))
}

func TestSignActivatesAtEqualShareAndCalmExpires(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	rate.RecordFull(start, tenth, SignDeclined)
	is.Equal(rate.perSecond, 20.0)
	is.True(rate.TryStart(start))
	is.True(!rate.TryStart(start))
	is.Equal(rate.NextStartIn(start).Round(time.Millisecond), 50*time.Millisecond)
	rate.Expire(start)
	is.True(rate.active)
	for range minCalmAnswers {
		rate.RecordAnswer(start, tenth)
	}
	rate.Expire(start)
	is.True(!rate.active)
}

// A daemon with few requests never sees minCalmAnswers answers, so the sign of a full service
// must expire by its age.
func TestSignExpiresByAge(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	rate.RecordFull(start, tenth, SignDeclined)
	rate.Expire(start.Add(fullMaxAge))
	is.True(rate.active)
	rate.Expire(start.Add(fullMaxAge + 1))
	is.True(!rate.active)
}

// Several signs within minCutInterval must cut the rate only once.
func TestSignsWithinIntervalCutOnce(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	rate.RecordFull(start, tenth, SignDeclined)
	for range 10 {
		rate.RecordFull(start.Add(minCutInterval), tenth, SignDeclined)
	}
	is.Equal(rate.perSecond, 20*declinedCutFactor)
}

// Slow answers must not cut the rate below an equal share.
func TestSlowAnswersKeepEqualShare(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	for i := range 100 {
		rate.RecordFull(start.Add(time.Duration(i)*minCutInterval), tenth, SignSlow)
	}
	is.Equal(rate.perSecond, 20.0)
}

// Declines must not cut the rate so far that a daemon stops probing for free slots.
func TestRateHasMinimum(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	for i := range 1000 {
		rate.RecordFull(start.Add(time.Duration(i)*minCutInterval), tenth, SignDeclined)
	}
	is.Equal(rate.perSecond, 20*minShareFraction)
}

// The rates of two daemons that start with unequal shares must converge.
func TestSharesConverge(t *testing.T) {
	is := is.New(t)
	c := Capacity{Slots: 8, Daemons: 2, TypicalTime: 100 * time.Millisecond}
	rates := [2]StartRate{{active: true, perSecond: 70, creditAt: start}, {active: true, perSecond: 10, creditAt: start}}
	var starts, declines [2]float64
	const step = 10 * time.Millisecond
	for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
		total := rates[0].perSecond + rates[1].perSecond
		for i := range rates {
			for starts[i] += rates[i].perSecond * step.Seconds(); starts[i] >= 1; starts[i]-- {
				if declines[i] += max(0, 1-c.totalRate()/total); declines[i] < 1 {
					rates[i].RecordAnswer(now, c)
					continue
				}
				declines[i]--
				rates[i].RecordFull(now, c, SignDeclined)
			}
		}
	}
	is.True(rates[0].perSecond < 1.3*rates[1].perSecond && rates[1].perSecond < 1.3*rates[0].perSecond)
	is.True(rates[0].perSecond+rates[1].perSecond > 0.8*c.totalRate()) // the slots are in use
}

// During a suspension a daemon must not accumulate more credit than maxCredit.
func TestSuspensionAddsNoCredit(t *testing.T) {
	is := is.New(t)
	var rate StartRate
	rate.RecordFull(start, tenth, SignDeclined)
	is.True(rate.TryStart(start))
	after := start.Add(time.Hour)
	is.True(rate.TryStart(after))
	is.True(!rate.TryStart(after))
}
