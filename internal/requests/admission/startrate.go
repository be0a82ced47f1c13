package admission

import (
	"math"
	"time"
)

const (
	// minCalmAnswers is the number of answers that are no sign of a full service, counted from
	// the last such sign, after which the service is considered to have room again.
	minCalmAnswers = 20
	// fullMaxAge is the longest time for which a sign that a service is full counts. It matters
	// at a daemon with few requests, which does not get minCalmAnswers answers.
	fullMaxAge = 3 * time.Second
	// minCutInterval is the shortest time between two cuts of the rate. Requests that were sent
	// before a cut say nothing about the new rate, so their outcomes must not cut it again.
	minCutInterval = 60 * time.Millisecond
	// declinedCutFactor multiplies the rate when a request was declined. The cut is mild because a
	// decline costs the replicas little and some declines keep the slots in use.
	declinedCutFactor = 0.8
	// queuedCutFactor multiplies the rate when requests queue at the replicas. The cut does not
	// take the rate below an equal share, at which as many requests run as there are slots. The
	// cut is strong because the replicas' queues ignore rank and delay all later requests.
	queuedCutFactor = 0.5
	// raiseFraction sets by how much an answer raises the rate: this fraction of the geometric
	// mean of the rate and an equal share. The geometric mean makes the daemons' rates converge,
	// since a rate above an equal share grows by a smaller fraction than a rate below it. A
	// daemon that has all of the demand can still come to use all slots.
	raiseFraction = 0.2
	// calmRaiseFraction replaces raiseFraction once the service has room again.
	calmRaiseFraction = 0.5
	// initialDemandFraction is the fraction of a daemon's demand at which its rate starts if
	// that is more than an equal share. This is the case if all clients connect to a few
	// daemons.
	initialDemandFraction = 0.5
	// minShareFraction is the fraction of an equal share below which the rate does not fall, so
	// that the daemon notices slots that others release. minRate, in starts per second, has the
	// same purpose where an equal share is tiny.
	minShareFraction = 1.0 / 8
	minRate          = 1.0
	// maxCredit is how many starts can be saved up. With a credit of one start, a daemon with
	// occasional requests sends each of them at once.
	maxCredit = 1.0
)

// FullnessSign is the observation by which a service is considered full.
type FullnessSign string

const (
	// SignDeclined: each replica that was asked declined a request.
	SignDeclined FullnessSign = "declined"
	// SignSlotsTaken: each replica has at least as many requests as slots, by its own report or
	// by this daemon's count of its own requests.
	SignSlotsTaken FullnessSign = "as many requests as slots"
	// SignSlow: several consecutive answers took far longer than usual.
	SignSlow FullnessSign = "slow answers"
)

// Capacity describes how much the replicas of a service can run at once, and how many daemons
// share it.
type Capacity struct {
	Slots, Daemons int
	// Demand is this daemon's recent rate of arrivals, in requests per second.
	Demand float64
	// TypicalTime is the typical duration of a request. It must be above 0.
	TypicalTime time.Duration
}

// totalRate returns the rate at which all slots are in use, in starts per second.
func (c Capacity) totalRate() float64 { return float64(max(c.Slots, 1)) / c.TypicalTime.Seconds() }

// equalShare returns totalRate divided by the number of daemons.
func (c Capacity) equalShare() float64 { return c.totalRate() / float64(max(c.Daemons, 1)) }

// StartRate limits the rate at which a daemon starts requests at one service. The limit becomes
// active at the first sign that the service is full, and stays so until Expire finds that the
// last sign no longer counts. The zero StartRate is inactive. A StartRate is not safe for
// concurrent use.
type StartRate struct {
	active    bool
	perSecond float64
	// credit is the number of requests that may start, as of creditAt.
	credit   float64
	creditAt time.Time
	fullAt   time.Time
	cutAt    time.Time
	// calmAnswers counts the answers since fullAt.
	calmAnswers int
}

// RecordFull records a sign that the service is full. It activates the limit if the limit is
// inactive. Otherwise it cuts the rate, unless the last cut is less than minCutInterval ago.
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

// RecordAnswer records an answer that is no sign of a full service, and raises the rate. It does
// nothing while the limit is inactive.
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

// AllowStart sets the credit to one start, because a slot has become free: one request may start
// now.
func (r *StartRate) AllowStart(now time.Time) {
	r.refill(now)
	r.credit = maxCredit
}

// Expire deactivates the limit if the service is no longer considered full. It must only be
// called while no request is waiting.
func (r *StartRate) Expire(now time.Time) {
	if r.active && !r.isFull(now) {
		*r = StartRate{}
	}
}

// isFull reports whether the last sign that the service is full still counts.
func (r *StartRate) isFull(now time.Time) bool {
	return r.calmAnswers < minCalmAnswers && now.Sub(r.fullAt) <= fullMaxAge
}

// TryStart reports whether a request may start now, and if so spends one start of the credit.
// While the limit is inactive, TryStart always returns true.
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

// NextStartIn returns the time until a request may start, or 0 if a request may start now.
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
	minPerSecond := max(c.equalShare()*minShareFraction, minRate)
	r.perSecond = max(minPerSecond, min(r.perSecond, c.totalRate()))
}

// timerSlack is added to computed waits. Without it, a timer could fire slightly too early and
// would have to be set again.
const timerSlack = time.Microsecond

func secondsToDuration(seconds float64) time.Duration {
	if seconds <= 0 {
		return 0
	}
	return time.Duration(seconds*float64(time.Second)) + timerSlack
}
