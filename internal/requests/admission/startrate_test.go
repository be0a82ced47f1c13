package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var paceStart = time.Unix(1000, 0)

// tenth is a service of 20 slots, at 100 ms a request, that ten daemons share: 20 starts a second each.
var tenth = Capacity{Slots: 20, Daemons: 10, TypicalTime: 100 * time.Millisecond}

func TestNothingWaitsBeforeASign(t *testing.T) {
	is := is.New(t)
	var p StartRate
	for range 1000 {
		is.True(p.TryStart(paceStart))
		p.RecordAnswer(paceStart, tenth)
	}
	is.Equal(p.NextStartIn(paceStart), time.Duration(0))
}

func TestASignBindsToAnEqualShareAndCalmEndsIt(t *testing.T) {
	is := is.New(t)
	var p StartRate
	p.RecordFull(paceStart, tenth, SignDeclined)
	is.Equal(p.perSecond, 20.0)
	is.True(p.TryStart(paceStart))
	is.True(!p.TryStart(paceStart))
	is.Equal(p.NextStartIn(paceStart).Round(time.Millisecond), 50*time.Millisecond)
	p.Expire(paceStart)
	is.True(p.active)
	for range minCalmAnswers {
		p.RecordAnswer(paceStart, tenth)
	}
	p.Expire(paceStart)
	is.True(!p.active)
}

// A daemon that asks seldom sees no run of answers: the sign lapses.
func TestASignLapses(t *testing.T) {
	is := is.New(t)
	var p StartRate
	p.RecordFull(paceStart, tenth, SignDeclined)
	p.Expire(paceStart.Add(fullMaxAge))
	is.True(p.active)
	p.Expire(paceStart.Add(fullMaxAge + 1))
	is.True(!p.active)
}

// Requests that were sent before a cut say nothing of the rate after it.
func TestSignsOfOneMomentCountOnce(t *testing.T) {
	is := is.New(t)
	var p StartRate
	p.RecordFull(paceStart, tenth, SignDeclined)
	for range 10 {
		p.RecordFull(paceStart.Add(minCutInterval), tenth, SignDeclined)
	}
	is.Equal(p.perSecond, 20*declinedCutFactor)
}

// A service that has become slow is used to as many requests as it has slots, not less and
// less.
func TestSlowAnswersLeaveAnEqualShare(t *testing.T) {
	is := is.New(t)
	var p StartRate
	for i := range 100 {
		p.RecordFull(paceStart.Add(time.Duration(i)*minCutInterval), tenth, SignSlow)
	}
	is.Equal(p.perSecond, 20.0)
}

// However many declines come, a daemon finds out now and then.
func TestTheRateHasAFloor(t *testing.T) {
	is := is.New(t)
	var p StartRate
	for i := range 1000 {
		p.RecordFull(paceStart.Add(time.Duration(i)*minCutInterval), tenth, SignDeclined)
	}
	is.Equal(p.perSecond, 20*minShareFraction)
}

// Two daemons of which one has most of the places come to like parts, as each meets declines
// by its rate.
func TestPartsEvenOut(t *testing.T) {
	is := is.New(t)
	c := Capacity{Slots: 8, Daemons: 2, TypicalTime: 100 * time.Millisecond}
	paces := [2]StartRate{{active: true, perSecond: 70, creditAt: paceStart}, {active: true, perSecond: 10, creditAt: paceStart}}
	var starts, declines [2]float64
	const step = 10 * time.Millisecond
	for now := paceStart; now.Sub(paceStart) < time.Minute; now = now.Add(step) {
		total := paces[0].perSecond + paces[1].perSecond
		for i := range paces {
			for starts[i] += paces[i].perSecond * step.Seconds(); starts[i] >= 1; starts[i]-- {
				if declines[i] += max(0, 1-c.totalRate()/total); declines[i] < 1 {
					paces[i].RecordAnswer(now, c)
					continue
				}
				declines[i]--
				paces[i].RecordFull(now, c, SignDeclined)
			}
		}
	}
	is.True(paces[0].perSecond < 1.3*paces[1].perSecond && paces[1].perSecond < 1.3*paces[0].perSecond)
	is.True(paces[0].perSecond+paces[1].perSecond > 0.8*c.totalRate()) // and the places are in use
}

// A suspended daemon has saved up no more than any other.
func TestASuspensionSavesNothingUp(t *testing.T) {
	is := is.New(t)
	var p StartRate
	p.RecordFull(paceStart, tenth, SignDeclined)
	is.True(p.TryStart(paceStart))
	after := paceStart.Add(time.Hour)
	is.True(p.TryStart(after))
	is.True(!p.TryStart(after))
}
