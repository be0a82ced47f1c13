// Package runner runs the items of the batches that this daemon owns, and takes over those
// whose owner is gone. It picks replicas, follows the answers event by event, resumes what
// broke, has texts scored and lists results in the ledger.
//
// It owns the jobs (one a batch that runs here, with its items) in memory only: what must
// last is in the batch's partition of the ledger, from which the next owner goes on. It
// relies on the ledger's folds, which say who owns a batch; on the replica table for what is
// known of replicas; on the forwarder to reach them; and on the group for who is alive and
// which partitions this daemon watches.
//
// Files that decide: retry.go (which attempt follows, when an item is given up), owner.go
// (when an owner is replaced), assign.go (who owns a new batch), reward.go (when a reward call
// may go), and the packages scheduling (what starts and moves where) and occupancy (what is
// left to other owners).
//
// Files that hold state: runner.go (the jobs), job.go (one batch), item.go, text.go and timing.go
// (one item), history.go (a model's batches before), engineshare.go (what waits, for other owners
// to know; enginedemand.go works it out), and for the batches of others watcher.go (what was seen
// of their owners) and takeover.go (the reads that confirm silence).
//
// All others carry out: for all batches dispatch.go; for an item snapshot.go, attempt.go,
// handover.go, listing.go, heartbeat.go; for a batch on its way from owner to owner adopt.go,
// fold.go, standby.go and release.go.
//
// # Usage
//
//	r := runner.New(ctx, self, batches, forwarder, operator, demands, assigner, locator, logger)
//	go r.Run(ctx)                             // starts items as replicas have room
//	go assigner.Run(ctx, r.AdoptWhenSeen)     // batches accepted elsewhere
//	go runner.NewWatcher(r, group).Run(ctx)   // batches whose owner is gone
//	err := r.Accept(ctx, submission)          // a new batch
//	r.Release(ctx)                            // at a planned stop
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

// Errors of taking work in.
var (
	// ErrNotDone: the work was not taken and will not be.
	ErrNotDone = errors.New("runner: not taken")
	// ErrUnknown: the work may have been taken.
	ErrUnknown = errors.New("runner: outcome unknown")
	// ErrStopping: this daemon takes no more work; it is an ErrNotDone.
	ErrStopping = errors.Wrap(ErrNotDone, "runner: stopping")
)

// SubmitTimeout bounds how long a caller of Accept or End is kept waiting while the journal does
// not answer.
const SubmitTimeout = 2500 * time.Millisecond

// journalPause is the time between two tries at a call to the journal.
const journalPause = 100 * time.Millisecond

// Operator tells what the operator has set.
type Operator interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *route.Configuration
	// NewestVersions returns the newest version named of each model.
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
	observe   Observer
	// shared is nil where the settings name no address for peers: nothing is known of other
	// owners then.
	shared *sharing

	history     *history
	firstEvents scheduling.FirstEvents
	confirming  confirmations
	// movedAt is when items were last moved. Only the dispatcher uses it.
	movedAt time.Time
	// wake has the dispatcher look again.
	wake chan struct{}
	// started counts the items sent to a replica.
	started atomic.Uint64
	// work is what a stop waits for.
	work sync.WaitGroup

	// mu guards jobs and closed, and that no work begins after stopping is set.
	mu       sync.Mutex
	jobs     map[string]*job
	stopping atomic.Bool
	// closed are the batches that a job here has lately found closed.
	closed map[string]bool
}

// New returns a runner whose owner name is self. All its work ends with the
// context.
func New(
	ctx context.Context, self string, batches *ledger.Ledger, forwarder *forward.Forwarder, operator Operator,
	demands *demand.Publisher, assigner *Assigner, locator Locator, logger *zap.Logger,
) *Runner {
	return &Runner{
		self:      self,
		startedAt: time.Now(),
		ctx:       ctx,
		logger:    logger,
		ledger:    batches,
		table:     forwarder.Table,
		forwarder: forwarder,
		operator:  operator,
		demands:   demands,
		assigner:  assigner,
		locator:   locator,
		observe:   func(string, time.Duration) {},
		history:   newHistory(),
		jobs:      map[string]*job{},
		closed:    map[string]bool{},
		wake:      make(chan struct{}, 1),
	}
}

// Accept makes a batch exist, owned by the daemon that should run it. A batch
// that exists already stays as it is. After nil it is certain that the batch
// exists; after ErrNotDone that this call did not create it.
func (r *Runner) Accept(ctx context.Context, submission *batch.Submission) error {
	if r.stopping.Load() {
		return ErrStopping
	}
	if ctx.Err() != nil {
		// Nobody waits for the outcome.
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
		go r.demands.Publish(r.ctx, submission.Model, demand.Demand{
			MinVersion: submission.MinVersion, NewestVersion: r.operator.NewestVersions()[submission.Model],
			Tokens: r.expectedWork(submission), Items: len(submission.Items),
		})
	}
	if owner == r.self {
		go r.AdoptWhenSeen(submission.ID)
	}
	return nil
}

// appendUntil appends a record again until the outcome is certain or the
// context ends. A record that is appended twice counts once in the fold.
func (r *Runner) appendUntil(ctx context.Context, partition *ledger.Partition, record []byte) error {
	outcome := ErrNotDone
	for {
		err := partition.Append(ctx, record)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ledger.ErrNotDone) {
			outcome = ErrUnknown
		}
		periodic.Pause(ctx, journalPause)
		deadline, bounded := ctx.Deadline()
		if ctx.Err() != nil || bounded && !time.Now().Before(deadline) {
			return errors.Wrap(outcome, err.Error())
		}
	}
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

// End ends a batch: after nil no more of it is run than is under way. An
// unknown batch is ended as well, as its acceptance may still be on its way. A batch of
// another tenant stays as it is, and the caller does not learn of it.
func (r *Runner) End(ctx context.Context, batchID, tenant string) error {
	return r.appendUntil(ctx, r.ledger.Of(batchID), batch.Ended(batchID, tenant))
}

func (r *Runner) jobList() []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.jobs))
}

// Load returns how many batches are run here and how many items wait.
func (r *Runner) Load() (batches, waiting int) {
	jobs := r.jobList()
	for _, j := range jobs {
		waiting += j.waiting()
	}
	return len(jobs), waiting
}

// Started returns how many items were sent to a replica.
func (r *Runner) Started() uint64 { return r.started.Load() }
