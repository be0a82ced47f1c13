package admission

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Outcomes of requests that waited or were refused, as they appear in logs and metrics.
const (
	outcomeStarted   = "started"
	outcomeRefused   = "refused"
	outcomeAbandoned = "let go"
)

// waiter is a request in the queue.
type waiter struct {
	Request
	since time.Time
	// decided is buffered for the one decision that ends the wait, so that sending never blocks.
	decided chan decision
}

// decision ends the wait of a request with either a ticket or a *RefusedError.
type decision struct {
	ticket *Ticket
	err    error
}

// refuse removes a waiting request from the queue and refuses it. g.mu must be held.
func (g *gate) refuse(w *waiter, reason Reason, drainTime time.Duration) {
	g.dequeue(w)
	w.decided <- decision{err: g.newRefusal(w, reason, drainTime)}
}

// newRefusal returns the refusal of a request and logs it. g.mu must be held.
func (g *gate) newRefusal(w *waiter, reason Reason, drainTime time.Duration) *RefusedError {
	refused := &RefusedError{Reason: reason, RetryAfter: RetryAfter(drainTime, w.TimeLeft(), w.Rank, g.random()), drainTime: drainTime}
	g.log(w, outcomeRefused, refused)
	return refused
}

// refuseDeclined returns the refusal of a request that is no longer in the queue: it was
// admitted and all replicas declined it.
func (g *gate) refuseDeclined(req Request) *RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{Request: req, since: g.options.Clock().Add(-req.Age)}
	return g.newRefusal(w, AllDeclined, secondsToDuration(float64(len(g.waiting)+1)/max(g.rate.perSecond, minRate)))
}

// admit removes a waiting request from the queue and lets it start. g.mu must be held.
func (g *gate) admit(w *waiter) {
	g.dequeue(w)
	if g.options.Clock().After(w.since) {
		g.log(w, outcomeStarted, &RefusedError{})
	}
	w.decided <- decision{ticket: g.start(w.Request)}
}

// dequeue removes a request from the queue and reports whether it was there. g.mu must be held.
func (g *gate) dequeue(w *waiter) bool {
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(slices.Clone(g.waiting), i, i+1) // cloned because startNext iterates over the old slice
	return true
}

// abandon ends the wait of a request whose context has ended.
func (g *gate) abandon(ctx context.Context, w *waiter) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dequeue(w) {
		g.log(w, outcomeAbandoned, &RefusedError{Reason: Reason(context.Cause(ctx).Error())})
	} else if d := <-w.decided; d.ticket != nil {
		// The request was admitted at the moment its context ended. As it is not sent, another
		// request may start in its place, and its work is not charged to the tenant.
		g.rate.AllowStart(g.options.Clock())
		g.correctWork(d.ticket, -d.ticket.chargedWork)
	}
	g.processQueue(g.options.Clock(), g.options.Replicas(g.service))
	return nil, &RefusedError{Reason: ContextEnded, RetryAfter: minRetryAfter}
}

// scheduleRecheck schedules a check of the queue after the given time, instead of any check that
// is already scheduled. g.mu must be held.
func (g *gate) scheduleRecheck(after time.Duration) {
	if g.timer != nil {
		g.timer.Reset(after)
		return
	}
	g.timer = time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.processQueue(g.options.Clock(), g.options.Replicas(g.service))
	})
}

// log logs and observes the outcome of a request that waited or was refused. g.mu must be held.
func (g *gate) log(w *waiter, outcome string, refused *RefusedError) {
	now := g.options.Clock()
	waited := now.Sub(w.since)
	g.options.Observe(g.service, outcome, waited)
	g.options.Logger.Info("admission", zap.String("request", w.ID), zap.String("service", g.service),
		zap.String("tenant", w.Tenant), zap.Int("rank", w.Rank),
		zap.String("outcome", outcome), zap.String("reason", string(refused.Reason)),
		zap.Int("queue", len(g.waiting)), zap.Float64("rate", g.rate.perSecond), zap.Float64("places", g.slotShare()),
		zap.Duration("usual", g.times.quantile(0.5)), zap.Duration("need", g.times.quantile(requiredTimeQuantile)),
		zap.Duration("waited", waited), zap.Duration("left", w.TimeLeft()),
		zap.Duration("full_age", now.Sub(g.rate.fullAt)), zap.Duration("drain", refused.drainTime), zap.Duration("come_back", refused.RetryAfter))
}
