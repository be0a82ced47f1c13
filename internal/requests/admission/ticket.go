package admission

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
)

// Outcome is what became of a request that was let to the replicas.
type Outcome interface{ outcome() }

// Answered: a replica answered it within the given time.
type Answered struct{ Took time.Duration }

// Declined: each replica that it was offered to was full. It has not run.
type Declined struct{}

// Unanswered: there is no answer, for reasons that say nothing of the room at the replicas.
type Unanswered struct{}

func (Answered) outcome()   {}
func (Declined) outcome()   {}
func (Unanswered) outcome() {}

// Ticket is a request's turn at its service. Done is called once, as it is over.
type Ticket struct {
	gate          *gate
	tenant        string
	targetLatency time.Duration
	// chargedWork is the work that was reckoned for it.
	chargedWork time.Duration
}

// MayRetry reports whether the request may be offered to a further replica. While the
// service is full, further attempts are bounded by a part of the first ones.
func (t *Ticket) MayRetry() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.rate.active || g.retries.TryRetry(g.options.Clock(), minRetriesPerSecond)
}

// Done tells what became of the request.
func (t *Ticket) Done(became Outcome) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock()
	replicas := g.options.Replicas(g.service)
	switch became := became.(type) {
	case Answered:
		g.recordAnswer(now, became.Took, t.targetLatency, replicas)
		g.correctWork(t, became.Took-t.chargedWork)
	case Declined:
		g.recordFull(now, SignDeclined, g.capacity(replicas))
		g.correctWork(t, -t.chargedWork)
	case Unanswered:
	}
	if len(g.waiting) > 0 {
		g.processQueue(now, replicas)
	}
}

// correctWork corrects the work that a tenant has had. The lock is held.
func (g *gate) correctWork(t *Ticket, more time.Duration) {
	if _, ok := g.work[t.tenant]; ok && t.chargedWork > 0 {
		g.work.add(t.tenant, more, g.options.Clock())
	}
}

// recordFull notes a sign that the service is recordFull. The lock is held.
func (g *gate) recordFull(now time.Time, sign FullnessSign, c Capacity) {
	before := g.rate.active
	g.rate.RecordFull(now, c, sign)
	if !before {
		g.options.Logger.Info("service full", zap.String("service", g.service), zap.String("sign", string(sign)),
			zap.Int("slots", c.Slots), zap.Int("daemons", c.Daemons), zap.Duration("usual", c.TypicalTime), zap.Float64("rate", g.rate.perSecond))
	}
}

// recordAnswer learns from the time of an answer. The lock is held.
func (g *gate) recordAnswer(now time.Time, took, aim time.Duration, replicas []replica.Replica) {
	c := g.capacity(replicas)
	slowAnswer := g.times.isSlow(took, aim, g.rate.active)
	if lately, slow := g.times.record(now, took, slowAnswer, g.rate.active); slow {
		c.TypicalTime = lately
		g.recordFull(now, SignSlow, c)
		return
	}
	if slowAnswer && g.rate.active {
		// It may have waited at the replica: it shows no room, and is no sign by itself.
		return
	}
	g.rate.RecordAnswer(now, c)
	if hasRoom(replicas) {
		g.rate.AllowStart(now)
	}
}

// hasRoom reports whether a replica has told a moment ago that it has fewer requests than
// slots. One that has just answered has room for another, so that each answer lets
// one request of this daemon start, and no more than end.
func hasRoom(replicas []replica.Replica) bool {
	return slices.ContainsFunc(replicas, func(rep replica.Replica) bool {
		return rep.ReportedLoad > 0 && max(rep.ReportedLoad, rep.InFlight) < rep.Slots
	})
}
