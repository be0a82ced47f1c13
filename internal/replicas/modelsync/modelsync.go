// Package modelsync loads the newest weight versions that trainers announce into the engines. One
// daemon does so at a time: the holder of the lease.
//
// Each step assigns engines to models (allotment.go, kinds.go), lists the engines of each model
// that are due for the newest version (due.go), orders these changes by urgency (order.go), and
// limits how many run at a time (width.go). These rules have no side effects outside the syncer.
// change.go runs the changes, and notes.go keeps the state of each engine between steps.
//
// The state of the engines is kept in memory only; the next holder of the lease reads it from the
// engines again. The package relies on the lease and its fence, on the demand of the trainers'
// batches, and on engines that refuse orders with a lower fence.
//
// # Usage
//
//	syncer := modelsync.New(modelsync.Deps{Lease: held, Driver: engines, Table: table, ...}, logger)
//	go syncer.Run(ctx, demandFollower.Run) // sends orders only while the lease is held
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

// stepInterval is the time between two checks for due changes.
const stepInterval = 100 * time.Millisecond

// Deps are the dependencies of a Syncer.
type Deps struct {
	// Holder is the name of this daemon in the orders that it sends.
	Holder        string
	Lease         *lease.Lease
	Driver        engine.Driver
	Table         *replica.Table
	Configuration func() *route.Configuration
	// NewestVersions returns the newest announced version of each model.
	NewestVersions func() map[string]int64
	Demands        *demand.State
	// EventTime returns the event time of an engine. Engines without an event time count as
	// members of the largest speed class.
	EventTime EventTimeFunc
}

// Syncer loads the newest announced versions into the engines. It is safe for concurrent use.
type Syncer struct {
	Deps
	logger *zap.Logger
	// OrdersSent counts the orders sent to engines.
	OrdersSent atomic.Uint64

	mu sync.Mutex
	// engines holds the state of each engine by its id.
	engines map[string]*engineState
	// loadsInProgress is the number of engines with a change in progress.
	loadsInProgress  int
	expectedLoadTime time.Duration
	// allotments holds, for each service, the number of replicas for each of its models.
	allotments map[string][]int
	limiter    loadLimiter
}

// New returns a Syncer without state. Run starts it.
func New(deps Deps, logger *zap.Logger) *Syncer {
	return &Syncer{
		Deps: deps, logger: logger, engines: map[string]*engineState{}, allotments: map[string][]int{}, expectedLoadTime: initialLoadTime,
	}
}

// Run starts due changes while the lease is held, until the context ends. When the lease is
// gained, Run calls follow, which reads the demand, in a goroutine; when the lease is lost, it
// cancels the context that it passed to follow.
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
		if _, _, allowed := s.Lease.Fence(); allowed {
			s.step(ctx, time.Now())
		}
	})
	stop()
}

// step does one round for all engine services of the configuration. It assigns the replicas of each
// service to the models of that service. It then starts the changes that are due, until the load
// limit is reached. Without a configuration it does nothing.
func (s *Syncer) step(ctx context.Context, now time.Time) {
	configuration := s.Configuration()
	if configuration == nil {
		return
	}
	newestVersions := s.NewestVersions()
	for name, service := range configuration.Services {
		if !service.IsEngine || len(service.Models) == 0 {
			continue
		}
		replicas := s.Table.Replicas(name)
		s.updateListed(replicas, now)
		assignments := s.assignReplicas(name, service.Models, replicas)
		due := listDueChanges(assignments, service.Models, newestVersions, s.maxLag, chooseManner(configuration, name), s.isLoading)
		s.startChanges(ctx, due, now)
	}
	s.removeExpired(now)
}

// startChanges starts changes in the given order until the load limit is reached. Engines with a
// change in progress or in backoff are skipped.
func (s *Syncer) startChanges(ctx context.Context, due []change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.waiting = len(due)
	for _, c := range due {
		if s.loadsInProgress >= s.limiter.maxLoads() {
			return
		}
		state := s.stateOf(c.replica.ID)
		if state.loading || !state.backoff.Over(now) {
			continue
		}
		state.loading = true
		s.loadsInProgress++
		go s.runChange(ctx, c, state)
	}
}

// maxLag returns how many versions an engine may be behind the newest one and still run the
// model's newest batch.
func (s *Syncer) maxLag(model string) int64 {
	return s.Demands.Newest(model).MaxLag()
}
