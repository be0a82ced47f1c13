// Package runner runs the items of the batches that this daemon owns: it picks
// replicas, follows the answers event by event, resumes what broke, has texts
// scored and lists results in the ledger.
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

// Errors of taking work in.
var (
	// ErrNotDone: the work was not taken and will not be.
	ErrNotDone = errors.New("runner: not taken")
	// ErrUnknown: the work may have been taken.
	ErrUnknown = errors.New("runner: outcome unknown")
	// ErrStopping: this daemon takes no more work; it is an ErrNotDone.
	ErrStopping = errors.Wrap(ErrNotDone, "runner: stopping")
)

const (
	// heartbeatInterval is the time between an owner's signs of life in a
	// batch's partition.
	heartbeatInterval = 350 * time.Millisecond
	// wakeInterval bounds how long the dispatcher waits for a change.
	wakeInterval = 100 * time.Millisecond
	appendPause  = 100 * time.Millisecond
)

// Operator tells the operator's newest word.
type Operator interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *route.Configuration
	// Named returns the newest version named of each model.
	Named() map[string]int64
}

// Runner runs the batches of one daemon. It is safe for concurrent use.
type Runner struct {
	self      string
	startedAt time.Time
	ledger    *ledger.Ledger
	table     *replica.Table
	forwarder *forward.Forwarder
	operator  Operator
	demands   *demand.Publisher
	assigner  *Assigner
	// locator is nil where nobody tells where batches begin.
	locator Locator
	history *history
	// firsts are how long first events take.
	firstEvents scheduling.FirstEvents
	observe     Observer
	// sharing is nil where other owners are not heard.
	shared *sharing
	logger *zap.Logger
	ctx    context.Context

	mu   sync.Mutex
	jobs map[string]*job
	wake chan struct{}
	// movedAt is when items were last moved off slow replicas.
	movedAt    time.Time
	confirming confirmations
	stopping   atomic.Bool
	started    atomic.Uint64
	work       sync.WaitGroup
}

// New returns a runner whose owner name is self. All its work ends with the
// context.
func New(ctx context.Context, self string, batches *ledger.Ledger, forwarder *forward.Forwarder, operator Operator, demands *demand.Publisher, assigner *Assigner, logger *zap.Logger) *Runner {
	return &Runner{
		self: self, startedAt: time.Now(), ledger: batches, table: forwarder.Table, forwarder: forwarder, operator: operator, demands: demands, assigner: assigner,
		history: newHistory(), observe: func(string, time.Duration) {}, logger: logger, ctx: ctx, jobs: map[string]*job{}, wake: make(chan struct{}, 1),
	}
}

// Accept makes a batch exist, owned by the daemon that should run it. A batch
// that exists already stays as it is. After nil it is certain that the batch
// exists; after ErrNotDone that this call has not made it exist.
func (r *Runner) Accept(ctx context.Context, submission *batch.Submission) error {
	if r.stopping.Load() {
		return ErrStopping
	}
	if ctx.Err() != nil {
		// Nobody would learn what became of it.
		return errors.Wrap(ErrNotDone, ctx.Err().Error())
	}
	partition := r.ledger.Of(submission.ID)
	owner := r.assigner.Choose(ctx, submission)
	began := time.Now()
	if err := r.appendUntil(ctx, partition, batch.Accepted(submission, owner)); err != nil {
		return err
	}
	if owner != r.self {
		go r.assigner.Tell(r.ctx, submission, owner)
		go r.standBy(submission.ID, owner, time.Since(began))
	}
	if submission.Model != "" {
		known := demand.Demand{MinVersion: submission.MinVersion, Named: r.operator.Named()[submission.Model], Work: r.expectedWork(submission), Items: len(submission.Items)}
		go r.demands.Publish(r.ctx, submission.Model, known)
	}
	if owner == r.self {
		go r.AdoptWhenSeen(submission.ID)
	}
	return nil
}

// expectedWork is how many tokens a batch should make.
func (r *Runner) expectedWork(submission *batch.Submission) int64 {
	work := int64(0)
	for i := range submission.Items {
		work += r.expectedLength(headerOf(submission.Items[i].Headers), submission.Items[i].Tokens)
	}
	return work
}

// appendUntil appends a record again until the outcome is certain or the
// context ends. Doubles of all our records are harmless in the fold.
func (r *Runner) appendUntil(ctx context.Context, partition *ledger.Partition, record []byte) error {
	unsettled := false
	for {
		err := partition.Append(ctx, record)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, ledger.ErrNotDone):
			unsettled = true
		}
		select {
		case <-ctx.Done():
			if unsettled {
				return errors.Wrap(ErrUnknown, err.Error())
			}
			return errors.Wrap(ErrNotDone, err.Error())
		case <-time.After(appendPause):
		}
	}
}

// AdoptWhenSeen starts a batch once the fold shows that this daemon owns it.
func (r *Runner) AdoptWhenSeen(batchID string) {
	if !r.begin() {
		// The one who named this daemon did not know that it stops.
		r.releaseUnstarted(r.ledger.Of(batchID), batchID)
		return
	}
	defer r.work.Done()
	defer r.releaseUnstarted(r.ledger.Of(batchID), batchID)
	partition := r.foldOf(r.ctx, batchID)
	release := partition.Follow()
	defer release()
	for r.ctx.Err() == nil {
		if err := partition.CatchUp(r.ctx); err != nil {
			time.Sleep(appendPause)
			continue
		}
		r.adopt(partition, batchID)
		return
	}
}

// letGoUnbegun releases a batch that came to this daemon while its stop began, and that
// it therefore does not run: the stop itself lets go what is run. The record changes
// nothing where the batch is not this daemon's.
func (r *Runner) releaseUnstarted(partition *ledger.Partition, batchID string) {
	r.mu.Lock()
	_, run := r.jobs[batchID]
	unbegun := r.stopping.Load() && !run
	r.mu.Unlock()
	if !unbegun {
		return
	}
	err := r.appendUntil(r.ctx, partition, batch.Released(batchID, r.self, nil))
	r.logger.Info("batch let go unbegun", zap.String("batch", batchID), zap.Error(err))
}

// begin counts work that a stop must wait for, or refuses it if the stop has
// begun.
func (r *Runner) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping.Load() {
		return false
	}
	r.work.Add(1)
	return true
}

// adopt starts a batch if a fold of its partition says that this daemon owns it and it is
// open. The batch goes by that fold from then on.
func (r *Runner) adopt(partition *ledger.Partition, batchID string) {
	var adopted *job
	r.mu.Lock()
	_, under := r.jobs[batchID]
	if !under && r.ctx.Err() == nil && !r.stopping.Load() {
		partition.View(func(state *batch.State) {
			b, found := state.Get(batchID)
			if found && b.Open() && b.Owner == r.self {
				adopted = newJob(r, partition, b)
				r.jobs[batchID] = adopted
				r.work.Add(1)
			}
		})
	}
	r.mu.Unlock()
	if adopted == nil {
		return
	}
	r.logger.Info("batch owned", zap.String("batch", batchID), zap.Int("items", len(adopted.items)),
		zap.Int("listed", adopted.listedAtStart), zap.Int("begun", adopted.resumedAtStart), zap.Int64("step", adopted.submission.Step), zap.String("model", adopted.submission.Model),
		zap.Int64("min_version", adopted.submission.MinVersion), zap.Int("desired", adopted.submission.Desired),
		zap.String("topic", partition.Name().Topic), zap.Int("partition", partition.Name().Number))
	go func() {
		defer r.work.Done()
		adopted.run()
		r.mu.Lock()
		delete(r.jobs, batchID)
		r.mu.Unlock()
	}()
	r.Kick()
}

// TakeOver makes this daemon the owner in place of another and starts the
// batch.
func (r *Runner) TakeOver(ctx context.Context, batchID, from string) error {
	if !r.begin() {
		return ErrStopping
	}
	defer r.work.Done()
	whole := r.ledger.Of(batchID)
	defer r.releaseUnstarted(whole, batchID)
	if err := whole.Append(ctx, batch.TakenOver(batchID, from, r.self)); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	partition := r.foldOf(ctx, batchID)
	if err := partition.CatchUp(ctx); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	r.adopt(partition, batchID)
	return nil
}

// End ends a batch: after nil no more of it is run than is under way. An
// unknown batch is ended as well, as its acceptance may still be on its way. A batch of
// another tenant stays as it is, and the caller does not learn of it.
func (r *Runner) End(ctx context.Context, batchID, tenant string) error {
	return r.appendUntil(ctx, r.ledger.Of(batchID), batch.Ended(batchID, tenant))
}

// signNumber numbers a sign of life. It rises over all batches of this run, so that
// one that comes back here is not taken for silent.
func (r *Runner) heartbeatNumber(now time.Time) int64 {
	return now.Sub(r.startedAt).Milliseconds() + 1
}

// jobList returns the batches that are run here.
func (r *Runner) jobList() []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := make([]*job, 0, len(r.jobs))
	for _, j := range r.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

// Load returns how many batches are run here and how many items wait.
func (r *Runner) Load() (batches, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		waiting += j.waiting()
	}
	return len(r.jobs), waiting
}

// Started returns how many items were sent to a replica.
func (r *Runner) Started() uint64 { return r.started.Load() }

// Kick makes the dispatcher look again.
func (r *Runner) Kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Release lets all batches go: no more items are started, each batch gets a
// record that says so, and the items under way are finished. It returns when
// they are, or when the context ends.
func (r *Runner) Release(ctx context.Context) {
	r.mu.Lock()
	r.stopping.Store(true)
	r.mu.Unlock()
	for _, j := range r.jobList() {
		// Counted: a batch with nothing under way is left at once, and its record must
		// be in the journal all the same before the daemon ends.
		r.work.Add(1)
		go func() {
			defer r.work.Done()
			j.release(ctx)
		}()
	}
	done := make(chan struct{})
	go func() {
		r.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run starts items as replicas have room, until the context ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.table.Changed()
		if !r.stopping.Load() {
			r.dispatch(time.Now())
		}
		timer := time.NewTimer(wakeInterval)
		if r.quiet() {
			timer.Reset(time.Hour)
			changed = nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *Runner) quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) == 0
}
