// Package modelsync brings the engines to the versions of the weights that trainers name.
// One daemon does it at a time: the holder of the lease.
//
// Each step asks which engines are for which model (allotment.go, kinds.go), which of a
// model's engines are due for the newest version (changesOfModel), in which order they come
// (order.go), and how many may change at a time (width.go): these are the rules, all but pure.
// modelsync.go carries the changes out.
//
// The package owns what it remembers of the engines, in memory only: a successor finds out
// from the engines themselves. It relies on the lease and its fence, on the demands of the
// trainers' batches, and on the engines to refuse orders of a lower fence.
//
// # Usage
//
//	syncer := modelsync.New(holder, held, driver, table, configuration, named, demands, logger)
//	syncer.SetEventTime(eventTimeOf)
//	go syncer.Run(ctx, demandFollower.Run) // acts only while the lease is held
package modelsync

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/membership/lease"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

const (
	// lookInterval is the time between two looks for changes that are due.
	lookInterval = 100 * time.Millisecond
	// callTimeout bounds one call to an engine.
	callTimeout = 400 * time.Millisecond
	// initialLoadTime is how long a change of weights is expected to take
	// before one was measured.
	initialLoadTime = 800 * time.Millisecond
	// pollPause is the time between two looks at an engine that loads.
	pollPause = 200 * time.Millisecond
	// loadTimeout is how long a change may take before it is ordered again.
	loadTimeout = 8 * time.Second
	// minFailurePause is how long an engine is left alone after a change that failed, a look's
	// interval. It doubles with each one in a row, as engines that cannot be reached take
	// the place of others, up to maxFailurePause.
	minFailurePause = 100 * time.Millisecond
	maxFailurePause = 2 * time.Second
)

// Errors of a change.
var (
	// errStartedAgain: the engine is not the incarnation that was to change. Its orders,
	// counts and versions are others.
	errStartedAgain = errors.New("modelsync: engine has started again")
	// errIdle: the engine neither has the version nor loads it.
	errIdle = errors.New("modelsync: engine is idle without the version")
	// errTooLong: the engine may still be loading it.
	errTooLong = errors.New("modelsync: change took too long")
)

// changePauses bound the pauses between changes that fail.
var changePauses = backoff.Bounds{First: minFailurePause, Longest: maxFailurePause}

// Named gives the newest version that was named of each model.
type Named func() map[string]int64

// Syncer brings engines to the named versions. It is safe for concurrent use.
type Syncer struct {
	holder        string
	lease         *lease.Lease
	driver        engine.Driver
	table         *replica.Table
	configuration func() *route.Configuration
	named         Named
	demands       *demand.State
	logger        *zap.Logger

	mu sync.Mutex
	// notes are what is remembered of each engine, by its id.
	notes map[string]*note
	// loading counts the engines with a change under way.
	loading  int
	loadTime time.Duration
	orders   uint64
	// allotments is how many replicas of a service are for each of its models.
	allotments map[string][]int
	width      width
	// eventTime returns the event times of engines.
	eventTime EventTime
}

// note is what is remembered of one engine, or of one incarnation of it: a change and its
// rest belong to the incarnation that they were ordered of.
type note struct {
	start replica.Incarnation
	// model is the one that the engine was dealt to, "" for none.
	model   string
	loading bool
	// rest is the pause after changes that failed.
	rest     backoff.Rest
	listedAt time.Time
	// best is the best event time of late.
	best replica.BestTime
}

// forgetAfter is how long a note outlives its engine's place in the list, from
// which an outage of the journal may take all for a while.
const forgetAfter = 30 * time.Second

// New returns a syncer that acts in the name of holder.
func New(holder string, held *lease.Lease, driver engine.Driver, table *replica.Table, configuration func() *route.Configuration,
	named Named, demands *demand.State, logger *zap.Logger) *Syncer {
	return &Syncer{
		holder: holder, lease: held, driver: driver, table: table, configuration: configuration, named: named, demands: demands, logger: logger,
		notes: map[string]*note{}, allotments: map[string][]int{}, loadTime: initialLoadTime,
		eventTime: func(replica.Replica) (time.Duration, time.Duration) { return 0, 0 },
	}
}

// Orders returns how many orders were given.
func (s *Syncer) Orders() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

// Run looks for engines to change while the lease is held, until the context
// ends. Demands are followed only meanwhile.
func (s *Syncer) Run(ctx context.Context, follow func(context.Context)) {
	stop := func() {}
	following := false
	periodic.Every(ctx, lookInterval, func(ctx context.Context) {
		held := s.lease.Held()
		switch {
		case held && !following:
			var followContext context.Context
			followContext, stop = context.WithCancel(ctx)
			go follow(followContext)
		case !held && following:
			stop()
		}
		following = held
		if _, _, may := s.lease.Fence(); may {
			s.step(ctx, time.Now())
		}
	})
	stop()
}

// lagOf is how many versions behind the newest the batches of a model allow.
func (s *Syncer) lagOf(model string) int64 {
	d, _ := s.demands.Of(model)
	return d.Lag()
}

// change is one engine's step to another version.
type change struct {
	replica replica.Replica
	model   string
	version int64
	manner  engine.Manner
}

// step starts the changes that are due and for which there is room.
func (s *Syncer) step(ctx context.Context, now time.Time) {
	configuration := s.configuration()
	if configuration == nil {
		return
	}
	named := s.named()
	for name, service := range configuration.Services {
		if !service.Engine || len(service.Models) == 0 {
			continue
		}
		replicas := s.table.Replicas(name)
		s.noteListed(replicas, now)
		due := changesDue(s.dealsOf(name, service.Models, replicas), service.Models, named, s.lagOf, mannerFor(configuration, name), s.isLoading)
		s.startDue(ctx, due, now)
	}
	s.forget(now)
}

// isLoading reports whether a change of an engine is under way.
func (s *Syncer) isLoading(replicaID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notes[replicaID]
	return n != nil && n.loading
}

// noteListed keeps the notes of the engines that are listed.
func (s *Syncer) noteListed(replicas []replica.Replica, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rep := range replicas {
		n := s.noteOf(rep.ID)
		if n.start != rep.Incarnation() {
			// The engine keeps the model that it was dealt to, and nothing else.
			n = &note{start: rep.Incarnation(), model: n.model}
			s.notes[rep.ID] = n
		}
		n.listedAt = now
	}
	s.noteEventTimes(replicas, now)
}

// forget drops the notes of engines that are long gone.
func (s *Syncer) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.notes, func(_ string, n *note) bool { return !n.loading && now.Sub(n.listedAt) > forgetAfter })
}

// noteOf returns the note of an engine. The mutex is held.
func (s *Syncer) noteOf(id string) *note {
	n := s.notes[id]
	if n == nil {
		n = &note{}
		s.notes[id] = n
	}
	return n
}

// mannerFor lets running texts go on under new weights unless a route of the
// service wants texts of one version.
func mannerFor(configuration *route.Configuration, service string) engine.Manner {
	for i := range configuration.Routes {
		if rt := &configuration.Routes[i]; rt.SingleVersion && rt.Uses(service) {
			return engine.Finish
		}
	}
	return engine.Continue
}

// changesDue returns the changes that are due for the replicas of a service,
// those under way among them, in the order in which they should start. Deals
// says which replicas are for which model.
func changesDue(deals [][]replica.Replica, models []route.Model, named map[string]int64,
	lagOf func(model string) int64, manner engine.Manner, loading func(replicaID string) bool) []change {
	needs := make([]modelNeed, len(models))
	for i, model := range models {
		version, lag := named[model.Name], lagOf(model.Name)
		due := changesOfModel(deals[i], model.Name, version, lag, manner)
		needs[i] = needOf(deals[i], model.Name, version, lag, due, loading)
	}
	return inTurn(needs, lagOf)
}

// behind is how many versions the engine is behind.
func (c change) behind() int64 { return c.version - c.replica.Versions[c.model] }

// changesOfModel returns which of a model's replicas to bring to the newest
// version now. A replica may wait as long as its version is still allowed for
// the next batch; an even part of the replicas is changed at each version, so
// that they do not all become too old at once.
func changesOfModel(replicas []replica.Replica, model string, version, lag int64, manner engine.Manner) []change {
	var behind []change
	newest := 0
	for _, rep := range replicas {
		if rep.Versions[model] >= version {
			newest++
			continue
		}
		behind = append(behind, change{replica: rep, model: model, version: version, manner: manner})
	}
	slices.SortStableFunc(behind, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.behind(), a.behind()), cmp.Compare(a.replica.InFlight, b.replica.InFlight))
	})
	parts := max(int(lag), 1)
	wanted := (len(replicas)+parts-1)/parts - newest
	due := behind[:0]
	for i, c := range behind {
		if c.behind() >= lag || i < wanted {
			due = append(due, c)
		}
	}
	return due
}

// startDue starts the changes for which there is room.
func (s *Syncer) startDue(ctx context.Context, due []change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.width.waiting = len(due)
	for _, c := range due {
		if s.loading >= s.width.places() {
			return
		}
		n := s.noteOf(c.replica.ID)
		if n.loading || !n.rest.Over(now) {
			continue
		}
		n.loading = true
		s.loading++
		go s.carryOut(ctx, c, n)
	}
}

// carryOut brings one engine to a version and waits until it is there. N is the note of
// the engine's incarnation, which another one may have replaced meanwhile.
func (s *Syncer) carryOut(ctx context.Context, c change, n *note) {
	began := time.Now()
	err := s.changeWeights(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
	n.loading = false
	if err == nil {
		n.rest.Succeeded()
	} else {
		n.rest.Failed(changePauses, time.Now())
	}
	s.logger.Info("weights", zap.String("replica", c.replica.ID), zap.String("model", c.model), zap.Int64("version", c.version),
		zap.Duration("took", time.Since(began)), zap.Error(err))
}

// changeWeights orders the change unless it has happened, and waits for it.
func (s *Syncer) changeWeights(ctx context.Context, c change) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := s.report(bounded, c)
	if err != nil {
		return err
	}
	if report.Versions[c.model] >= c.version {
		return nil
	}
	if report.Busy {
		return errors.Wrap(engine.ErrConflict, "busy")
	}
	if err := s.order(bounded, c, report); err != nil {
		return err
	}
	return s.awaitChange(bounded, c)
}

// awaitChange waits until an engine that has just taken an order has the version.
func (s *Syncer) awaitChange(ctx context.Context, c change) error {
	ordered := time.Now()
	waits := stopwatch{now: bootclock.Now}
	waits.pause(ctx, s.expectedTime())
	for ctx.Err() == nil {
		report, err := s.report(ctx, c)
		if err == nil && report.Versions[c.model] >= c.version {
			if !waits.stalled {
				s.noteLoadTime(ordered, time.Now())
			}
			return nil
		}
		if errors.Is(err, errStartedAgain) {
			return err
		}
		if err == nil && !report.Busy && time.Since(ordered) > 2*s.expectedTime() {
			return errIdle
		}
		waits.pause(ctx, pollPause)
	}
	return errTooLong
}

// expectedTime is how long a change is left alone before the first look at it. It is no
// longer than a change that is not slowed may take: what a change took is only known by
// looking, so that a guess that is far too long would never be found wrong.
func (s *Syncer) expectedTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if most := s.width.unslowed(); most > 0 {
		return min(s.loadTime, most)
	}
	return s.loadTime
}

// noteLoadTime notes how long a change took. The guess stays a bit below, as looking
// late costs time and looking early costs a call.
func (s *Syncer) noteLoadTime(ordered, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := now.Sub(ordered)
	s.width.done(ordered, now)
	s.loadTime += (took - s.loadTime) / 4
	s.loadTime -= pollPause / 8
}

func (s *Syncer) report(ctx context.Context, c change) (engine.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.driver.Report(bounded, c.replica)
	if err != nil {
		return engine.Report{}, err
	}
	if !s.table.Seen(c.replica, report.Born) {
		return engine.Report{}, errStartedAgain
	}
	for model, version := range report.Versions {
		s.table.HoldsVersion(c.replica.Incarnation(), model, version)
	}
	return report, nil
}

// order sends the order if the lease lets this daemon act until it has arrived.
func (s *Syncer) order(ctx context.Context, c change, report engine.Report) error {
	_, err := lease.Act(ctx, s.lease, callTimeout, func(ctx context.Context, fence int64) error {
		s.mu.Lock()
		s.orders++
		s.mu.Unlock()
		s.logger.Info("order", zap.String("replica", c.replica.ID), zap.String("model", c.model), zap.Int64("version", c.version),
			zap.Int64("from", report.Versions[c.model]), zap.Int64("fence", fence), zap.Int64("after_orders", report.Orders))
		return s.driver.Give(ctx, c.replica, engine.Order{
			Model: c.model, Version: c.version, Manner: c.manner, Holder: s.holder, Fence: fence, AfterOrders: report.Orders,
		})
	})
	return err
}
