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
	// maxWaiting is how many requests of a service wait at one daemon at most: more
	// than a daemon's part of the places ends within the time of a plain request, and
	// few enough to be put in order at each arrival.
	maxWaiting = 64
	// recheckInterval is after which time those that wait are looked at again if nothing has
	// woken them: replicas come and go, and times run out.
	recheckInterval = 50 * time.Millisecond
	// requiredTimeQuantile is the part of the answers whose time a request must have left: the few that
	// take longest are no reason to refuse others.
	requiredTimeQuantile = 0.9
	// retriesPercent is how many further attempts each hundred first ones of a full service
	// earn, minRetries how many a second there are at least.
	retriesPercent      = 100
	minRetriesPerSecond = 2
	// maxWaitDivisor is the part of its aim, one in so many, that a request waits at most while
	// the aim can be reached: a caller that is refused within it has the rest of the time for another
	// try.
	maxWaitDivisor = 4
	// demandTimeConstant is over which time arrivals are counted.
	demandTimeConstant = 500 * time.Millisecond
)

// gate admits the requests for one service.
type gate struct {
	options *Options
	service string
	// random returns numbers from 0 to 1.
	random func() float64

	mu      sync.Mutex
	rate    StartRate
	times   answerTimes
	retries retrybudget.Budget
	waiting []*waiter
	// work has the work that tenants have had while the start rate bound.
	work tenantWork
	// starts counts while the start rate binds.
	starts   int
	arrivals arrivalRate
	timer    *time.Timer
}

// arrivalRate is the rate of arrivals, in requests a second.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

// add decays the rate and, for each arrival, raises it.
func (d *arrivalRate) add(now time.Time, arrivals float64) float64 {
	passed := max(now.Sub(d.at), 0).Seconds() / demandTimeConstant.Seconds()
	d.perSecond = d.perSecond*math.Exp(-passed) + arrivals/demandTimeConstant.Seconds()
	d.at = now
	return d.perSecond
}

// enter returns once a request may be sent.
func (g *gate) enter(ctx context.Context, req Request) (*Ticket, error) {
	waiting, ticket := g.startOrEnqueue(req)
	if ticket != nil {
		return ticket, nil
	}
	select {
	case d := <-waiting.decided:
		return d.ticket, d.err
	case <-ctx.Done():
	}
	return g.abandon(ctx, waiting)
}

// startOrEnqueue lets a request start if its service is not seen to be full, or has it take its place
// among those that wait, where it may start or be refused at once.
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
	added := &waiter{Request: req, since: now, decided: make(chan decision, 1)}
	g.waiting = append(g.waiting, added)
	g.processQueue(now, replicas)
	return added, nil
}

// updateRate takes what is believed of the replicas into account. The lock is held.
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

// allFull reports whether each replica is known to have as many requests as slots.
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

// start gives a request its turn. The lock is held.
func (g *gate) start(req Request) *Ticket {
	ticket := &Ticket{gate: g, tenant: req.Tenant, targetLatency: req.TargetLatency}
	if !g.rate.active {
		return ticket
	}
	g.starts++
	g.retries.FirstTry(retriesPercent)
	ticket.chargedWork = g.times.quantile(0.5)
	g.work.add(req.Tenant, ticket.chargedWork, g.options.Clock())
	return ticket
}

// snapshot is what decides on the order of those that wait. The lock is held.
func (g *gate) snapshot(now time.Time) Snapshot {
	rate := g.rate.perSecond
	s := Snapshot{
		Waiting: make([]QueuedRequest, len(g.waiting)), Rate: rate, LateRate: max(rate-g.arrivals.add(now, 0), rate/oldestTurnInterval),
		NextStartIn: g.rate.NextStartIn(now), RequiredTime: g.times.quantile(requiredTimeQuantile), TypicalTime: g.times.quantile(0.5),
		TenantWork: make(map[string]time.Duration), Starts: g.starts,
	}
	for i, w := range g.waiting {
		held, aim := w.Age+now.Sub(w.since), time.Duration(math.MaxInt64)
		patience := aim
		if w.TargetLatency > 0 {
			aim = w.TargetLatency - held
			patience = max(w.TargetLatency/maxWaitDivisor-held, 0)
		}
		s.TenantWork[w.Tenant] = g.work.work(w.Tenant, now)
		s.Waiting[i] = QueuedRequest{Age: held, Tenant: w.Tenant, Rank: w.Rank, TimeLeft: w.TimeLeft(), TargetLeft: aim, MaxWait: patience}
	}
	return s
}

// processQueue starts, keeps and refuses those that wait, and sees to it that it is called again.
// The lock is held.
func (g *gate) processQueue(now time.Time, replicas []replica.Replica) {
	g.updateRate(now, replicas)
	for len(g.waiting) > 0 {
		if len(replicas) == 0 || !g.rate.active {
			// Nothing is known to be full: what is sent says what is certain.
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

// startNext refuses those that have no time, and starts the first one if it may. It reports
// whether one has started. The lock is held.
func (g *gate) startNext(now time.Time) bool {
	var first *waiter
	s := g.snapshot(now)
	turns := Plan(s)
	all := g.waiting
	drain := secondsToDuration(float64(len(turns)) / s.LateRate)
	for i, turn := range turns {
		w := all[turn.Index]
		switch {
		case turn.Refused:
			g.refuse(w, NoTurnInTime, drain)
		case i >= maxWaiting:
			g.refuse(w, QueueFull, drain)
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

// slotShare is this daemon's part of the slotShare, while the start rate binds. The lock is held.
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
