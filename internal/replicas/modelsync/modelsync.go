// Package modelsync brings the engines to the versions of the weights that
// trainers name. One daemon does it at a time: the holder of the lease.
package modelsync

import (
	"context"
	"sort"
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
	lookInterval = 100 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	// firstLoadGuess is how long a change of weights is expected to take
	// before one was measured.
	firstLoadGuess = 800 * time.Millisecond
	// pollPause is the time between two looks at an engine that loads.
	pollPause = 200 * time.Millisecond
	// loadTimeout is how long a change may take before it is ordered again.
	loadTimeout = 8 * time.Second
	// failedPause is how long an engine is left alone after a change that failed, a look's
	// interval. It doubles with each one in a row, as engines that cannot be reached take
	// the place of others, up to longestPause.
	failedPause  = 100 * time.Millisecond
	longestPause = 2 * time.Second
)

// errStartedAgain: the engine is not the start of it that was to change. Its orders, counts
// and versions are others.
var errStartedAgain = errors.New("modelsync: engine has started again")

// changePauses bound the pauses between changes that fail.
var changePauses = backoff.Bounds{First: failedPause, Longest: longestPause}

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

	mutex sync.Mutex
	// notes are what is remembered of each engine, by its id.
	notes map[string]*note
	// loading counts the engines with a change under way.
	loading  int
	loadTime time.Duration
	orders   uint64
	// shares is how many replicas of a service are for each of its models.
	shares map[string][]int
	width  width
	// pace is nil where no paces are known.
	pace Pace
}

// note is what is remembered of one engine, or of one start of it: a change and its rest
// belong to the start that they were ordered of.
type note struct {
	start replica.Start
	// model is the one that the engine was dealt to, "" for none.
	model   string
	loading bool
	// rest is the pause after changes that failed.
	rest     backoff.Rest
	listedAt time.Time
	// best is the best pace of late.
	best best
}

// forgetAfter is how long a note outlives its engine's place in the list, from
// which an outage of the journal may take all for a while.
const forgetAfter = 30 * time.Second

// New returns a syncer that acts in the name of holder.
func New(holder string, held *lease.Lease, driver engine.Driver, table *replica.Table, configuration func() *route.Configuration, named Named, demands *demand.State, logger *zap.Logger) *Syncer {
	return &Syncer{holder: holder, lease: held, driver: driver, table: table, configuration: configuration, named: named, demands: demands, logger: logger,
		notes: map[string]*note{}, shares: map[string][]int{}, loadTime: firstLoadGuess}
}

// Orders returns how many orders were given.
func (syncer *Syncer) Orders() uint64 {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.orders
}

// Run looks for engines to change while the lease is held, until the context
// ends. Demands are followed only meanwhile.
func (syncer *Syncer) Run(ctx context.Context, follow func(context.Context)) {
	stop := func() {}
	following := false
	periodic.Every(ctx, lookInterval, func(ctx context.Context) {
		held := syncer.lease.Held()
		switch {
		case held && !following:
			var followContext context.Context
			followContext, stop = context.WithCancel(ctx)
			go follow(followContext)
		case !held && following:
			stop()
		}
		following = held
		if _, _, may := syncer.lease.Fence(); may {
			syncer.look(ctx, time.Now())
		}
	})
	stop()
}

// lagOf is how many versions behind the newest the batches of a model allow.
func (syncer *Syncer) lagOf(model string) int64 {
	known, found := syncer.demands.Of(model)
	if !found {
		return 0
	}
	return known.Lag()
}

// change is one engine's step to another version.
type change struct {
	replica replica.Replica
	model   string
	version int64
	manner  engine.Manner
}

// look starts the changes that are due and for which there is room.
func (syncer *Syncer) look(ctx context.Context, now time.Time) {
	configuration := syncer.configuration()
	if configuration == nil {
		return
	}
	named := syncer.named()
	for name, service := range configuration.Services {
		if !service.Engine || len(service.Models) == 0 {
			continue
		}
		replicas := syncer.table.Replicas(name)
		syncer.noteListed(replicas, now)
		due := changesDue(syncer.dealsOf(name, service.Models, replicas), service.Models, named, syncer.lagOf, mannerFor(configuration, name), syncer.isLoading)
		syncer.startDue(ctx, due, now)
	}
	syncer.forget(now)
}

// isLoading reports whether a change of an engine is under way.
func (syncer *Syncer) isLoading(replicaID string) bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	known := syncer.notes[replicaID]
	return known != nil && known.loading
}

// noteListed keeps the notes of the engines that are listed.
func (syncer *Syncer) noteListed(replicas []replica.Replica, now time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	for _, each := range replicas {
		known := syncer.noteOf(each.ID)
		if known.start != each.Start() {
			// The engine keeps the model that it was dealt to, and nothing else.
			known = &note{start: each.Start(), model: known.model}
			syncer.notes[each.ID] = known
		}
		known.listedAt = now
	}
	syncer.notePaces(replicas, now)
}

// forget drops the notes of engines that are long gone.
func (syncer *Syncer) forget(now time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	for id, each := range syncer.notes {
		if !each.loading && now.Sub(each.listedAt) > forgetAfter {
			delete(syncer.notes, id)
		}
	}
}

// noteOf returns the note of an engine. The mutex is held.
func (syncer *Syncer) noteOf(id string) *note {
	found := syncer.notes[id]
	if found == nil {
		found = &note{}
		syncer.notes[id] = found
	}
	return found
}

// mannerFor lets running texts go on under new weights unless a route of the
// service wants texts of one version.
func mannerFor(configuration *route.Configuration, service string) engine.Manner {
	for i := range configuration.Routes {
		if each := &configuration.Routes[i]; each.SingleVersion && each.Uses(service) {
			return engine.Finish
		}
	}
	return engine.Continue
}

// changesDue returns the changes that are due for the replicas of a service,
// those under way among them, in the order in which they should start. Deals
// says which replicas are for which model.
func changesDue(deals [][]replica.Replica, models []route.Model, named map[string]int64, lagOf func(model string) int64, manner engine.Manner, loading func(replicaID string) bool) []change {
	needs := make([]modelNeed, len(models))
	for i, model := range models {
		version, lag := named[model.Name], lagOf(model.Name)
		due := changesOfModel(deals[i], model.Name, version, lag, manner)
		needs[i] = needOf(deals[i], model.Name, version, lag, due, loading)
	}
	return inTurn(needs, lagOf)
}

func (each change) behind() int64 { return each.version - each.replica.Versions[each.model] }

// changesOfModel returns which of a model's replicas to bring to the newest
// version now. A replica may wait as long as its version is still allowed for
// the next batch; an even part of the replicas is changed at each version, so
// that they do not all become too old at once.
func changesOfModel(replicas []replica.Replica, model string, version, lag int64, manner engine.Manner) []change {
	var behind []change
	newest := 0
	for _, each := range replicas {
		if each.Versions[model] >= version {
			newest++
			continue
		}
		behind = append(behind, change{replica: each, model: model, version: version, manner: manner})
	}
	sort.SliceStable(behind, func(i, j int) bool {
		if behind[i].behind() != behind[j].behind() {
			return behind[i].behind() > behind[j].behind()
		}
		return behind[i].replica.InFlight < behind[j].replica.InFlight
	})
	parts := max(int(lag), 1)
	wanted := (len(replicas)+parts-1)/parts - newest
	due := behind[:0]
	for i, each := range behind {
		if each.behind() >= lag || i < wanted {
			due = append(due, each)
		}
	}
	return due
}

func (syncer *Syncer) startDue(ctx context.Context, due []change, now time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.width.waiting = len(due)
	for _, each := range due {
		if syncer.loading >= syncer.width.places() {
			return
		}
		known := syncer.noteOf(each.replica.ID)
		if known.loading || !known.rest.Over(now) {
			continue
		}
		known.loading = true
		syncer.loading++
		go syncer.carryOut(ctx, each, known)
	}
}

// carryOut brings one engine to a version and waits until it is there. Known is the note of
// the engine's start, which another start may have replaced meanwhile.
func (syncer *Syncer) carryOut(ctx context.Context, each change, known *note) {
	began := time.Now()
	err := syncer.bring(ctx, each)
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.loading--
	known.loading = false
	if err == nil {
		known.rest.Succeeded()
	} else {
		known.rest.Failed(changePauses, time.Now())
	}
	syncer.logger.Info("weights", zap.String("replica", each.replica.ID), zap.String("model", each.model), zap.Int64("version", each.version),
		zap.Duration("took", time.Since(began)), zap.Error(err))
}

func (syncer *Syncer) bring(ctx context.Context, each change) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := syncer.report(bounded, each)
	if err != nil {
		return err
	}
	if report.Versions[each.model] >= each.version {
		return nil
	}
	if report.Busy {
		return errors.Wrap(engine.ErrConflict, "busy")
	}
	if err := syncer.give(bounded, each, report); err != nil {
		return err
	}
	ordered := time.Now()
	waits := stopwatch{now: bootclock.Now}
	waits.pause(bounded, syncer.expectedTime())
	for bounded.Err() == nil {
		report, err = syncer.report(bounded, each)
		if err == nil && report.Versions[each.model] >= each.version {
			if !waits.stalled {
				syncer.learn(ordered, time.Now())
			}
			return nil
		}
		if errors.Is(err, errStartedAgain) {
			return err
		}
		if err == nil && !report.Busy && time.Since(ordered) > 2*syncer.expectedTime() {
			return errors.New("modelsync: engine is idle without the version")
		}
		waits.pause(bounded, pollPause)
	}
	return errors.New("modelsync: change took too long")
}

// expectedTime is how long a change is left alone before the first look at it. It is no
// longer than a change that is not slowed may take: what a change took is only known by
// looking, so that a guess that is far too long would never be found wrong.
func (syncer *Syncer) expectedTime() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if most := syncer.width.unslowed(); most > 0 {
		return min(syncer.loadTime, most)
	}
	return syncer.loadTime
}

// learn notes how long a change took. The guess stays a bit below, as looking
// late costs time and looking early costs a call.
func (syncer *Syncer) learn(ordered, now time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	took := now.Sub(ordered)
	syncer.width.done(ordered, now)
	syncer.loadTime += (took - syncer.loadTime) / 4
	syncer.loadTime -= pollPause / 8
}

func (syncer *Syncer) report(ctx context.Context, each change) (engine.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := syncer.driver.Report(bounded, each.replica)
	if err != nil {
		return engine.Report{}, err
	}
	if !syncer.table.Seen(each.replica, report.Born) {
		return engine.Report{}, errStartedAgain
	}
	for model, version := range report.Versions {
		syncer.table.HoldsVersion(each.replica.Start(), model, version)
	}
	return report, nil
}

// give sends the order if the lease lets this daemon act until it has arrived.
func (syncer *Syncer) give(ctx context.Context, each change, report engine.Report) error {
	return lease.Act(ctx, syncer.lease, callTimeout, func(ctx context.Context, fence int64) error {
		syncer.mutex.Lock()
		syncer.orders++
		syncer.mutex.Unlock()
		syncer.logger.Info("order", zap.String("replica", each.replica.ID), zap.String("model", each.model), zap.Int64("version", each.version),
			zap.Int64("from", report.Versions[each.model]), zap.Int64("fence", fence), zap.Int64("after_orders", report.Orders))
		return syncer.driver.Give(ctx, each.replica, engine.Order{
			Model: each.model, Version: each.version, Manner: each.manner, Holder: syncer.holder, Fence: fence, AfterOrders: report.Orders,
		})
	})
}
