package admission

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Outcomes of requests that waited or were refused, in logs and metrics.
const (
	outcomeStarted   = "started"
	outcomeRefused   = "refused"
	outcomeAbandoned = "let go"
)

// waiter is a request that waits.
type waiter struct {
	Request
	since time.Time
	// decided has room for the one decision that ends its wait.
	decided chan decision
}

// decision ends the wait of a request: its turn, or a *Refused.
type decision struct {
	ticket *Ticket
	err    error
}

// refuse ends the wait of a request that has not run. The lock is held.
func (g *gate) refuse(w *waiter, reason Reason, drain time.Duration) {
	g.dequeue(w)
	w.decided <- decision{err: g.newRefusal(w, reason, drain)}
}

// newRefusal is that of a request, which it logs. The lock is held.
func (g *gate) newRefusal(w *waiter, reason Reason, drain time.Duration) *RefusedError {
	refused := &RefusedError{Reason: reason, RetryAfter: RetryAfter(drain, w.TimeLeft(), w.Rank, g.random()), drainTime: drain}
	g.log(w, outcomeRefused, refused)
	return refused
}

// refuseDeclined refuses a request that does not wait.
func (g *gate) refuseDeclined(req Request) *RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{Request: req, since: g.options.Clock().Add(-req.Age)}
	return g.newRefusal(w, AllDeclined, secondsToDuration(float64(len(g.waiting)+1)/max(g.rate.perSecond, minRate)))
}

// admit ends the wait of a request by its turn. The lock is held.
func (g *gate) admit(w *waiter) {
	g.dequeue(w)
	if g.options.Clock().After(w.since) {
		g.log(w, outcomeStarted, &RefusedError{})
	}
	w.decided <- decision{ticket: g.start(w.Request)}
}

// dequeue takes a request off those that wait, and reports whether it was among them. The lock is held.
func (g *gate) dequeue(w *waiter) bool {
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(slices.Clone(g.waiting), i, i+1) // a plan under way holds the former slice
	return true
}

// abandon ends the wait of a request whose context has ended.
func (g *gate) abandon(ctx context.Context, w *waiter) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dequeue(w) {
		g.log(w, outcomeAbandoned, &RefusedError{Reason: Reason(context.Cause(ctx).Error())})
	} else if d := <-w.decided; d.ticket != nil {
		// Its turn came together with the end: it is not sent, and its part goes to the next one.
		g.rate.AllowStart(g.options.Clock())
		g.correctWork(d.ticket, -d.ticket.chargedWork)
	}
	g.processQueue(g.options.Clock(), g.options.Replicas(g.service))
	return nil, &RefusedError{Reason: ContextEnded, RetryAfter: minRetryAfter}
}

// scheduleRecheck has those that wait looked at again. The lock is held.
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

// log writes the line about a request that waited or was refused. The lock is held.
func (g *gate) log(w *waiter, outcome string, why *RefusedError) {
	now := g.options.Clock()
	waited := now.Sub(w.since)
	g.options.Observe(g.service, outcome, waited)
	g.options.Logger.Info("admission", zap.String("request", w.ID), zap.String("service", g.service),
		zap.String("tenant", w.Tenant), zap.Int("rank", w.Rank),
		zap.String("outcome", outcome), zap.String("reason", string(why.Reason)),
		zap.Int("queue", len(g.waiting)), zap.Float64("rate", g.rate.perSecond), zap.Float64("places", g.slotShare()),
		zap.Duration("usual", g.times.quantile(0.5)), zap.Duration("need", g.times.quantile(requiredTimeQuantile)),
		zap.Duration("waited", waited), zap.Duration("left", w.TimeLeft()),
		zap.Duration("full_age", now.Sub(g.rate.fullAt)), zap.Duration("drain", why.drainTime), zap.Duration("come_back", why.RetryAfter))
}
