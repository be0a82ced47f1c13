package runner

import (
	"net/http"
	"time"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
)

// routedItem is an item of a job with its route when the view was taken.
type routedItem struct {
	job   *job
	item  *item
	route *route.Route
}

// view is a snapshot of one service.
type view struct {
	scheduling.Snapshot
	// routed are the items that Items describes, replicas those that Engines describes, by index.
	routed   []routedItem
	replicas []replica.Replica
}

// views takes a snapshot of each service that has items to start or to move.
func (r *Runner) views(now time.Time) map[string]*view {
	views := map[string]*view{}
	for _, j := range r.jobList() {
		if rt, ok := j.route(); ok {
			j.addTo(views, rt, now)
		}
	}
	for service, v := range views {
		v.Zone = r.forwarder.Zone
		v.replicas = r.table.Replicas(service)
		for _, rep := range v.replicas {
			engine := r.shared.withReports(engineOf(rep, now), rep, now)
			engine.IdleConns = r.forwarder.Pool.Resting(rep.Address)
			v.Engines = append(v.Engines, engine)
		}
		v.nameGroupEngines()
	}
	return views
}

// nameGroupEngines turns the incarnations that last read a group's prompt into the ids of their
// engines. One that has started again has the prompt no more.
func (v *view) nameGroupEngines() {
	present := make(map[string]string, len(v.replicas))
	for _, rep := range v.replicas {
		present[string(rep.Incarnation())] = rep.ID
	}
	for i := range v.Items {
		v.Items[i].GroupEngine = present[v.Items[i].GroupEngine]
	}
}

func engineOf(rep replica.Replica, now time.Time) scheduling.Engine {
	return scheduling.Engine{
		ID:        rep.ID,
		Zone:      rep.Zone,
		Slots:     rep.Slots,
		InFlight:  rep.InFlight,
		EventTime: rep.EventTime,
		Avoided:   rep.Probing || now.Before(rep.AvoidUntil),
		Declining: rep.Declining,
		Versions:  rep.Versions,
	}
}

// addTo adds the job's items that may start now, and those that run, to the views of
// their services.
func (j *job) addTo(views map[string]*view, rt *route.Route, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.release.begun {
		return
	}
	priority := j.priority(rt)
	for _, it := range j.items {
		waits := it.state == itemWaiting && !now.Before(it.notBefore)
		runs := it.state == itemRunning
		if !waits && !runs || waits && j.blocked(it) {
			// A refused item waits until it is older than its route lets it grow, or until
			// its batch ends: only its replicas may say that it failed.
			continue
		}
		service := serviceOf(rt, it)
		v := views[service]
		if v == nil {
			v = &view{}
			views[service] = v
		}
		described := j.describe(it, rt, priority, now)
		if runs && !it.answered {
			described.Overdue = max(described.RunFor-j.r.firstEvents.OverdueAfter(service), 0)
		}
		v.Items = append(v.Items, described)
		v.routed = append(v.routed, routedItem{job: j, item: it, route: rt})
	}
}

// priority returns the rank of the job's items: that of its tenant goes before that of
// its route.
func (j *job) priority(rt *route.Route) int {
	configuration := j.r.operator.Configuration()
	return configuration.Tenants.Named(j.submission.Tenant).Rank(rt.Priority)
}

// describe returns an item as the scheduler sees it. The mutex is held.
func (j *job) describe(it *item, rt *route.Route, priority int, now time.Time) scheduling.Item {
	events, lengths := len(it.events), j.placement.lengths
	described := scheduling.Item{
		Priority: priority, BatchSince: j.adoptedAt, BatchAge: now.Sub(j.adoptedAt),
		Model: j.submission.Model, MinVersion: j.submission.MinVersion, Required: j.placement.required[it.Group],
		Events: events, Remaining: lengths.Remaining(it.expectedTokens, events),
		GroupEngine: string(j.placement.groups[it.Group]), // the incarnation; nameGroupEngines puts the engine's id
	}
	if it.attempt == 0 || it.state == itemRunning {
		// Without it an item that failed is not deferred.
		described.MaxRemaining = lengths.MaxRemaining(it.expectedTokens, events)
	}
	if it.state == itemRunning {
		described.Engine, described.RunFor = it.lastReplica, now.Sub(it.startedAt)
		// A text of one version would begin anew at an engine of another.
		described.Pinned = it.cancel == nil || it.buffering || rt.SingleVersion && len(it.events) > 0
	}
	return described
}

// serviceOf returns the service that runs an item. Each item is drawn by itself:
// the parts of a split route would otherwise be as uneven as whole batches are.
func serviceOf(rt *route.Route, it *item) string { return rt.ServiceOrder(it.ID)[0] }

// blocked reports whether the item must not run now for its content's sake. The mutex is
// held.
func (j *job) blocked(it *item) bool {
	table := j.r.forwarder.Quarantine
	return !table.Quiet() && table.Blocked(j.contentOf(it))
}

// contentOf returns what the quarantine knows the item's request by. The mutex is held.
func (j *job) contentOf(it *item) *quarantine.Content {
	if it.content == nil {
		it.content = &quarantine.Content{
			Caller: j.submission.Tenant,
			Method: http.MethodPost,
			Host:   j.submission.Host,
			Target: it.Path,
			Body:   it.Body,
		}
	}
	return it.content
}
