// Package admission decides, independently at each daemon, which plain requests run now, which wait
// in a queue and which are refused at once because they can't be served in time.
//
// It handles bursts in which many daemons together receive more plain requests than a service has
// slots for, and in which some tenants send far more requests than others. Without admission
// control the requests fill the replicas' queues until every request is late, or one replica after
// the other declines a request, and a single tenant can take all slots. As long as a service shows
// no sign of being full, its requests pass without waiting.
//
// A daemon's share of the slots may be less than one, so it is expressed as a rate of starts: the
// share divided by the typical duration of a request (Little's law). The rate is adjusted by
// additive increase and multiplicative decrease (AIMD): it is cut when all replicas decline a
// request and raised with each answer. Daemons that share a service thereby converge to similar
// shares without communicating.
//
// # Usage
//
//	controller := admission.New(admission.Options{...})
//	ticket, err := controller.Enter(ctx, admission.Request{ID: id, Service: service, Tenant: tenant, Rank: rank, TimeLeft: left})
//	if err != nil {
//		return err // a *RefusedError: the request has not run
//	}
//	answer, err := send() // further attempts as long as ticket.MayRetry
//	ticket.Done(admission.Answered{Took: took})
//
// Plan and StartRate implement the decisions without clocks, locks or goroutines. One gate for each
// service owns the state: the queue, the start rate, the durations of answers and the recent work
// of tenants. The gate reads the state of the replicas from package replica, and the caller
// (ingress) reports the outcome of each request with Ticket.Done.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/replicas/replica"
)

// Request describes a plain request that asks for admission.
type Request struct {
	ID      string
	Service string
	// Tenant is "" for requests without a tenant, which together count as one tenant.
	Tenant string
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// TimeLeft returns how long the caller will still wait. It must count the time in which the
	// machine was suspended.
	TimeLeft func() time.Duration
	// TargetLatency is the time from the request's arrival within which it should be answered; 0
	// means that the request has no target.
	TargetLatency time.Duration
	// Age is the time since the request arrived.
	Age time.Duration
}

// Reason is the cause of a refusal. It is part of the error text that callers receive.
type Reason string

const (
	// NoTurnInTime: at its position in the queue the request can't be answered before its
	// deadline, or would wait longer than the fraction of its target latency that maxWaitDivisor
	// sets.
	NoTurnInTime Reason = "no turn in time"
	// QueueFull: the queue of the service at this daemon has reached maxWaiting.
	QueueFull Reason = "too many wait"
	// AllDeclined: the request was admitted as often as allowed, and each time every replica
	// that was asked declined it.
	AllDeclined Reason = "all replicas are full"
	// ContextEnded: the context of the request ended while it waited.
	ContextEnded Reason = "its wait has ended"
)

// RefusedError reports that a request was refused before it was sent, or that every replica
// declined it. It guarantees that the request has not run and will not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the suggested delay before the caller tries again. It is randomized, so that
	// callers do not return at the same time.
	RetryAfter time.Duration
	// drainTime is the estimated time until the current queue is empty.
	drainTime time.Duration
}

// Error implements error.
func (err *RefusedError) Error() string { return "admission: " + string(err.Reason) }

// Options configures a Controller and provides its dependencies.
type Options struct {
	// Replicas returns the known state of the replicas of a service.
	Replicas func(service string) []replica.Replica
	// Daemons returns the number of daemons that share the services.
	Daemons func() int
	Clock   bootclock.Clock
	// Observe is called with the outcome and the waiting time of each request that waited or was
	// refused. The mutex of the service's gate is held during the call, so Observe must not call
	// the Controller.
	Observe func(service, outcome string, waited time.Duration)
	Logger  *zap.Logger
}

// Controller admits the requests of one daemon. It is safe for concurrent use.
type Controller struct {
	Options
	mu    sync.Mutex
	gates map[string]*gate
}

// New returns a Controller that considers no service full.
func New(options Options) *Controller {
	return &Controller{Options: options, gates: map[string]*gate{}}
}

// Enter blocks until the request may be sent or is refused. The error is always a *RefusedError.
func (c *Controller) Enter(ctx context.Context, req Request) (*Ticket, error) {
	return c.gate(req.Service).enter(ctx, req)
}

// RefuseDeclined returns the error for a request that every replica declined each time it was
// admitted.
func (c *Controller) RefuseDeclined(req Request) *RefusedError {
	return c.gate(req.Service).refuseDeclined(req)
}

// gate returns the gate of a service, creating it on first use.
func (c *Controller) gate(service string) *gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gates[service]
	if g == nil {
		g = &gate{options: &c.Options, service: service, work: tenantWork{}, random: rand.Float64}
		c.gates[service] = g
	}
	return g
}

// Counts holds the current numbers of all services together.
type Counts struct {
	// Waiting is the number of queued requests.
	Waiting int
	// FullServices is the number of services that this daemon considers full. These are the
	// services for which its rate limit is active.
	FullServices int
	// SlotShare is how many slots this daemon uses at its rates of starts, summed over the full
	// services.
	SlotShare float64
}

// Count returns the current counts. It also ends the rate limit of each service without waiting
// requests whose last sign of being full no longer counts.
func (c *Controller) Count() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts Counts
	for _, g := range c.gates {
		g.count(&counts)
	}
	return counts
}
