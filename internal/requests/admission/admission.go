// Package admission decides, at each daemon by itself, which plain requests run now, which
// wait for a place and which are told at once that they can't be served in time.
//
// It answers a burst of more plain requests than a service has places for, met by many
// daemons that each see a few of them, from tenants of which some are large. Unlimited, the
// requests fill the replicas' queues until all are late, or are offered from replica to
// replica and refused together; a tenant that floods takes all places. While a service is
// not seen to be full nothing waits and nothing changes.
//
// A daemon's part of the places may be less than one. It is therefore a rate of starts: the
// part over the usual time of a request (Little's law), halved as a request is declined
// everywhere, raised by a fixed step as one is answered (AIMD), which lets daemons that share
// a service arrive at like parts without a word between them.
//
// # Usage
//
//	controller := admission.New(admission.Options{...})
//	ticket, err := controller.Enter(ctx, admission.Request{ID: id, Service: service, Tenant: tenant, Rank: rank, Left: left})
//	if err != nil {
//		return err // a *Refused: the request has not run
//	}
//	answer, err := send() // further attempts as long as ticket.MayRetry
//	ticket.Done(admission.Answered{Took: took})
//
// Plan and StartRate decide; they read no clock, and hold neither locks nor goroutines. A gate
// for each service owns the state: the requests that wait, the start rate, the times of answers
// and the work that tenants have had. It relies on replica for what is believed of the
// replicas, and on ingress to tell by Ticket.Done what became of each request.
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

// Request is what decides on a request's turn.
type Request struct {
	ID      string
	Service string
	// Tenant is "" where there are no tenants; these requests share one part.
	Tenant string
	// Rank is 0 for those that go first.
	Rank int
	// TimeLeft is how long the caller still waits, by a clock that counts suspensions.
	TimeLeft func() time.Duration
	// TargetLatency is the time within which the answer earns its full credit, from the request's
	// arrival, 0 for none.
	TargetLatency time.Duration
	// Age is how long ago the request arrived.
	Age time.Duration
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoTurnInTime: by its place in the queue it can't be answered in its time, or would wait for longer
	// than a part of its aim.
	NoTurnInTime Reason = "no turn in time"
	// QueueFull: as many wait as this daemon lets wait for one service.
	QueueFull Reason = "too many wait"
	// AllDeclined: every replica that was asked declined it, in each of its turns.
	AllDeclined Reason = "all replicas are full"
	// ContextEnded: the context of the request ended while it waited.
	ContextEnded Reason = "its wait has ended"
)

// RefusedError says that a request was not sent to a replica, or that each declined it. It promises that the
// request has not run and will not.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when the caller should come back; it differs between callers.
	RetryAfter time.Duration
	// drainTime is when those that wait will have had their turns.
	drainTime time.Duration
}

// Error implements error.
func (err *RefusedError) Error() string { return "admission: " + string(err.Reason) }

// Options are what a Controller is made of.
type Options struct {
	// Replicas returns what is believed of the replicas of a service.
	Replicas func(service string) []replica.Replica
	// Daemons is how many daemons share the services.
	Daemons func() int
	Clock   bootclock.Clock
	// Observe is told of each request that waited or was refused: how it went on and
	// how long it waited.
	Observe func(service, outcome string, waited time.Duration)
	Logger  *zap.Logger
}

// Controller admits the requests of one daemon. It is safe for concurrent use.
type Controller struct {
	Options
	mu    sync.Mutex
	gates map[string]*gate
}

// New returns a controller that has seen no service full.
func New(options Options) *Controller {
	return &Controller{Options: options, gates: map[string]*gate{}}
}

// Enter returns once the request may be sent. The error is a *Refused.
func (c *Controller) Enter(ctx context.Context, req Request) (*Ticket, error) {
	return c.gate(req.Service).enter(ctx, req)
}

// RefuseDeclined refuses a request that each replica has declined in each of its turns.
func (c *Controller) RefuseDeclined(req Request) *RefusedError {
	return c.gate(req.Service).refuseDeclined(req)
}

// gate returns that of a service.
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

// Counts are figures of all services together.
type Counts struct {
	// Waiting is how many requests wait.
	Waiting int
	// FullServices is how many services are seen to be full.
	FullServices int
	// SlotShare is this daemon's part of the places of the full ones.
	SlotShare float64
}

// Count returns the figures as they are now.
func (c *Controller) Count() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts Counts
	for _, g := range c.gates {
		g.count(&counts)
	}
	return counts
}
