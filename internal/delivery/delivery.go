// Package delivery takes trainers' batches in and hands their samples over:
// each once, none over the trainer's bound.
//
// A batch is a batch job of the ledger. What was handed over stands in the
// trainer's own cursor, so that no daemon needs to remember it. A sample that
// is too old when it is asked for is made again by a further job, a round; of
// two daemons that ask for the same round the first counts.
//
// # Usage
//
//	header, err := desk.Submit(ctx, trainer, request)
//	delivered, err := desk.Deliver(ctx, trainer, delivery.Pull{Cursor: rollout.NewCursor(header), Version: 7})
package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batch"
	"woodworks/internal/ledger"
	"woodworks/internal/periodic"
	"woodworks/internal/rollout"
	"woodworks/internal/runner"
)

// Errors of this layer.
var (
	// ErrConflict: the name is that of a batch of other content.
	ErrConflict = errors.New("delivery: another batch has this name")
	// ErrUnknownBatch: there is no such batch.
	ErrUnknownBatch = errors.New("delivery: no such batch")
	// ErrUnavailable: the journal did not answer; nothing was changed.
	ErrUnavailable = errors.New("delivery: the journal did not answer")
	// ErrUnsure: the batch may have been taken in, or ended.
	ErrUnsure = errors.New("delivery: it may have been done")
	// ErrTooManyRounds: samples became too old, or failed, in every round.
	ErrTooManyRounds = errors.New("delivery: samples were not usable in any round")
)

const (
	// maxRounds bounds how often samples of a batch are made again.
	maxRounds = 64
	// catchUpTimeout bounds one read of the journal for a caller.
	catchUpTimeout = 1500 * time.Millisecond
	// submitTimeout bounds how long a batch is held while the journal does not
	// answer.
	submitTimeout = 2500 * time.Millisecond
	// lookInterval bounds the time between two looks for results.
	lookInterval = 500 * time.Millisecond
	// lookPause is the time between two looks where the journal could not be read.
	lookPause = 100 * time.Millisecond
)

// Trainer is what the policy in force says of one trainer.
type Trainer struct {
	Name string
	// Newest is the newest version that is named of the trainer's model.
	Newest int64
	// Accepts judges a sample by its oldest version while a version is trained.
	Accepts func(oldest, trained int64) bool
}

// lowest is the oldest version that the trainer accepts while it trains one.
func (t Trainer) lowest(trained int64) int64 {
	lowest := trained
	for lowest > 1 && t.Accepts(lowest-1, trained) {
		lowest--
	}
	return max(lowest, 1)
}

// Runner makes batch jobs exist.
type Runner interface {
	Accept(ctx context.Context, job *batch.Submission) error
	End(ctx context.Context, jobID, tenant string) error
}

// Desk is safe for concurrent use.
type Desk struct {
	ledger *ledger.Ledger
	runner Runner
	names  rollout.ItemHeaders
	logger *zap.Logger
}

// New returns a desk.
func New(jobs *ledger.Ledger, run Runner, names rollout.ItemHeaders, logger *zap.Logger) *Desk {
	return &Desk{ledger: jobs, runner: run, names: names, logger: logger}
}

// Submit takes a checked batch in. The same batch may be submitted again.
func (d *Desk) Submit(ctx context.Context, t Trainer, request rollout.Request) (rollout.Header, error) {
	header := rollout.HeaderOf(request)
	minVersion := max(t.lowest(t.Newest), int64(request.MinVersion))
	job := rollout.First(request, header, minVersion, d.names)
	job.AcceptedAtMs = time.Now().UnixMilli()
	bounded, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := d.runner.Accept(bounded, job)
	switch {
	case errors.Is(err, runner.ErrNotDone):
		return header, errors.Wrap(ErrUnavailable, err.Error())
	case err != nil:
		return header, errors.Wrap(ErrUnsure, err.Error())
	}
	known, err := d.Find(ctx, header.Trainer, header.Name)
	switch {
	case errors.Is(err, ErrUnavailable):
		return header, errors.Wrap(ErrUnsure, err.Error())
	case err != nil:
		return header, err
	case known.Digest != header.Digest:
		return header, ErrConflict
	}
	d.logger.Info("batch taken in", zap.String("batch", job.ID), zap.Int("samples", header.Samples), zap.Int64("min_version", minVersion))
	return header, nil
}

// Find returns the header of a batch.
func (d *Desk) Find(ctx context.Context, trainer, name string) (rollout.Header, error) {
	first, err := d.job(ctx, rollout.JobID(trainer, name, 0))
	if err != nil {
		return rollout.Header{}, err
	}
	if first == nil {
		return rollout.Header{}, d.unknown(trainer, name)
	}
	digest, _ := rollout.DigestOf(&first.Submission)
	return rollout.Header{Trainer: trainer, Name: name, Digest: digest, Samples: len(first.Items)}, nil
}

// End ends all rounds of a batch: no more samples are made.
func (d *Desk) End(ctx context.Context, trainer, name string) error {
	seen, err := d.look(ctx, trainer, name)
	if err != nil {
		return err
	}
	for round := range seen.rounds {
		bounded, cancel := context.WithTimeout(ctx, submitTimeout)
		err := d.runner.End(bounded, rollout.JobID(trainer, name, round), "")
		cancel()
		switch {
		case err == nil:
		case round == 0 && errors.Is(err, runner.ErrNotDone):
			return errors.Wrap(ErrUnavailable, err.Error())
		default:
			return errors.Wrap(ErrUnsure, err.Error())
		}
	}
	return nil
}

// unknown is the error for a batch that the fold does not have: it may be among records
// that were removed before this daemon read them.
func (d *Desk) unknown(trainer, name string) error {
	if d.ledger.Of(rollout.JobID(trainer, name, 0)).Missed() {
		return errors.Wrap(ErrUnavailable, "the partition's oldest records are gone")
	}
	return ErrUnknownBatch
}

// job returns a copy of a batch job as of now, or nil if there is none.
func (d *Desk) job(ctx context.Context, id string) (*batch.Batch, error) {
	partition := d.ledger.Of(id)
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := partition.CatchUp(bounded); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	var found *batch.Batch
	partition.View(func(state *batch.State) {
		if known, ok := state.Get(id); ok {
			copied := *known
			found = &copied
		}
	})
	return found, nil
}

// sight is a batch as it stands.
type sight struct {
	first  *batch.Batch
	rounds []rollout.Round
}

// look reads all rounds of a batch.
func (d *Desk) look(ctx context.Context, trainer, name string) (sight, error) {
	var seen sight
	for round := 0; ; round++ {
		job, err := d.job(ctx, rollout.JobID(trainer, name, round))
		if err != nil {
			return sight{}, err
		}
		if job == nil {
			break
		}
		if round == 0 {
			seen.first = job
		}
		seen.rounds = append(seen.rounds, rollout.RoundOf(job))
	}
	if seen.first == nil {
		return sight{}, d.unknown(trainer, name)
	}
	return seen, nil
}

// Pull asks for samples after a cursor.
type Pull struct {
	Cursor rollout.Cursor
	// Version is the version that the trainer now trains, 0 for the newest named.
	Version int64
	Limit   int
	Wait    time.Duration
	// Stopping, if not nil, is closed when a planned stop begins: a pull is not held then.
	Stopping <-chan struct{}
}

// held reports whether the pull may be held on until a time.
func (p Pull) held(end time.Time) bool {
	select {
	case <-p.Stopping:
		return false
	default:
		return time.Now().Before(end)
	}
}

// Delivery is what a pull got. The samples and the cursor belong together.
type Delivery struct {
	Samples []rollout.Result
	Cursor  rollout.Cursor
	// Open counts the samples that are still to come.
	Open int
}

// Deliver hands over samples, and waits for the first as long as the pull says.
// Samples that became too old are made again.
func (d *Desk) Deliver(ctx context.Context, t Trainer, pull Pull) (Delivery, error) {
	end := time.Now().Add(pull.Wait)
	trained := max(pull.Version, t.Newest, 1)
	header := pull.Cursor.Header
	for {
		seen, err := d.look(ctx, header.Trainer, header.Name)
		if errors.Is(err, ErrUnavailable) && ctx.Err() == nil && pull.held(end) {
			// Who is held anyway need not be sent away for a read that failed.
			periodic.Pause(ctx, lookPause)
			continue
		}
		if err != nil {
			return Delivery{}, err
		}
		if digest, ok := rollout.DigestOf(&seen.first.Submission); !ok || digest != header.Digest || len(seen.first.Listed) != header.Samples {
			return Delivery{}, ErrUnknownBatch
		}
		plan := rollout.Plan(pull.Cursor, seen.rounds, func(oldest int64) bool { return t.Accepts(oldest, trained) }, pull.Limit)
		if err := d.makeAgain(ctx, t, header, seen, plan.Again, trained); err != nil {
			return Delivery{}, err
		}
		if len(plan.Ready) > 0 || plan.Open == 0 || !pull.held(end) {
			return deliver(pull.Cursor, plan, seen.first), nil
		}
		if err := d.wait(ctx, header, len(seen.rounds)-1, end, pull.Stopping); err != nil {
			return Delivery{}, errors.Wrap(ErrUnavailable, err.Error())
		}
	}
}

func deliver(cursor rollout.Cursor, plan rollout.Planned, first *batch.Batch) Delivery {
	indices := make([]int, len(plan.Ready))
	for i := range plan.Ready {
		plan.Ready[i].Complete(&first.Submission)
		indices[i] = plan.Ready[i].Index
	}
	return Delivery{Samples: plan.Ready, Cursor: cursor.Take(indices...), Open: plan.Open}
}

// makeAgain asks for a further round. That another daemon asked first, or that
// the journal did not answer, is seen at the next look.
func (d *Desk) makeAgain(ctx context.Context, t Trainer, header rollout.Header, seen sight, samples []int, trained int64) error {
	if len(samples) == 0 {
		return nil
	}
	if seen.first.Ended {
		return errors.Wrap(ErrUnknownBatch, "the batch was ended")
	}
	round := len(seen.rounds)
	if round > maxRounds {
		return ErrTooManyRounds
	}
	job := rollout.Next(&seen.first.Submission, header, round, samples, t.lowest(trained))
	job.AcceptedAtMs = time.Now().UnixMilli()
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	err := d.runner.Accept(bounded, job)
	d.logger.Info("samples made again", zap.String("batch", job.ID), zap.Int("samples", len(samples)), zap.Int64("trained", trained),
		zap.Int64("min_version", job.MinVersion), zap.Error(err))
	return nil
}

// wait returns when the newest round has changed, after a while, at the end of the pull,
// or when a stop begins.
func (d *Desk) wait(ctx context.Context, header rollout.Header, round int, end time.Time, stopping <-chan struct{}) error {
	partition := d.ledger.Of(rollout.JobID(header.Trainer, header.Name, round))
	release := partition.Follow()
	defer release()
	timer := time.NewTimer(min(time.Until(end), lookInterval))
	defer timer.Stop()
	select {
	case <-partition.Changed():
	case <-timer.C:
	case <-stopping:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
