// Package runner runs the items of the batches that this daemon owns, and takes over batches whose
// owner has ended. It chooses replicas, reads the answers event by event, resumes interrupted
// items, has texts scored and appends the results to the ledger.
//
// Jobs (one per batch that runs here, with its items) are kept in memory only. Everything that must
// survive the process is in the batch's partition of the ledger, from which the next owner
// continues. The runner reads who owns a batch from the folds of the ledger and the state of
// replicas from the replica table, sends requests through the forwarder, and asks the group which
// daemons are alive and which partitions this daemon watches.
//
// Decisions: retry.go (whether an item is tried again or given up), owner.go (when an owner is
// replaced), assign.go (who owns a new batch), reward.go (when a reward call may be sent), and the
// packages scheduling (which items start or move, and where) and occupancy (how many slots are left
// to other owners).
//
// State: runner.go (the jobs), job.go (one batch), item.go, text.go and timing.go (one item),
// history.go (earlier batches of a model), engineshare.go (the demand reported to other owners;
// enginedemand.go computes it). For batches of other owners: watcher.go (what was last observed of
// the owner) and takeover.go (the reads that confirm that an owner is silent).
//
// Execution: dispatch.go and snapshot.go for all batches; attempt.go, handover.go, listing.go and
// heartbeat.go for one item or batch; adopt.go, fold.go, standby.go, release.go and successor.go for a
// batch that changes its owner; waiting.go logs why items wait.
//
// # Usage
//
//	r := runner.New(ctx, self, batches, forwarder, operator, demands, assigner, locator, logger)
//	go r.Run(ctx)                             // starts items when replicas have room
//	go assigner.Run(ctx, r.AdoptAssigned)     // adopts batches that other daemons accepted
//	go runner.NewWatcher(r, group).Run(ctx)   // takes over batches whose owner has ended
//	err := r.Accept(ctx, submission)          // accepts a new batch
//	r.Release(ctx)                            // releases all batches at a planned stop
package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

// Errors of Accept, End and TakeOver.
var (
	// ErrNotDone is returned when the call had no effect and will have none.
	ErrNotDone = errors.New("runner: not taken")
	// ErrUnknown is returned when it is unknown whether the call has had or will have its effect.
	ErrUnknown = errors.New("runner: outcome unknown")
	// ErrStopping is returned once Release has been called. It wraps ErrNotDone.
	ErrStopping = errors.Wrap(ErrNotDone, "runner: stopping")
)

// SubmitTimeout bounds a call of Accept or End while the journal does not answer.
const SubmitTimeout = 2500 * time.Millisecond

// journalRetryDelay is the delay before a failed call to the journal is repeated.
const journalRetryDelay = 100 * time.Millisecond

// Operator provides the settings made by the operator.
type Operator interface {
	// Configuration returns the configuration in force, or nil if there is none.
	Configuration() *route.Configuration
	// NewestVersions returns, by model, the newest version that the operator has announced.
	NewestVersions() map[string]int64
}

// Runner runs the batches of one daemon. It is safe for concurrent use.
type Runner struct {
	self      string
	startedAt time.Time
	ctx       context.Context
	logger    *zap.Logger

	ledger    *ledger.Ledger
	table     *replica.Table
	forwarder *forward.Forwarder
	operator  Operator
	demands   *demand.Publisher
	assigner  *Assigner
	locator   Locator
	observe   PhaseObserver
	// group is nil unless SetGroup was called.
	group Group
	// sharing is nil if no address for calls between daemons is configured; the runner then
	// ignores the requests of other owners.
	sharing *engineSharing

	history           *history
	firstEventLatency scheduling.FirstEventLatency
	confirmations     confirmations
	wholeReads        wholeReads
	// lastMoveRound is the time of the last pass in which items could be moved. Only the dispatcher
	// uses it.
	lastMoveRound time.Time
	// wake wakes the dispatcher.
	wake chan struct{}
	// started counts the attempts sent to replicas.
	started atomic.Uint64
	// waitLines bounds the log lines about waiting items.
	waitLines lineBudget
	// work counts the work that Release waits for.
	work workGroup

	// mu guards jobs, closedBatches and stopCtx. It also ensures that Release releases each job: one that
	// begins after stopping is set releases itself.
	mu       sync.Mutex
	jobs     map[string]*job
	stopping atomic.Bool
	// stopCtx is the context of Release; nil before.
	stopCtx context.Context
	// closedBatches holds the ids of the batches that a job of this daemon found closed less than
	// closedBatchTTL ago. adopt ignores these batches.
	closedBatches map[string]bool
}

// New returns a runner whose owner name is self. The runner's work ends when ctx ends.
func New(
	ctx context.Context, self string, batches *ledger.Ledger, forwarder *forward.Forwarder, operator Operator,
	demands *demand.Publisher, assigner *Assigner, locator Locator, logger *zap.Logger,
) *Runner {
	return &Runner{
		self:          self,
		startedAt:     time.Now(),
		ctx:           ctx,
		logger:        logger,
		ledger:        batches,
		table:         forwarder.Table,
		forwarder:     forwarder,
		operator:      operator,
		demands:       demands,
		assigner:      assigner,
		locator:       locator,
		observe:       func(string, time.Duration) {},
		history:       newHistory(),
		jobs:          map[string]*job{},
		closedBatches: map[string]bool{},
		wake:          make(chan struct{}, 1),
	}
}

// Accept records a batch and chooses its owner. A batch that exists already is not changed, and one
// that its caller has ended already is not run. If Accept returns nil, the batch exists; if the error
// is ErrNotDone, this call did not create it; if it is ErrUnknown, the batch may exist.
func (r *Runner) Accept(ctx context.Context, submission *batch.Submission) error {
	if r.stopping.Load() || !r.work.begin() {
		return ErrStopping
	}
	defer r.work.end()
	if ctx.Err() != nil {
		// The caller has left: nobody waits for the outcome.
		return errors.Wrap(ErrNotDone, ctx.Err().Error())
	}
	partition := r.ledger.PartitionOf(submission.ID)
	owner := r.assigner.ChooseOwner(ctx, submission)
	began := time.Now()
	if err := r.appendWithRetry(ctx, partition, batch.Accepted(submission, owner)); err != nil {
		return err
	}
	if hasEnded(partition, submission.ID) {
		r.logger.Info("batch submitted after its end", zap.String("batch", submission.ID), zap.Inline(partition))
		return nil
	}
	if owner != r.self {
		go r.assigner.Assign(r.ctx, submission, owner)
		accepting := time.Since(began)
		r.work.start(func() { r.standBy(submission.ID, owner, accepting) })
	}
	if submission.Model != "" {
		go r.demands.Publish(r.ctx, submission.Model, demand.Demand{
			MinVersion: submission.MinVersion, NewestVersion: r.operator.NewestVersions()[submission.Model],
			Tokens: r.expectedBatchTokens(submission), Items: len(submission.Items),
		})
	}
	if owner == r.self {
		r.work.start(func() { r.AdoptAssigned(submission.ID) })
	}
	return nil
}

// appendWithRetry appends a record, retrying until the outcome is certain or ctx ends. Repeating is
// safe: the fold applies a record that was appended twice only once.
func (r *Runner) appendWithRetry(ctx context.Context, partition *ledger.Partition, record []byte) error {
	outcome := ErrNotDone
	for {
		err := partition.Append(ctx, record)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ledger.ErrNotDone) {
			outcome = ErrUnknown
		}
		periodic.Pause(ctx, journalRetryDelay)
		deadline, bounded := ctx.Deadline()
		if ctx.Err() != nil || bounded && !time.Now().Before(deadline) {
			return errors.Wrap(outcome, err.Error())
		}
	}
}

// hasEnded reports whether a fold knows that a batch has ended.
func hasEnded(partition *ledger.Partition, batchID string) (ended bool) {
	partition.ViewBatch(batchID, func(b *batch.Batch) { ended = b.HasEnded() })
	return ended
}

// End ends a batch: after it returns nil, no further items are started. An unknown batch is ended
// too, since its acceptance may still be on its way; the fold then keeps the end. A batch of another
// tenant is not changed, and the caller can't tell it from an unknown one.
func (r *Runner) End(ctx context.Context, batchID, tenant string) error {
	return r.appendWithRetry(ctx, r.ledger.PartitionOf(batchID), batch.Ended(batchID, tenant))
}

func (r *Runner) jobList() []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.jobs))
}

// Load returns the number of batches that run here and the number of their items that wait for a
// replica.
func (r *Runner) Load() (batches, waiting int) {
	jobs := r.jobList()
	for _, j := range jobs {
		waiting += j.waiting()
	}
	return len(jobs), waiting
}

// ItemsStarted returns the number of attempts sent to replicas.
func (r *Runner) ItemsStarted() uint64 { return r.started.Load() }
