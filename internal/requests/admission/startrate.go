package admission

import (
	"math"
	"time"
)

const (
	// minCalmAnswers is the number of consecutive answers without a sign that the service is full
	// after which it is considered to have room again.
	minCalmAnswers = 20
	// fullMaxAge is how long the last sign keeps a service full at most, since a daemon with few
	// requests does not see minCalmAnswers.
	fullMaxAge = 3 * time.Second
	// minCutInterval is the shortest time between two cuts of the rate. The outcomes of requests
	// that were sent before a cut carry no information about the new rate.
	minCutInterval = 60 * time.Millisecond
	// declinedCutFactor multiplies the rate when a request was declined. The cut is mild because a
	// decline costs the replicas little and some declines keep the slots in use.
	declinedCutFactor = 0.8
	// queuedCutFactor multiplies the rate when requests queue at the replicas, but does not take it
	// below an equal share, at which as many requests run as there are slots. The cut is strong
	// because the replicas' queues ignore rank and delay all later requests.
	queuedCutFactor = 0.5
	// raiseFraction is the fraction of the geometric mean of the rate and an equal share by which
	// an answer raises the rate. The geometric mean makes shares converge, since rates above an
	// equal share grow by a smaller fraction than rates below it, and still lets a daemon with all
	// of the demand use all slots.
	raiseFraction = 0.2
	// calmRaiseFraction replaces raiseFraction once the service has room again.
	calmRaiseFraction = 0.5
	// initialDemandFraction is the fraction of a daemon's demand at which its rate starts if that
	// is more than an equal share, as when all clients connect to a few daemons.
	initialDemandFraction = 0.5
	// minShareFraction is the fraction of an equal share that a daemon always uses, so that it
	// notices slots that others release. minRate, in starts per second, does the same where an
	// equal share is tiny.
	minShareFraction = 1.0 / 8
	minRate          = 1.0
	// maxCredit is how many starts can be saved up. A daemon with occasional requests sends each at
	// once.
	maxCredit = 1.0
)

// FullnessSign is the observation by which a service is considered full.
type FullnessSign string

const (
	// SignDeclined: each replica that was asked declined a request.
	SignDeclined FullnessSign = "declined"
	// SignSlotsTaken: each replica reports as many requests as it has slots, or has that many from
	// this daemon.
	SignSlotsTaken FullnessSign = "as many requests as slots"
	// SignSlow: several consecutive answers took far longer than usual.
	SignSlow FullnessSign = "slow answers"
)

// Capacity is what the replicas of a service can serve, and among how many daemons it is shared.
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

// StartRate limits the rate at which a daemon starts requests at one service. The limit is active
// from the first sign that the service is full until Expire finds that none has come for a while.
// The zero StartRate is inactive. It is not safe for concurrent use.
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

// RecordFull records a sign that the service is full. It activates the limit, or cuts the rate
// unless the last cut is less than minCutInterval ago.
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

// RecordAnswer records an answer without a sign that the service is full, and raises the rate.
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

// AllowStart sets the credit so that one request may start now, because a slot has become free.
func (r *StartRate) AllowStart(now time.Time) {
	r.refill(now)
	r.credit = maxCredit
}

// Expire deactivates the limit if the service is no longer considered full. No request may be
// waiting.
func (r *StartRate) Expire(now time.Time) {
	if r.active && !r.isFull(now) {
		*r = StartRate{}
	}
}

// isFull reports whether the last sign that the service is full still counts.
func (r *StartRate) isFull(now time.Time) bool {
	return r.calmAnswers < minCalmAnswers && now.Sub(r.fullAt) <= fullMaxAge
}

// TryStart reports whether a request may start now, and if so spends the credit for it. It always
// succeeds while the limit is inactive.
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

// NextStartIn returns the time until a request may start, 0 if it may start now.
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

// timerSlack is added to durations because a timer that fires slightly early would have to be set
// again.
const timerSlack = time.Microsecond

func secondsToDuration(seconds float64) time.Duration {
	if seconds <= 0 {
		return 0
	}
	return time.Duration(seconds*float64(time.Second)) + timerSlack
}
