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
	retryPause   = 100 * time.Millisecond
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
	firsts  scheduling.FirstEvents
	observe Observer
	// sharing is nil where other owners are not heard.
	sharing *sharing
	logger  *zap.Logger
	context context.Context

	mutex sync.Mutex
	jobs  map[string]*job
	wake  chan struct{}
	// movedAt is when items were last moved off slow replicas.
	movedAt    time.Time
	confirming confirmations
	stopping   atomic.Bool
	started    atomic.Uint64
	running    sync.WaitGroup
}

// New returns a runner whose owner name is self. All its work ends with the
// context.
func New(ctx context.Context, self string, batches *ledger.Ledger, forwarder *forward.Forwarder, operator Operator, demands *demand.Publisher, assigner *Assigner, logger *zap.Logger) *Runner {
	return &Runner{
		self: self, startedAt: time.Now(), ledger: batches, table: forwarder.Table, forwarder: forwarder, operator: operator, demands: demands, assigner: assigner,
		history: newHistory(), observe: func(string, time.Duration) {}, logger: logger, context: ctx, jobs: map[string]*job{}, wake: make(chan struct{}, 1),
	}
}

// Accept makes a batch exist, owned by the daemon that should run it. A batch
// that exists already stays as it is. After nil it is certain that the batch
// exists; after ErrNotDone that this call has not made it exist.
func (runner *Runner) Accept(ctx context.Context, submission *batch.Submission) error {
	if runner.stopping.Load() {
		return ErrStopping
	}
	if ctx.Err() != nil {
		// Nobody would learn what became of it.
		return errors.Wrap(ErrNotDone, ctx.Err().Error())
	}
	partition := runner.ledger.Of(submission.ID)
	owner := runner.assigner.Choose(ctx, submission)
	began := time.Now()
	if err := runner.appendUntil(ctx, partition, batch.Accepted(submission, owner)); err != nil {
		return err
	}
	if owner != runner.self {
		go runner.assigner.Tell(runner.context, submission, owner)
		go runner.standBy(submission.ID, owner, time.Since(began))
	}
	if submission.Model != "" {
		known := demand.Demand{MinVersion: submission.MinVersion, Named: runner.operator.Named()[submission.Model], Work: runner.expectedWork(submission), Items: len(submission.Items)}
		go runner.demands.Publish(runner.context, submission.Model, known)
	}
	if owner == runner.self {
		go runner.AdoptWhenSeen(submission.ID)
	}
	return nil
}

// expectedWork is how many tokens a batch should make.
func (runner *Runner) expectedWork(submission *batch.Submission) int64 {
	work := int64(0)
	for i := range submission.Items {
		work += runner.expectedLength(headerOf(submission.Items[i].Headers), submission.Items[i].Tokens)
	}
	return work
}

// appendUntil appends a record again until the outcome is certain or the
// context ends. Doubles of all our records are harmless in the fold.
func (runner *Runner) appendUntil(ctx context.Context, partition *ledger.Partition, record []byte) error {
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
		case <-time.After(retryPause):
		}
	}
}

// AdoptWhenSeen starts a batch once the fold shows that this daemon owns it.
func (runner *Runner) AdoptWhenSeen(batchID string) {
	if !runner.begin() {
		// The one who named this daemon did not know that it stops.
		runner.letGoUnbegun(runner.ledger.Of(batchID), batchID)
		return
	}
	defer runner.running.Done()
	defer runner.letGoUnbegun(runner.ledger.Of(batchID), batchID)
	partition := runner.foldOf(runner.context, batchID)
	release := partition.Follow()
	defer release()
	for runner.context.Err() == nil {
		if err := partition.CatchUp(runner.context); err != nil {
			time.Sleep(retryPause)
			continue
		}
		runner.adopt(partition, batchID)
		return
	}
}

// letGoUnbegun releases a batch that came to this daemon while its stop began, and that
// it therefore does not run: the stop itself lets go what is run. The record changes
// nothing where the batch is not this daemon's.
func (runner *Runner) letGoUnbegun(partition *ledger.Partition, batchID string) {
	runner.mutex.Lock()
	_, run := runner.jobs[batchID]
	unbegun := runner.stopping.Load() && !run
	runner.mutex.Unlock()
	if !unbegun {
		return
	}
	err := runner.appendUntil(runner.context, partition, batch.Released(batchID, runner.self, nil))
	runner.logger.Info("batch let go unbegun", zap.String("batch", batchID), zap.Error(err))
}

// begin counts work that a stop must wait for, or refuses it if the stop has
// begun.
func (runner *Runner) begin() bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.stopping.Load() {
		return false
	}
	runner.running.Add(1)
	return true
}

// adopt starts a batch if a fold of its partition says that this daemon owns it and it is
// open. The batch goes by that fold from then on.
func (runner *Runner) adopt(partition *ledger.Partition, batchID string) {
	var adopted *job
	runner.mutex.Lock()
	_, under := runner.jobs[batchID]
	if !under && runner.context.Err() == nil && !runner.stopping.Load() {
		partition.View(func(state *batch.State) {
			known, found := state.Get(batchID)
			if found && known.Open() && known.Owner == runner.self {
				adopted = newJob(runner, partition, known)
				runner.jobs[batchID] = adopted
				runner.running.Add(1)
			}
		})
	}
	runner.mutex.Unlock()
	if adopted == nil {
		return
	}
	runner.logger.Info("batch owned", zap.String("batch", batchID), zap.Int("items", len(adopted.items)),
		zap.Int("listed", adopted.listedAtStart), zap.Int("begun", adopted.begunAtStart), zap.Int64("step", adopted.submission.Step), zap.String("model", adopted.submission.Model),
		zap.Int64("min_version", adopted.submission.MinVersion), zap.Int("desired", adopted.submission.Desired),
		zap.String("topic", partition.Name().Topic), zap.Int("partition", partition.Name().Number))
	go func() {
		defer runner.running.Done()
		adopted.run()
		runner.mutex.Lock()
		delete(runner.jobs, batchID)
		runner.mutex.Unlock()
	}()
	runner.Kick()
}

// TakeOver makes this daemon the owner in place of another and starts the
// batch.
func (runner *Runner) TakeOver(ctx context.Context, batchID, from string) error {
	if !runner.begin() {
		return ErrStopping
	}
	defer runner.running.Done()
	whole := runner.ledger.Of(batchID)
	defer runner.letGoUnbegun(whole, batchID)
	if err := whole.Append(ctx, batch.TakenOver(batchID, from, runner.self)); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	partition := runner.foldOf(ctx, batchID)
	if err := partition.CatchUp(ctx); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	runner.adopt(partition, batchID)
	return nil
}

// End ends a batch: after nil no more of it is run than is under way. An
// unknown batch is ended as well, as its acceptance may still be on its way. A batch of
// another tenant stays as it is, and the caller does not learn of it.
func (runner *Runner) End(ctx context.Context, batchID, tenant string) error {
	return runner.appendUntil(ctx, runner.ledger.Of(batchID), batch.Ended(batchID, tenant))
}

// signNumber numbers a sign of life. It rises over all batches of this run, so that
// one that comes back here is not taken for silent.
func (runner *Runner) signNumber(now time.Time) int64 {
	return now.Sub(runner.startedAt).Milliseconds() + 1
}

// jobList returns the batches that are run here.
func (runner *Runner) jobList() []*job {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	jobs := make([]*job, 0, len(runner.jobs))
	for _, each := range runner.jobs {
		jobs = append(jobs, each)
	}
	return jobs
}

// Load returns how many batches are run here and how many items wait.
func (runner *Runner) Load() (batches, waiting int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for _, each := range runner.jobs {
		waiting += each.waiting()
	}
	return len(runner.jobs), waiting
}

// Started returns how many items were sent to a replica.
func (runner *Runner) Started() uint64 { return runner.started.Load() }

// Kick makes the dispatcher look again.
func (runner *Runner) Kick() {
	select {
	case runner.wake <- struct{}{}:
	default:
	}
}

// Release lets all batches go: no more items are started, each batch gets a
// record that says so, and the items under way are finished. It returns when
// they are, or when the context ends.
func (runner *Runner) Release(ctx context.Context) {
	runner.mutex.Lock()
	runner.stopping.Store(true)
	runner.mutex.Unlock()
	for _, each := range runner.jobList() {
		// Counted: a batch with nothing under way is left at once, and its record must
		// be in the journal all the same before the daemon ends.
		runner.running.Add(1)
		go func() {
			defer runner.running.Done()
			each.letGo(ctx)
		}()
	}
	done := make(chan struct{})
	go func() {
		runner.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run starts items as replicas have room, until the context ends.
func (runner *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := runner.table.Changed()
		if !runner.stopping.Load() {
			runner.dispatch(time.Now())
		}
		timer := time.NewTimer(wakeInterval)
		if runner.quiet() {
			timer.Reset(time.Hour)
			changed = nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-runner.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (runner *Runner) quiet() bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return len(runner.jobs) == 0
}
