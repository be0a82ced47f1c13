package admission

import (
	"math"
	"time"
)

const (
	// calmAnswers is how many answers in a row without a sign of fullness show that there
	// is room again: twice as many as come between two cuts at an even load.
	calmAnswers = 20
	// fullHolds is how long at most a service counts as full after the last sign of it:
	// a daemon that asks seldom sees no run of answers.
	fullHolds = 3 * time.Second
	// lowerEvery is the least time between two cuts of the rate: requests that were sent
	// before a cut say nothing of the rate after it.
	lowerEvery = 60 * time.Millisecond
	// declinedCut is what a request that was declined leaves of the rate. A decline costs the
	// replicas little: some are taken into account so that their places stay in use.
	declinedCut = 0.8
	// queuedCut is what a sign that requests wait at the replicas leaves of it, but no less
	// than an equal share: at that rate as many run as there are slots, by the times seen. At the
	// replicas requests have no order and hold up those that come after them.
	queuedCut = 0.5
	// raiseBy is by which part of the mean of the rate and an equal share an answer raises
	// the rate (the geometric mean: those above their share grow by less of it than those
	// below, so that parts even out, and a daemon with all the demand keeps the places in
	// use). At an equal share a cut then comes with each second start: a decline costs little, an idle
	// place an answer.
	raiseBy = 0.2
	// regainBy is the same once no sign of fullness has come in calmAnswers.
	regainBy = 0.5
	// firstPart of a daemon's demand is where it begins if that is more than an equal share:
	// where all clients come to few daemons, these have most of the places.
	firstPart = 0.5
	// leastPart of an equal share is always used, or the room that others leave would
	// never be found; leastRate does the same for a daemon among very many, in starts a
	// second.
	leastPart = 1.0 / 8
	leastRate = 1.0
	// mostCredit is how many starts may be saved up: a daemon that sees a request now and
	// then sends it at once.
	mostCredit = 1.0
)

// Sign is why a service is taken to be full.
type Sign string

// Signs of a full service.
const (
	// SignDeclined: each replica asked has declined a request.
	SignDeclined Sign = "declined"
	// SignTold: each replica has told of as many requests as it has slots, or has as
	// many of this daemon's.
	SignTold Sign = "as many requests as slots"
	// SignSlow: answers take far longer than usual.
	SignSlow Sign = "slow answers"
)

// Share is what the replicas of a service bear together, and among how many daemons.
type Share struct {
	Slots, Daemons int
	// Demand is how many requests a second this daemon has got lately.
	Demand float64
	// Usual is what a request takes.
	Usual time.Duration
}

// whole is the rate at which all places are in use, in starts a second.
func (s Share) whole() float64 { return float64(max(s.Slots, 1)) / s.Usual.Seconds() }

// equal is an equal part of it.
func (s Share) equal() float64 { return s.whole() / float64(max(s.Daemons, 1)) }

// Pace is the rate of starts of a daemon at one service. It binds from the first sign that
// the service is full until none has come for a while and nothing waits. The zero Pace
// does not bind.
type Pace struct {
	binds bool
	rate  float64
	// credit is how many requests may start now, as of at.
	credit float64
	at     time.Time
	fullAt time.Time
	cutAt  time.Time
	// calm counts answers since fullAt.
	calm int
}

// Full notes a sign that the service is full.
func (p *Pace) Full(now time.Time, share Share, sign Sign) {
	if !p.binds {
		*p = Pace{binds: true, rate: max(share.equal(), firstPart*share.Demand), credit: mostCredit, at: now, cutAt: now}
	}
	p.fill(now)
	p.fullAt, p.calm = now, 0
	if now.Sub(p.cutAt) >= lowerEvery {
		p.rate, p.cutAt = p.lowered(share, sign), now
	}
	p.bound(share)
}

func (p *Pace) lowered(share Share, sign Sign) float64 {
	if sign == SignDeclined {
		return p.rate * declinedCut
	}
	return min(p.rate, max(p.rate*queuedCut, share.equal()))
}

// Answered notes an answer without such a sign.
func (p *Pace) Answered(now time.Time, share Share) {
	if !p.binds {
		return
	}
	p.fill(now)
	p.calm++
	step := raiseBy
	if !p.full(now) {
		step = regainBy
	}
	p.rate += step * math.Sqrt(share.equal()*p.rate)
	p.bound(share)
}

// Room notes that a place is free: a request may start now.
func (p *Pace) Room(now time.Time) {
	p.fill(now)
	p.credit = mostCredit
}

// Rest ends the binding once the service is not seen to be full any more. Nothing may wait.
func (p *Pace) Rest(now time.Time) {
	if p.binds && !p.full(now) {
		*p = Pace{}
	}
}

// full reports whether the last sign of fullness still counts.
func (p *Pace) full(now time.Time) bool {
	return p.calm < calmAnswers && now.Sub(p.fullAt) <= fullHolds
}

// Take spends the credit for a start, if there is one.
func (p *Pace) Take(now time.Time) bool {
	if !p.binds {
		return true
	}
	p.fill(now)
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// Next is after which time a request may start, 0 for now.
func (p *Pace) Next(now time.Time) time.Duration {
	if !p.binds {
		return 0
	}
	p.fill(now)
	return max(0, inSeconds((1-p.credit)/p.rate))
}

func (p *Pace) fill(now time.Time) {
	p.credit = min(p.credit+p.rate*max(now.Sub(p.at), 0).Seconds(), mostCredit)
	p.at = now
}

func (p *Pace) bound(share Share) {
	least := max(share.equal()*leastPart, leastRate)
	p.rate = max(least, min(p.rate, share.whole()))
}

// creditSlack keeps a timer that rounds down from being set again for nothing.
const creditSlack = time.Microsecond

func inSeconds(seconds float64) time.Duration {
	if seconds <= 0 {
		return 0
	}
	return time.Duration(seconds*float64(time.Second)) + creditSlack
}
