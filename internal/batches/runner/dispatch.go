package runner

import (
	"time"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// moveInterval is the time between two looks for items that should go on at
// another replica.
const moveInterval = 250 * time.Millisecond

// pending is an item that waits or runs, with its job and its route.
type pending struct {
	job   *job
	item  *item
	route *route.Route
}

// view is a snapshot of one service with what its entries stand for.
type view struct {
	scheduling.Snapshot
	pending  []pending
	replicas []replica.Replica
}

// dispatch carries out what the scheduler decides: it starts waiting items while
// replicas have room, and now and then cuts items that should go on elsewhere.
func (runner *Runner) dispatch(now time.Time) {
	moves := now.Sub(runner.movedAt) >= moveInterval
	if moves {
		runner.movedAt = now
	}
	views := runner.views(now)
	for service, seen := range views {
		seen.NoMoves = !moves
		for _, decision := range runner.sharing.inTurn(service, &seen.Snapshot, scheduling.Plan(seen.Snapshot), now) {
			switch decision := decision.(type) {
			case scheduling.Start:
				runner.start(seen.pending[decision.Item], seen.replicas[decision.Engine])
			case scheduling.Move:
				each := seen.pending[decision.Item]
				each.job.handOver(each, seen.replicas[decision.Engine], decision.Gain)
			}
		}
	}
	runner.sharing.dispatched(views)
}

// views takes a snapshot of each service that has items to start or to move.
func (runner *Runner) views(now time.Time) map[string]*view {
	views := map[string]*view{}
	for _, job := range runner.jobList() {
		_, found, ok := job.route()
		if !ok {
			continue
		}
		job.addTo(views, found, now)
	}
	for service, seen := range views {
		seen.Zone = runner.forwarder.Zone
		seen.replicas = runner.table.Replicas(service)
		for _, each := range seen.replicas {
			engine := runner.sharing.fill(engineOf(each, now), each, now)
			engine.IdleConns = runner.forwarder.Pool.Resting(each.Address)
			seen.Engines = append(seen.Engines, engine)
		}
		seen.nameGroupEngines()
	}
	return views
}

// nameGroupEngines turns the starts that last read a group's prompt into the ids of their
// engines. One that has started again has the prompt no more.
func (seen *view) nameGroupEngines() {
	present := make(map[string]string, len(seen.replicas))
	for _, each := range seen.replicas {
		present[string(each.Start())] = each.ID
	}
	for i := range seen.Items {
		seen.Items[i].GroupEngine = present[seen.Items[i].GroupEngine]
	}
}

func engineOf(each replica.Replica, now time.Time) scheduling.Engine {
	return scheduling.Engine{
		ID: each.ID, Zone: each.Zone, Slots: each.Slots, InFlight: each.InFlight, EventTime: each.Pace,
		Avoided: each.Probing || now.Before(each.AvoidUntil), Declining: each.Declining, Versions: each.Versions,
	}
}

// addTo adds the job's items that may start now, and those that run, to the views of
// their services.
func (job *job) addTo(views map[string]*view, found *route.Route, now time.Time) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if job.released {
		return
	}
	priority := job.priority(found)
	for _, each := range job.items {
		waits := each.state == itemWaiting && !now.Before(each.notBefore)
		runs := each.state == itemRunning
		if !waits && !runs || waits && job.blocked(each) {
			// A refused item waits until it is older than its route lets it grow, or until
			// its batch ends: only its replicas may say that it failed.
			continue
		}
		service := serviceOf(found, each)
		seen := views[service]
		if seen == nil {
			seen = &view{}
			views[service] = seen
		}
		described := job.describe(each, found, priority, now)
		if runs && !each.answered {
			described.Overdue = max(described.RunFor-job.runner.firsts.OverdueAfter(service), 0)
		}
		seen.Items = append(seen.Items, described)
		seen.pending = append(seen.pending, pending{job: job, item: each, route: found})
	}
}

// priority returns the rank of the job's items: that of its tenant goes before that of
// its route.
func (job *job) priority(found *route.Route) int {
	configuration := job.runner.operator.Configuration()
	return configuration.Tenants.Named(job.submission.Tenant).Rank(found.Priority)
}

// describe tells the scheduler of an item. The mutex is held.
func (job *job) describe(each *item, found *route.Route, priority int, now time.Time) scheduling.Item {
	described := scheduling.Item{
		Priority: priority, BatchSince: job.adoptedAt,
		Model: job.submission.Model, MinVersion: job.submission.MinVersion,
		Required: job.required[each.Group], Events: len(each.text), Remaining: job.lengths.Remaining(each.cost, len(each.text)),
		GroupEngine: string(job.groups[each.Group]), // the start that read the prompt; nameGroupEngines puts the engine's id
		BatchAge:      now.Sub(job.adoptedAt),
	}
	if each.attempts == 0 || each.state == itemRunning {
		// Without Most an item that failed is not held back.
		described.MaxRemaining = job.lengths.MaxRemaining(each.cost, len(each.text))
	}
	if each.state == itemRunning {
		described.Engine, described.RunFor = each.lastReplica, now.Sub(each.startedAt)
		// A text of one version would begin anew at an engine of another.
		described.Pinned = each.cut == nil || each.holding || found.SingleVersion && len(each.text) > 0
	}
	return described
}

// serviceOf returns the service that runs an item. Each item is drawn by itself:
// the parts of a split route would otherwise be as uneven as whole batches are.
func serviceOf(found *route.Route, each *item) string { return found.Order(each.ID)[0] }

// start sends an item to a replica.
func (runner *Runner) start(each pending, chosen replica.Replica) {
	job, item := each.job, each.item
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if item.state != itemWaiting || job.released || job.context.Err() != nil {
		return
	}
	item.state = itemRunning
	item.attempts++
	item.lastReplica = chosen.ID
	item.startedAt = time.Now()
	item.account.enter(phasePrompt, item.startedAt)
	item.release()
	item.answered = false
	item.run++
	run := item.run
	job.groups[item.Group] = chosen.Start()
	runner.table.Started(chosen.Start())
	runner.started.Add(1)
	runner.running.Add(1)
	go func() {
		defer runner.running.Done()
		job.runItem(item, run, chosen, each.route)
	}()
}
