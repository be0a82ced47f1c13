package runner

import (
	"context"
	"time"

	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
)

const (
	// wakeInterval bounds how long the dispatcher waits for a change.
	wakeInterval = 100 * time.Millisecond
	// moveInterval is the time between two rounds in which items may be moved.
	moveInterval = 250 * time.Millisecond
)

// Kick makes the dispatcher look again. It never blocks.
func (r *Runner) Kick() { signal(r.wake) }

// signal wakes who receives from a channel with room for one value. It never blocks.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run starts items as replicas have room, until the context ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.table.Changed()
		if !r.stopping.Load() {
			r.dispatch(time.Now())
		}
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

// dispatch carries out what the scheduler decides: it starts waiting items while
// replicas have room, and each moveInterval moves items that should go on elsewhere.
func (r *Runner) dispatch(now time.Time) {
	moves := now.Sub(r.movedAt) >= moveInterval
	if moves {
		r.movedAt = now
	}
	views := r.views(now)
	for service, v := range views {
		v.NoMoves = !moves
		for _, decision := range r.shared.inTurn(service, &v.Snapshot, scheduling.Plan(v.Snapshot), now) {
			switch decision := decision.(type) {
			case scheduling.Start:
				r.start(v.routed[decision.Item], v.replicas[decision.Engine])
			case scheduling.Move:
				routed := v.routed[decision.Item]
				routed.job.handOver(routed, v.replicas[decision.Engine], decision.Gain)
			}
		}
	}
	r.shared.dispatched(views)
}

// start sends a waiting item to a replica.
func (r *Runner) start(routed routedItem, rep replica.Replica) {
	j, it := routed.job, routed.item
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state != itemWaiting || j.release.begun || j.ctx.Err() != nil {
		return
	}
	a := &attempt{routedItem: routed, replica: rep, number: it.beginAttempt(rep.ID, time.Now())}
	it.state = itemRunning
	it.timing.enter(phasePrompt, it.startedAt)
	j.placement.groups[it.Group] = rep.Incarnation()
	r.launch(rep, a.run)
}

// launch makes an attempt at a replica beside all else, as work that a stop waits for.
func (r *Runner) launch(rep replica.Replica, attempt func()) {
	r.table.RequestStarted(rep.Incarnation())
	r.started.Add(1)
	r.work.Go(attempt)
}
