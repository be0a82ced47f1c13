package runner

import (
	"context"
	"time"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
)

const (
	// wakeInterval is the maximum time between two passes of the dispatcher while there are jobs.
	wakeInterval = 100 * time.Millisecond
	// moveInterval is the minimum time between two passes in which items may be moved.
	moveInterval = 250 * time.Millisecond
)

// WakeDispatcher triggers a pass of the dispatcher. It never blocks.
func (r *Runner) WakeDispatcher() { signal(r.wake) }

// signal wakes the receiver of a channel with room for one value. It never blocks.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run dispatches the items of batches that are not released, until ctx ends: whenever the replica table
// changes, WakeDispatcher is called or wakeInterval has passed.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.table.Changed()
		r.dispatch(time.Now())
		wait := wakeInterval
		if r.idle() {
			wait, changed = time.Hour, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *Runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) == 0
}

// dispatch carries out the decisions of the scheduler: it starts waiting items while replicas have
// room and, every moveInterval, moves running items to better replicas.
func (r *Runner) dispatch(now time.Time) {
	moves := now.Sub(r.lastMoveRound) >= moveInterval
	if moves {
		r.lastMoveRound = now
	}
	views := r.views(now)
	for service, v := range views {
		v.NoMoves = !moves
		for _, decision := range r.sharing.holdBackStarts(service, &v.Snapshot, scheduling.Plan(v.Snapshot), now) {
			switch decision := decision.(type) {
			case scheduling.Start:
				r.start(v.routed[decision.Item], v.replicas[decision.Engine])
			case scheduling.Move:
				routed := v.routed[decision.Item]
				routed.job.handOver(routed, v.replicas[decision.Engine], decision.Gain)
			}
		}
		v.logWaits(now)
	}
	r.sharing.finishDispatch(views)
}

// start sends a waiting item to a replica, unless its state has changed since the view was made.
func (r *Runner) start(routed routedItem, rep replica.Replica) {
	j, it := routed.job, routed.item
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state != itemWaiting || j.release.begun || j.ctx.Err() != nil {
		return
	}
	r.noteWaitEnd(j, it, rep.ID)
	a := &attempt{routedItem: routed, replica: rep, number: it.beginAttempt(rep.ID, time.Now())}
	it.state = itemRunning
	it.timing.enter(phasePrompt, it.startedAt)
	j.placement.groups[it.Group] = rep.Incarnation()
	r.launch(rep, a.run)
}

// launch runs an attempt at a replica in a goroutine that Release waits for.
func (r *Runner) launch(rep replica.Replica, attempt func()) {
	r.table.RequestStarted(rep.Incarnation())
	r.started.Add(1)
	r.work.start(attempt)
}
