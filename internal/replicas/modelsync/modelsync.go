// Package modelsync brings the engines to the versions of the weights that trainers name.
// One daemon does it at a time: the holder of the lease.
//
// Each step asks which engines are for which model (allotment.go, kinds.go), which of a
// model's engines are due for the newest version (due.go), in which order they come (order.go),
// and how many may change at a time (width.go): these are the rules, all but pure. change.go
// carries the changes out, notes.go remembers the engines between steps.
//
// The package owns what it remembers of the engines, in memory only: a successor finds out
// from the engines themselves. It relies on the lease and its fence, on the demands of the
// trainers' batches, and on the engines to refuse orders of a lower fence.
//
// # Usage
//
//	syncer := modelsync.New(modelsync.Parts{Lease: held, Driver: engines, Table: table, ...}, logger)
//	go syncer.Run(ctx, demandFollower.Run) // acts only while the lease is held
package modelsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/membership/lease"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// stepInterval is the time between two looks for changes that are due.
const stepInterval = 100 * time.Millisecond

// Deps are what a syncer works with.
type Deps struct {
	// Holder is the name in which orders are given.
	Holder        string
	Lease         *lease.Lease
	Driver        engine.Driver
	Table         *replica.Table
	Configuration func() *route.Configuration
	// NewestVersions gives the newest version that was named of each model.
	NewestVersions func() map[string]int64
	Demands        *demand.State
	// EventTime tells how fast engines are; those of which nothing is known count alike.
	EventTime EventTimeFunc
}

// Syncer brings engines to the named versions. It is safe for concurrent use.
type Syncer struct {
	Deps
	logger *zap.Logger
	// OrdersSent counts the orders given.
	OrdersSent atomic.Uint64

	mu sync.Mutex
	// engines are what is remembered of each engine, by its id.
	engines map[string]*engineState
	// loadsInProgress counts the engines with a change under way.
	loadsInProgress  int
	expectedLoadTime time.Duration
	// allotments is how many replicas of a service are for each of its models.
	allotments map[string][]int
	limiter    loadLimiter
}

// New returns a syncer.
func New(parts Deps, logger *zap.Logger) *Syncer {
	return &Syncer{
		Deps: parts, logger: logger, engines: map[string]*engineState{}, allotments: map[string][]int{}, expectedLoadTime: initialLoadTime,
	}
}

// Run looks for engines to change while the lease is held, until the context
// ends. Demands are followed only meanwhile.
func (s *Syncer) Run(ctx context.Context, follow func(context.Context)) {
	stop := func() {}
	following := false
	periodic.Every(ctx, stepInterval, func(ctx context.Context) {
		held := s.Lease.Held()
		switch {
		case held && !following:
			var followContext context.Context
			followContext, stop = context.WithCancel(ctx)
			go follow(followContext)
		case !held && following:
			stop()
		}
		following = held
		if _, _, may := s.Lease.Fence(); may {
			s.step(ctx, time.Now())
		}
	})
	stop()
}

// step starts the changes that are due and for which there is room.
func (s *Syncer) step(ctx context.Context, now time.Time) {
	configuration := s.Configuration()
	if configuration == nil {
		return
	}
	named := s.NewestVersions()
	for name, service := range configuration.Services {
		if !service.Engine || len(service.Models) == 0 {
			continue
		}
		replicas := s.Table.Replicas(name)
		s.updateListed(replicas, now)
		deals := s.assignReplicas(name, service.Models, replicas)
		due := listDueChanges(deals, service.Models, named, s.maxLag, chooseManner(configuration, name), s.isLoading)
		s.startChanges(ctx, due, now)
	}
	s.removeExpired(now)
}

// startChanges starts the changes for which there is room.
func (s *Syncer) startChanges(ctx context.Context, due []change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.waiting = len(due)
	for _, c := range due {
		if s.loadsInProgress >= s.limiter.maxLoads() {
			return
		}
		n := s.stateOf(c.replica.ID)
		if n.loading || !n.backoff.Over(now) {
			continue
		}
		n.loading = true
		s.loadsInProgress++
		go s.runChange(ctx, c, n)
	}
}

// maxLag is how many versions behind the newest the batches of a model allow.
func (s *Syncer) maxLag(model string) int64 {
	return s.Demands.Of(model).Lag()
}
