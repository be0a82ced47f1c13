package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
)

// A stopping owner gives its batches to a successor, and runs them on while there is none: where all
// daemons stop together, nobody else would run them until one has started again.

const (
	// successorDelay is how long a stopping owner runs its batches on before it looks for a successor: of
	// daemons that stop together each must see that the others are leaving. It looks again each
	// successorInterval, until releaseMargin before the end of the stop.
	successorDelay    = 250 * time.Millisecond
	successorInterval = 300 * time.Millisecond
	releaseMargin     = time.Second
	// takeBackDelay is how long a released batch may be without an owner before the owner that released
	// it takes it back: its successor may have been asked to stop too.
	takeBackDelay = time.Second
)

// SetGroup sets the group that tells which daemons are alive. It is called before Run. Without a group,
// Release looks for no successor.
func (r *Runner) SetGroup(group Group) { r.group = group }

// awaitSuccessor returns once another daemon is there that can take batches over, or time is short.
// Meanwhile the batches are run on: nobody else would run them until a daemon starts.
func (r *Runner) awaitSuccessor(ctx context.Context) {
	if r.group == nil || r.idle() {
		return
	}
	ctx, cancel := withMargin(ctx)
	defer cancel()
	began := time.Now()
	for pause := successorDelay; ctx.Err() == nil && !r.idle(); pause = successorInterval {
		periodic.Pause(ctx, pause)
		alive, err := r.group.Alive(ctx)
		if err != nil || slices.ContainsFunc(alive, func(owner string) bool { return owner != r.self }) {
			r.logger.Info("successors looked for", zap.Int("alive", len(alive)),
				zap.Duration("after", time.Since(began)), zap.Error(err))
			return
		}
	}
	r.logger.Info("no successor found", zap.Duration("after", time.Since(began)))
}

// withMargin returns a context that ends releaseMargin before ctx.
func withMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-releaseMargin))
	}
	return context.WithCancel(ctx)
}

// releaseJob releases a job's batch, again each time that nobody has taken it over.
func (r *Runner) releaseJob(ctx context.Context, j *job) {
	for {
		j.startRelease(ctx)
		if r.group == nil || !j.takeBack(ctx) {
			return
		}
		r.awaitSuccessor(ctx)
	}
}

// takeBack makes this daemon the owner again of a batch that it has released and that nobody has taken over
// for takeBackDelay. It returns false once another daemon owns the batch, the batch needs no owner or time
// is short.
func (j *job) takeBack(ctx context.Context) bool {
	defer func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.release.waits = false
	}()
	ctx, cancel := withMargin(ctx)
	defer cancel()
	for j.staysUnowned(ctx) {
		err := j.partition.Append(ctx, batch.TakenOver(j.submission.ID, "", j.r.self))
		back := j.isOwnedBy(j.r.self)
		j.logger.Info("released batch has no owner", zap.Bool("taken_back", back), zap.Error(err))
		if back {
			j.resume()
			return true
		}
	}
	return false
}

// staysUnowned waits for takeBackDelay and reports whether nobody has taken the released batch over. It
// returns false if ctx or the job ends first.
func (j *job) staysUnowned(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, takeBackDelay)
	defer cancel()
	taken := j.partition.Await(bounded.Done(), func() bool { return !j.isOwnedBy("") })
	return !taken && ctx.Err() == nil && j.ctx.Err() == nil
}

// isOwnedBy reports whether the batch is open and has the given owner, "" after a release.
func (j *job) isOwnedBy(owner string) (owned bool) {
	j.partition.ViewBatch(j.submission.ID, func(b *batch.Batch) { owned = b.IsOpen() && b.Owner == owner })
	return owned
}

// resume lets the job go on as that of an owner that has released nothing.
func (j *job) resume() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.release = releaseState{}
	for _, it := range j.items {
		it.handedOff = false
	}
	j.r.WakeDispatcher()
}
