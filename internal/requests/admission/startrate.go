package admission

import (
	"math"
	"time"
)

const (
	// minCalmAnswers is how many answers in a row without a sign of fullness show that there
	// is room again: twice as many as come between two cuts at an even load.
	minCalmAnswers = 20
	// fullMaxAge is how long at most a service counts as full after the last sign of it:
	// a daemon that asks seldom sees no run of answers.
	fullMaxAge = 3 * time.Second
	// minCutInterval is the least time between two cuts of the rate: requests that were sent
	// before a cut say nothing of the rate after it.
	minCutInterval = 60 * time.Millisecond
	// declinedCutFactor is what a request that was declined leaves of the rate. A decline costs the
	// replicas little: some are taken into account so that their places stay in use.
	declinedCutFactor = 0.8
	// queuedCutFactor is what a sign that requests wait at the replicas leaves of it, but no less
	// than an equal share: at that rate as many run as there are slots, by the times seen. At the
	// replicas requests have no order and hold up those that come after them.
	queuedCutFactor = 0.5
	// raiseFraction is by which part of the mean of the rate and an equal share an answer raises
	// the rate (the geometric mean: those above their share grow by less of it than those
	// below, so that parts even out, and a daemon with all the demand keeps the places in
	// use). At an equal share a cut then comes with each second start: a decline costs little, an idle
	// place an answer.
	raiseFraction = 0.2
	// calmRaiseFraction is the same once no sign of fullness has come in calmAnswers.
	calmRaiseFraction = 0.5
	// initialDemandFraction of a daemon's demand is where it begins if that is more than an equal share:
	// where all clients come to few daemons, these have most of the places.
	initialDemandFraction = 0.5
	// minShareFraction of an equal share is always used, or the room that others leave would
	// never be found; minRate does the same for a daemon among very many, in starts a
	// second.
	minShareFraction = 1.0 / 8
	minRate          = 1.0
	// maxCredit is how many starts may be saved up: a daemon that sees a request now and
	// then sends it at once.
	maxCredit = 1.0
)

// FullnessSign is why a service is taken to be full.
type FullnessSign string

// Signs of a full service.
const (
	// SignDeclined: each replica asked has declined a request.
	SignDeclined FullnessSign = "declined"
	// SignSlotsTaken: each replica has told of as many requests as it has slots, or has as
	// many of this daemon's.
	SignSlotsTaken FullnessSign = "as many requests as slots"
	// SignSlow: answers take far longer than usual.
	SignSlow FullnessSign = "slow answers"
)

// Capacity is what the replicas of a service bear together, and among how many daemons.
type Capacity struct {
	Slots, Daemons int
	// Demand is how many requests a second this daemon has got lately.
	Demand float64
	// TypicalTime is what a request takes.
	TypicalTime time.Duration
}

// totalRate is the rate at which all places are in use, in starts a second.
func (c Capacity) totalRate() float64 { return float64(max(c.Slots, 1)) / c.TypicalTime.Seconds() }

// equalShare is an equalShare part of it.
func (c Capacity) equalShare() float64 { return c.totalRate() / float64(max(c.Daemons, 1)) }

// StartRate is the rate of starts of a daemon at one service. It binds from the first sign that
// the service is full until none has come for a while and nothing waits. The zero StartRate
// does not bind.
type StartRate struct {
	active    bool
	perSecond float64
	// credit is how many requests may start now, as of at.
	credit   float64
	creditAt time.Time
	fullAt   time.Time
	cutAt    time.Time
	// calmAnswers counts answers since fullAt.
	calmAnswers int
}

// RecordFull notes a sign that the service is full.
func (r *StartRate) RecordFull(now time.Time, c Capacity, sign FullnessSign) {
	if !r.active {
		*r = StartRate{active: true, perSecond: max(c.equalShare(), initialDemandFraction*c.Demand), credit: maxCredit, creditAt: now, cutAt: now}
	}
	r.refill(now)
	r.fullAt, r.calmAnswers = now, 0
	if now.Sub(r.cutAt) >= minCutInterval {
		r.perSecond, r.cutAt = r.reduced(c, sign), now
	}
	r.clamp(c)
}

func (r *StartRate) reduced(c Capacity, sign FullnessSign) float64 {
	if sign == SignDeclined {
		return r.perSecond * declinedCutFactor
	}
	return min(r.perSecond, max(r.perSecond*queuedCutFactor, c.equalShare()))
}

// RecordAnswer notes an answer without such a sign.
func (r *StartRate) RecordAnswer(now time.Time, c Capacity) {
	if !r.active {
		return
	}
	r.refill(now)
	r.calmAnswers++
	step := raiseFraction
	if !r.isFull(now) {
		step = calmRaiseFraction
	}
	r.perSecond += step * math.Sqrt(c.equalShare()*r.perSecond)
	r.clamp(c)
}

// AllowStart notes that a place is free: a request may start now.
func (r *StartRate) AllowStart(now time.Time) {
	r.refill(now)
	r.credit = maxCredit
}

// Expire ends the binding once the service is not seen to be full any more. Nothing may wait.
func (r *StartRate) Expire(now time.Time) {
	if r.active && !r.isFull(now) {
		*r = StartRate{}
	}
}

// isFull reports whether the last sign of fullness still counts.
func (r *StartRate) isFull(now time.Time) bool {
	return r.calmAnswers < minCalmAnswers && now.Sub(r.fullAt) <= fullMaxAge
}

// TryStart spends the credit for a start, if there is one.
func (r *StartRate) TryStart(now time.Time) bool {
	if !r.active {
		return true
	}
	r.refill(now)
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// NextStartIn is after which time a request may start, 0 for now.
func (r *StartRate) NextStartIn(now time.Time) time.Duration {
	if !r.active {
		return 0
	}
	r.refill(now)
	return max(0, secondsToDuration((1-r.credit)/r.perSecond))
}

func (r *StartRate) refill(now time.Time) {
	r.credit = min(r.credit+r.perSecond*max(now.Sub(r.creditAt), 0).Seconds(), maxCredit)
	r.creditAt = now
}

func (r *StartRate) clamp(c Capacity) {
	least := max(c.equalShare()*minShareFraction, minRate)
	r.perSecond = max(least, min(r.perSecond, c.totalRate()))
}

// timerSlack keeps a timer that rounds down from being set again for nothing.
const timerSlack = time.Microsecond

func secondsToDuration(seconds float64) time.Duration {
	if seconds <= 0 {
		return 0
	}
	return time.Duration(seconds*float64(time.Second)) + timerSlack
}
