package admission

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
)

// Outcome is the outcome of an admitted request: Answered, Declined or Unanswered.
type Outcome interface{ outcome() }

// Answered means that a replica answered the request. Took is the time from sending the request
// to its answer.
type Answered struct{ Took time.Duration }

// Declined means that every replica that was asked declined the request, so the request has not
// run.
type Declined struct{}

// Unanswered means that there is no answer, for a reason unrelated to the load of the replicas.
type Unanswered struct{}

func (Answered) outcome()   {}
func (Declined) outcome()   {}
func (Unanswered) outcome() {}

// Ticket permits an admitted request to be sent. Done must be called exactly once, when all
// attempts of the request have ended.
type Ticket struct {
	gate          *gate
	tenant        string
	targetLatency time.Duration
	// chargedWork is the estimated work that was charged to the tenant, or 0 if none was
	// charged.
	chargedWork time.Duration
}

// MayRetry reports whether the request may be sent to another replica. While the service is
// full, each call that returns true spends from a retry budget.
func (t *Ticket) MayRetry() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.rate.active || g.retries.TryRetry(g.options.Clock(), minRetriesPerSecond)
}

// Done records the outcome of the request.
func (t *Ticket) Done(outcome Outcome) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock()
	replicas := g.options.Replicas(g.service)
	switch outcome := outcome.(type) {
	case Answered:
		g.recordAnswer(now, outcome.Took, t.targetLatency, replicas)
		g.correctWork(t, outcome.Took-t.chargedWork)
	case Declined:
		g.recordFull(now, SignDeclined, g.capacity(replicas))
		g.correctWork(t, -t.chargedWork)
	case Unanswered:
	}
	if len(g.waiting) > 0 {
		g.processQueue(now, replicas)
	}
}

// correctWork adds delta to the work of the ticket's tenant, if the ticket was charged any. g.mu
// must be held.
func (g *gate) correctWork(t *Ticket, delta time.Duration) {
	if _, ok := g.work[t.tenant]; ok && t.chargedWork > 0 {
		g.work.add(t.tenant, delta, g.options.Clock())
	}
}

// recordFull records a sign that the service is full. g.mu must be held.
func (g *gate) recordFull(now time.Time, sign FullnessSign, c Capacity) {
	wasActive := g.rate.active
	g.rate.RecordFull(now, c, sign)
	if !wasActive {
		g.options.Logger.Info("service full", zap.String("service", g.service), zap.String("sign", string(sign)),
			zap.Int("slots", c.Slots), zap.Int("daemons", c.Daemons), zap.Duration("usual", c.TypicalTime), zap.Float64("rate", g.rate.perSecond))
	}
}

// recordAnswer updates the durations and the start rate with an answer that took the given time.
// g.mu must be held.
func (g *gate) recordAnswer(now time.Time, took, targetLatency time.Duration, replicas []replica.Replica) {
	c := g.capacity(replicas)
	isSlow := g.times.isSlow(took, targetLatency, g.rate.active)
	if median, runComplete := g.times.record(now, took, isSlow, g.rate.active); runComplete {
		c.TypicalTime = median
		g.recordFull(now, SignSlow, c)
		return
	}
	if isSlow && g.rate.active {
		// The slow request may have waited at the replica. It shows neither that the service has
		// room nor, by itself, that the service is full.
		return
	}
	g.rate.RecordAnswer(now, c)
	if hasRoom(replicas) {
		g.rate.AllowStart(now)
	}
}

// hasRoom reports whether a replica recently reported fewer requests than it has slots. A replica
// that has just answered has a free slot, so each answer lets one request of this daemon start.
func hasRoom(replicas []replica.Replica) bool {
	return slices.ContainsFunc(replicas, func(rep replica.Replica) bool {
		return rep.ReportedLoad > 0 && max(rep.ReportedLoad, rep.InFlight) < rep.Slots
	})
}
