// Package handoff lets the daemons of a zone share connections to replicas: a daemon that
// asks a service seldom hands its plain requests to the one that handles the service.
//
// Replicas close connections that rest. Where many daemons each ask a service seldom,
// nearly every request would make a connection, which takes the replica's time; of the
// daemons of a zone, one that handles them all keeps a few connections in use.
//
// Handed on are requests that may be repeated, with short bodies, under whose content no
// replica has ended; one hop at most. Nothing rests on the peer: one that is silent, busy,
// behind in its configuration or gone is bypassed, and the request goes direct with what
// is left of its time and its attempts.
//
// # Usage
//
//	handing := handoff.New(options)
//	relay.Register(handoff.ServiceName, handing.Service(ctx))
//	answer, err := handing.Do(ctx, call)
//
// The load answered is hundreds of daemons, each of which gets a request for a service
// every few seconds, before replicas that close a connection after one or two.
package handoff

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// Sender sends a call to replicas, as a forward.Forwarder does.
type Sender interface {
	Do(ctx context.Context, call *forward.Call) (*forward.Answer, error)
}

// Peers are the other daemons.
type Peers interface {
	// ZonePeers returns the names of the others of the own zone.
	ZonePeers() []string
	// Ask calls a method of a peer, as relay.Journal's does.
	Ask(ctx context.Context, peer, method string, asked, answer any) error
}

// Options are what requests are handed on with.
type Options struct {
	// Name is this daemon's, Identity that of this run of it.
	Name, Identity string
	Peers          Peers
	Direct         Sender
	// Connected reports whether a connection to a replica of a service rests here.
	Connected func(service string) bool
	// Configuration is the one in force here, nil if none is known.
	Configuration func() *route.Configuration
	Quarantine    *quarantine.Table
	// MayRetry, if not nil, bounds offers to further replicas of what peers hand on.
	MayRetry func(found *route.Route, offers int) bool
	// Ran, if not nil, is told of each run of a tenant's request that a peer handed on:
	// who sends a request to a replica counts it, and nobody else.
	Ran func(tenant string, sentAt time.Time)
	// Clock is the clock by which callers wait, nil for that of the machine.
	Clock  bootclock.Clock
	Logger *zap.Logger
	// Observe is told of each request that was handed on: how it ended and how long the
	// peer took.
	Observe func(outcome string, took time.Duration)
}

// Handoff sends plain requests, some of them through a peer. It is safe for concurrent use.
type Handoff struct {
	options Options
	beliefs *beliefs
	count   atomic.Uint64
}

// New returns a Handoff that has seen nothing yet.
func New(options Options) *Handoff {
	if options.Clock == nil {
		options.Clock = bootclock.Now
	}
	return &Handoff{options: options, beliefs: newBeliefs()}
}

// Do sends a call as a Forwarder's Do does, with the same errors.
func (h *Handoff) Do(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
	now := h.options.Clock()
	name := call.Services[0]
	h.beliefs.asked(name, now)
	if chosen, handed := h.choose(call, now).(Peer); handed {
		return h.handOn(ctx, call, chosen.Name)
	}
	answer, err := h.options.Direct.Do(ctx, call)
	if err == nil {
		h.beliefs.rests(name, upstream.RestOf(answer.Header))
	}
	return answer, err
}

// choose says where a call goes.
func (h *Handoff) choose(call *forward.Call, now time.Time) Choice {
	name := call.Services[0]
	gap, rest, long := h.beliefs.ofService(name, now)
	switch {
	case !call.Repeatable || call.MaxAttempts < 2:
		// With one attempt, a peer that falls silent would leave none.
		return Direct{Reason: "may not be sent twice"}
	case len(call.Body) > maxBodyBytes || long:
		return Direct{Reason: "too long"}
	case h.options.Configuration() == nil:
		return Direct{Reason: "no configuration"}
	case h.suspected(call):
		return Direct{Reason: "suspected"}
	}
	return Decide(Situation{Own: h.options.Name, Zone: h.options.Peers.ZonePeers(), Away: h.beliefs.away(now), Service: name,
		Connected: h.options.Connected(name), Gap: gap, Rest: rest})
}

// suspected reports whether anything is held against a call's content.
func (h *Handoff) suspected(call *forward.Call) bool {
	return h.suspicion(call) != quarantine.Unsuspected
}

func (h *Handoff) suspicion(call *forward.Call) quarantine.Suspicion {
	if h.options.Quarantine.Quiet() {
		return quarantine.Unsuspected
	}
	return h.options.Quarantine.Suspicion(call.Content())
}

// nextID names a handing on.
func (h *Handoff) nextID() string {
	return h.options.Identity + "/" + strconv.FormatUint(h.count.Add(1), 36)
}
