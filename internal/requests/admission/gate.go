package admission

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/retrybudget"
)

const (
	// maxWaiting bounds the requests of one service that wait at one daemon. It keeps the queue
	// short enough to be sorted whenever a request arrives.
	maxWaiting = 64
	// recheckInterval is the longest time between two checks of a queue that is not empty. The
	// checks are needed since the state of replicas and the time left of requests change without
	// a call to the gate.
	recheckInterval = 50 * time.Millisecond
	// requiredTimeQuantile selects the time that a request needs to be answered: this quantile
	// of the durations of answers. A request with less time left is refused; answers slower than
	// the quantile do not lead to refusals.
	requiredTimeQuantile = 0.9
	// retriesPercent is the number of further attempts that are earned by a hundred admitted
	// requests of a full service. minRetriesPerSecond further attempts are allowed in any case.
	retriesPercent      = 100
	minRetriesPerSecond = 2
	// maxWaitDivisor sets the longest wait of a request that can still meet its target latency:
	// the target latency divided by it. The rest is left for a retry at another daemon.
	maxWaitDivisor = 4
	// demandTimeConstant is the time constant of the exponential decay of the arrival rate.
	demandTimeConstant = 500 * time.Millisecond
)

// gate admits the requests for one service.
type gate struct {
	options *Options
	service string
	// random returns a number in [0, 1).
	random func() float64

	mu      sync.Mutex
	rate    StartRate
	times   answerTimes
	retries retrybudget.Budget
	waiting []*waiter
	// work is the recent work of tenants since the rate limit became active.
	work tenantWork
	// starts is the number of requests admitted since the rate limit became active.
	starts   int
	arrivals arrivalRate
	timer    *time.Timer
}

// arrivalRate is an exponentially decaying estimate of the arrivals per second.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

// add decays the rate up to now, adds the given number of arrivals and returns the new rate.
func (d *arrivalRate) add(now time.Time, arrivals float64) float64 {
	elapsed := max(now.Sub(d.at), 0).Seconds() / demandTimeConstant.Seconds()
	d.perSecond = d.perSecond*math.Exp(-elapsed) + arrivals/demandTimeConstant.Seconds()
	d.at = now
	return d.perSecond
}

// enter blocks until the request may be sent, is refused or its context ends.
func (g *gate) enter(ctx context.Context, req Request) (*Ticket, error) {
	w, ticket := g.startOrEnqueue(req)
	if ticket != nil {
		return ticket, nil
	}
	select {
	case d := <-w.decided:
		return d.ticket, d.err
	case <-ctx.Done():
	}
	return g.abandon(ctx, w)
}

// startOrEnqueue returns a ticket if the service is not considered full. Otherwise it queues the
// request and returns its waiter, which may already hold the decision.
func (g *gate) startOrEnqueue(req Request) (*waiter, *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock()
	g.arrivals.add(now, 1)
	replicas := g.options.Replicas(g.service)
	g.updateRate(now, replicas)
	if len(replicas) == 0 || !g.rate.active {
		return nil, g.start(req)
	}
	w := &waiter{Request: req, since: now, decided: make(chan decision, 1)}
	g.waiting = append(g.waiting, w)
	g.processQueue(now, replicas)
	return w, nil
}

// updateRate activates the rate limit if all replicas are full. It ends the limit if the last
// sign that the service is full no longer counts and the queue is empty. g.mu must be held.
func (g *gate) updateRate(now time.Time, replicas []replica.Replica) {
	if allFull(replicas) {
		g.recordFull(now, SignSlotsTaken, g.capacity(replicas))
	} else if len(g.waiting) == 0 {
		g.rate.Expire(now)
	}
	if !g.rate.active {
		clear(g.work)
		g.starts = 0
	}
}

// allFull reports whether there are replicas and each of them is known to have at least as many
// requests as slots.
func allFull(replicas []replica.Replica) bool {
	return len(replicas) > 0 && !slices.ContainsFunc(replicas, func(rep replica.Replica) bool {
		return rep.Slots <= 0 || max(rep.InFlight, rep.ReportedLoad) < rep.Slots
	})
}

func (g *gate) capacity(replicas []replica.Replica) Capacity {
	slots := 0
	for _, rep := range replicas {
		slots += max(rep.Slots, 1)
	}
	return Capacity{Slots: slots, Daemons: g.options.Daemons(), Demand: g.arrivals.add(g.options.Clock(), 0),
		TypicalTime: max(g.times.quantile(0.5), time.Millisecond)}
}

// start returns the ticket of an admitted request. While the rate limit is active, the work of a
// typical request is charged to the tenant. g.mu must be held.
func (g *gate) start(req Request) *Ticket {
	ticket := &Ticket{gate: g, tenant: req.Tenant, targetLatency: req.TargetLatency}
	if !g.rate.active {
		return ticket
	}
	g.starts++
	g.retries.RecordFirstAttempt(retriesPercent)
	ticket.chargedWork = g.times.quantile(0.5)
	g.work.add(req.Tenant, ticket.chargedWork, g.options.Clock())
	return ticket
}

// snapshot returns the input of Plan. g.mu must be held.
func (g *gate) snapshot(now time.Time) Snapshot {
	rate := g.rate.perSecond
	s := Snapshot{
		Waiting: make([]QueuedRequest, len(g.waiting)), Rate: rate, LateRate: max(rate-g.arrivals.add(now, 0), rate/oldestTurnInterval),
		NextStartIn: g.rate.NextStartIn(now), RequiredTime: g.times.quantile(requiredTimeQuantile), TypicalTime: g.times.quantile(0.5),
		TenantWork: make(map[string]time.Duration), Starts: g.starts,
	}
	for i, w := range g.waiting {
		age, targetLeft := w.Age+now.Sub(w.since), time.Duration(math.MaxInt64)
		maxWait := targetLeft
		if w.TargetLatency > 0 {
			targetLeft = w.TargetLatency - age
			maxWait = max(w.TargetLatency/maxWaitDivisor-age, 0)
		}
		s.TenantWork[w.Tenant] = g.work.recent(w.Tenant, now)
		s.Waiting[i] = QueuedRequest{Age: age, Tenant: w.Tenant, Rank: w.Rank, TimeLeft: w.TimeLeft(), TargetLeft: targetLeft, MaxWait: maxWait}
	}
	return s
}

// processQueue admits and refuses all queued requests that can be decided now, and schedules the
// next check if any request still waits. g.mu must be held.
func (g *gate) processQueue(now time.Time, replicas []replica.Replica) {
	g.updateRate(now, replicas)
	for len(g.waiting) > 0 {
		if len(replicas) == 0 || !g.rate.active {
			// Without a limit, or without a known replica, requests do not wait: their attempts
			// determine the outcome.
			g.admit(g.waiting[0])
			continue
		}
		if !g.startNext(now) {
			break
		}
	}
	if len(g.waiting) > 0 {
		g.scheduleRecheck(max(min(g.rate.NextStartIn(now), recheckInterval), time.Millisecond))
	}
}

// startNext refuses the requests that can't be answered in time or do not fit into the queue,
// and admits the first of the others if the rate allows a start. It reports whether a request
// was admitted. g.mu must be held.
func (g *gate) startNext(now time.Time) bool {
	var first *waiter
	s := g.snapshot(now)
	turns := Plan(s)
	waiting := g.waiting
	drainTime := secondsToDuration(float64(len(turns)) / s.LateRate)
	for i, turn := range turns {
		w := waiting[turn.Index]
		switch {
		case turn.Refused:
			g.refuse(w, NoTurnInTime, drainTime)
		case i >= maxWaiting:
			g.refuse(w, QueueFull, drainTime)
		case first == nil:
			first = w
		}
	}
	if first == nil || !g.rate.TryStart(now) {
		return false
	}
	g.admit(first)
	return true
}

// slotShare returns how many of the service's slots this daemon uses at its current rate of
// starts; it is 0 while the rate limit is inactive. g.mu must be held.
func (g *gate) slotShare() float64 { return g.rate.perSecond * g.times.quantile(0.5).Seconds() }

func (g *gate) count(counts *Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts.Waiting += len(g.waiting)
	if len(g.waiting) == 0 {
		g.rate.Expire(g.options.Clock())
	}
	if g.rate.active {
		counts.FullServices++
		counts.SlotShare += g.slotShare()
	}
}
