package runner

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replica"
)

const (
	moveInterval = 250 * time.Millisecond
	// leastRun is how long an item runs at a replica before it may be moved.
	leastRun = 300 * time.Millisecond
)

// moveFromSlow cuts items that run at replicas that have turned slow, as many
// as faster replicas have room for. They are resumed there after their last
// event, which costs the reading of what they have so far.
func (runner *Runner) moveFromSlow(now time.Time) {
	if now.Sub(runner.movedAt) < moveInterval {
		return
	}
	runner.movedAt = now
	for service := range runner.servicesInUse() {
		candidates := runner.table.Replicas(service)
		pace := usualPace(candidates)
		slow := slowReplicas(candidates, pace)
		if len(slow) == 0 {
			continue
		}
		for _, each := range runner.runningOn(slow, now) {
			if !takeRoom(candidates, slow, each, now) {
				continue
			}
			each.job.cutToMove(each.item)
		}
	}
}

func (runner *Runner) servicesInUse() map[string]bool {
	services := map[string]bool{}
	for _, each := range runner.jobList() {
		if _, found, ok := each.route(); ok {
			for _, share := range found.Shares {
				services[share.Service] = true
			}
		}
	}
	return services
}

func slowReplicas(candidates []replica.Replica, pace time.Duration) map[string]bool {
	slow := map[string]bool{}
	for _, candidate := range candidates {
		if relativePace(candidate, pace) > 1 {
			slow[candidate.ID] = true
		}
	}
	return slow
}

// runningOn lists the items that run at some replicas and have a good part
// before them, the longest first.
func (runner *Runner) runningOn(replicas map[string]bool, now time.Time) []pending {
	var running []pending
	for _, each := range runner.jobList() {
		running = append(running, each.runningOn(replicas, now)...)
	}
	sort.SliceStable(running, func(i, j int) bool { return running[i].item.cost > running[j].item.cost })
	return running
}

func (job *job) runningOn(replicas map[string]bool, now time.Time) []pending {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	var running []pending
	for _, each := range job.items {
		if each.state == itemRunning && each.move != nil && replicas[each.lastReplica] && now.Sub(each.startedAt) > leastRun {
			running = append(running, pending{job: job, item: each})
		}
	}
	return running
}

// takeRoom takes a free slot of a faster replica that may run the item.
func takeRoom(candidates []replica.Replica, slow map[string]bool, each pending, now time.Time) bool {
	for i := range candidates {
		if !slow[candidates[i].ID] && eligible(candidates[i], each, now) {
			candidates[i].InFlight++
			return true
		}
	}
	return false
}

func (job *job) cutToMove(each *item) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if each.state != itemRunning || each.move == nil {
		return
	}
	each.moved = true
	job.logger.Info("item moved off a slow replica", zap.String("item", each.ID), zap.String("replica", each.lastReplica), zap.Int64("events", each.lastEvent))
	each.move()
}
