package runner

import (
	"math"
	"sort"
	"time"

	"woodworks/internal/replica"
	"woodworks/internal/route"
)

const (
	// defaultSlots is assumed where a replica names no slots.
	defaultSlots = 8
	// slowFactor is how many times slower than the usual pace a replica's must
	// be for others to be preferred and its items moved.
	slowFactor = 1.8
	// crowding is by how much each request under way slows the others.
	crowding = 0.04
	// groupBonus is taken off the score of the replica that read the group's
	// shared prompt.
	groupBonus = 0.02
	// otherZone is added for a replica in another zone.
	otherZone = 0.03
)

// pending is an item that waits, with its job and its route.
type pending struct {
	job   *job
	item  *item
	route *route.Route
}

// dispatch starts waiting items, in order, while replicas have room.
func (runner *Runner) dispatch(now time.Time) {
	for service, waiting := range runner.pendingByService(now) {
		candidates := runner.table.Replicas(service)
		pace := usualPace(candidates)
		// No engine with room for one item of a batch has room for another of it.
		unplaced := map[*job]bool{}
		for _, each := range waiting {
			if unplaced[each.job] {
				continue
			}
			chosen := choose(candidates, each, pace, runner.forwarder.Zone, now)
			if chosen < 0 {
				unplaced[each.job] = true
				continue
			}
			if runner.start(each, candidates[chosen]) {
				candidates[chosen].InFlight++
				candidates[chosen].Probing = candidates[chosen].Declining
			}
		}
	}
}

// pendingByService lists the items that may start now, in the order in which
// they should: by rank of the route, age of the batch, rank in the batch.
func (runner *Runner) pendingByService(now time.Time) map[string][]pending {
	byService := map[string][]pending{}
	for _, each := range runner.jobList() {
		_, found, ok := each.route()
		if !ok {
			continue
		}
		for _, waiting := range each.startable(found, now) {
			service := serviceOf(found, waiting.item)
			byService[service] = append(byService[service], waiting)
		}
	}
	for _, waiting := range byService {
		sort.SliceStable(waiting, func(i, j int) bool { return before(waiting[i], waiting[j]) })
	}
	return byService
}

// serviceOf returns the service that runs an item. Each item is drawn by itself:
// the parts of a split route would otherwise be as uneven as whole batches are.
func serviceOf(found *route.Route, each *item) string { return found.Order(each.ID)[0] }

func before(first, second pending) bool {
	if first.route.Priority != second.route.Priority {
		return first.route.Priority < second.route.Priority
	}
	if !first.job.adoptedAt.Equal(second.job.adoptedAt) {
		return first.job.adoptedAt.Before(second.job.adoptedAt)
	}
	return first.item.rank < second.item.rank
}

func (job *job) startable(found *route.Route, now time.Time) []pending {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if job.released {
		return nil
	}
	var list []pending
	for _, each := range job.items {
		if each.state == itemWaiting && !now.Before(each.notBefore) {
			list = append(list, pending{job: job, item: each, route: found})
		}
	}
	return list
}

// usualPace is the median pace of the replicas whose pace is known, or 0.
func usualPace(candidates []replica.Replica) time.Duration {
	var paces []time.Duration
	for _, candidate := range candidates {
		if candidate.Pace > 0 {
			paces = append(paces, candidate.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	sort.Slice(paces, func(i, j int) bool { return paces[i] < paces[j] })
	return paces[(len(paces)-1)/2]
}

// choose returns the index of the replica that should run an item, or -1 if
// none has room.
func choose(candidates []replica.Replica, each pending, pace time.Duration, zone string, now time.Time) int {
	best, bestScore := -1, math.Inf(1)
	for i, candidate := range candidates {
		if !eligible(candidate, each, now) {
			continue
		}
		score := relativePace(candidate, pace) * (1 + crowding*float64(candidate.InFlight))
		if candidate.Zone != zone {
			score += otherZone
		}
		if each.job.groupAt(each.item.Group) == candidate.ID {
			score -= groupBonus
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func eligible(candidate replica.Replica, each pending, now time.Time) bool {
	slots := candidate.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if candidate.InFlight >= slots || candidate.Probing || now.Before(candidate.AvoidUntil) {
		return false
	}
	version, known := candidate.Versions[each.job.submission.Model]
	return !known || version >= each.job.submission.MinVersion
}

// relativePace is a replica's pace by the usual one; differences that are
// within the noise count as none.
func relativePace(candidate replica.Replica, pace time.Duration) float64 {
	if candidate.Pace == 0 || pace == 0 {
		return 1
	}
	ratio := float64(candidate.Pace) / float64(pace)
	if ratio < slowFactor {
		return 1
	}
	return ratio
}

// groupAt returns the replica that last started an item of a group, or "".
func (job *job) groupAt(group string) string {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.groups[group]
}

// start sends an item to a replica.
func (runner *Runner) start(each pending, chosen replica.Replica) bool {
	job, item := each.job, each.item
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if item.state != itemWaiting || job.released || job.context.Err() != nil {
		return false
	}
	item.state = itemRunning
	item.attempts++
	item.lastReplica = chosen.ID
	item.startedAt = time.Now()
	job.groups[item.Group] = chosen.ID
	runner.table.Started(chosen.ID)
	runner.started.Add(1)
	runner.running.Add(1)
	go func() {
		defer runner.running.Done()
		job.runItem(item, chosen, each.route)
	}()
	return true
}
