package runner

import (
	"net/http"
	"time"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
)

// routedItem is an item of a job with the route in force when the view was made.
type routedItem struct {
	job   *job
	item  *item
	route *route.Route
}

// view is the scheduler's snapshot of one service with the objects that it describes.
type view struct {
	scheduling.Snapshot
	// routed and replicas are the objects described by Items and Engines, at the same indices.
	routed   []routedItem
	replicas []replica.Replica
	// waits holds why items that have waited for firstWaitLine are not started, by index.
	waits map[int]scheduling.WaitReason
}

// views returns a view of each service that has items to start or to move.
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
			engine := r.sharing.withReports(engineOf(rep, now), rep, now)
			engine.IdleConns = r.forwarder.Pool.IdleConnections(rep.Address)
			engine.RunsIsolated = r.forwarder.Quarantine.RunsIsolated(string(rep.Incarnation()))
			v.Engines = append(v.Engines, engine)
		}
		v.resolveGroupEngines()
		v.OnWait = v.noteWait
	}
	return views
}

// resolveGroupEngines replaces the incarnation in each item's GroupEngine by the id of its engine,
// or by "" if that incarnation has ended: a restarted engine has not cached the prompt.
func (v *view) resolveGroupEngines() {
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

// addTo adds the job's running items, and those that may start now, to the views of their services.
func (j *job) addTo(views map[string]*view, rt *route.Route, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.release.begun {
		return
	}
	priority := j.priority(rt)
	for _, it := range j.items {
		running := it.state == itemRunning
		if it.state != itemWaiting && !running {
			continue
		}
		if !running {
			if reason := j.reasonToWait(it, now); reason != "" {
				j.r.noteWait(j, it, reason, now)
				continue
			}
		}
		service := serviceOf(rt, it)
		v := views[service]
		if v == nil {
			v = &view{}
			views[service] = v
		}
		described := j.describe(it, rt, priority, now)
		if running && !it.hasFirstEvent {
			described.Overdue = max(described.RunTime-j.r.firstEventLatency.OverdueAfter(service), 0)
		}
		v.Items = append(v.Items, described)
		v.routed = append(v.routed, routedItem{job: j, item: it, route: rt})
	}
}

// priority returns the rank of the job's items, 0 being the most urgent: the tenant's rank if it
// has one, else the route's.
func (j *job) priority(rt *route.Route) int {
	configuration := j.r.operator.Configuration()
	return configuration.Tenants.ByName(j.submission.Tenant).EffectivePriority(rt.Priority)
}

// age returns how long ago the batch was adopted. The items of one that was taken over have been deferred by
// an owner before.
func (j *job) age(now time.Time) time.Duration {
	age := now.Sub(j.adoptedAt)
	if j.takenOver {
		return max(age, scheduling.MaxDeferralAge)
	}
	return age
}

// describe returns an item in the form that the scheduler uses. The mutex is held.
func (j *job) describe(it *item, rt *route.Route, priority int, now time.Time) scheduling.Item {
	events, lengths := len(it.events), j.placement.lengths
	described := scheduling.Item{
		Priority: priority, BatchAdoptedAt: j.adoptedAt, BatchAge: j.age(now),
		Model: j.submission.Model, MinVersion: j.submission.MinVersion, Required: j.placement.required[it.Group],
		Events: events, RemainingEvents: lengths.Remaining(it.expectedTokens, events),
		GroupEngine: string(j.placement.groups[it.Group]), // resolveGroupEngines replaces the incarnation by the engine's id
	}
	if it.attempt == 0 || it.state == itemRunning {
		// The scheduler never defers an item without MaxRemainingEvents. An item whose attempt
		// failed must not be deferred.
		described.MaxRemainingEvents = lengths.MaxRemaining(it.expectedTokens, events)
	}
	if it.state == itemWaiting {
		described.Waited = it.waited(now)
		described.Isolated = j.needsIsolation(it)
	}
	if it.state == itemRunning {
		described.Engine, described.RunTime = it.lastReplica, now.Sub(it.startedAt)
		// At an engine with another version, a single-version text would start over.
		described.Pinned = it.cancel == nil || it.buffering || rt.SingleVersion && len(it.events) > 0
	}
	return described
}

// serviceOf returns the service that runs an item. The service is chosen by the item's id, not per
// batch, so that the items of a few large batches are spread by the weights of a split route too.
func serviceOf(rt *route.Route, it *item) string { return rt.ServiceOrder(it.ID)[0] }

// reasonToWait returns why an item is not to be started now, or "". The mutex is held.
func (j *job) reasonToWait(it *item, now time.Time) waitReason {
	switch {
	case now.Before(it.notBefore) && it.handedOff:
		return waitHandedOff
	case now.Before(it.notBefore):
		return waitRetryDelay
	case j.blocked(it):
		// The item waits for its next isolated run: only answers of replicas count as failures of an
		// item.
		return waitQuarantine
	default:
		return ""
	}
}

// blocked reports whether the quarantine forbids to run the item's content now. The mutex is held.
func (j *job) blocked(it *item) bool {
	table := j.r.forwarder.Quarantine
	return !table.NoneSuspected() && table.Blocked(j.contentOf(it))
}

// needsIsolation reports whether the item must run at a replica without another isolated run. The mutex is
// held.
func (j *job) needsIsolation(it *item) bool {
	table := j.r.forwarder.Quarantine
	return !table.NoneSuspected() && table.NeedsIsolation(j.contentOf(it))
}

// contentOf returns the content by which the quarantine identifies the item's request. The mutex is
// held.
func (j *job) contentOf(it *item) *quarantine.Content {
	if it.content == nil {
		it.content = &quarantine.Content{
			Caller: j.submission.Tenant,
			Method: http.MethodPost,
			Host:   j.submission.Host,
			Target: it.Path,
			Body:   it.Body,
			Owed:   true,
		}
	}
	return it.content
}
