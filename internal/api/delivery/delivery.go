// Package delivery accepts trainers' batches and delivers their samples: each sample once, and none
// that is older than the trainer accepts.
//
// A batch is stored as a batch job of the ledger. The trainer's cursor records which samples were
// delivered, so no daemon has to remember it. A sample that is too old when it is pulled is made
// again by a further batch job, called a round. If two daemons submit the same round, the first one
// counts.
//
// A Service stores nothing and holds no fold. It reads through a Reader, which decides whether to
// read a partition itself or to ask the partition's watcher, and submits batch jobs through a
// Runner.
//
// # Usage
//
//	service := delivery.New(reader, runner, itemHeaders, logger)
//	header, err := service.Submit(ctx, trainer, request)
//	delivered, err := service.Deliver(ctx, trainer, delivery.Pull{Cursor: rollout.NewCursor(header), Version: 7, Limit: 100})
package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
)

// Errors of this package. Their texts are part of the answers to callers.
var (
	// ErrConflict is returned if another batch with different content has the name.
	ErrConflict = errors.New("delivery: another batch has this name")
	// ErrUnknownBatch is returned if the batch does not exist, or was ended and some of its samples
	// would have to be made again.
	ErrUnknownBatch = errors.New("delivery: no such batch")
	// ErrUnavailable is returned if the journal did not answer. Nothing was changed.
	ErrUnavailable = errors.New("delivery: the journal did not answer")
	// ErrOutcomeUnknown is returned if the batch may or may not have been accepted or ended.
	ErrOutcomeUnknown = errors.New("delivery: it may have been done")
	// ErrTooManyRounds is returned if samples are still too old or failed after the last allowed
	// round.
	ErrTooManyRounds = errors.New("delivery: samples were not usable in any round")
)

// Trainer holds the settings of one trainer in the policy in force.
type Trainer struct {
	Name string
	// NewestVersion is the newest announced version of the trainer's model.
	NewestVersion int64
	// Accepts reports whether a sample whose oldest weight version is oldest may be used to train
	// the version trained.
	Accepts func(oldest, trained int64) bool
}

// oldestAccepted returns the oldest version that the trainer accepts while it trains a version, at
// least 1.
func (t Trainer) oldestAccepted(trained int64) int64 {
	oldest := trained
	for oldest > 1 && t.Accepts(oldest-1, trained) {
		oldest--
	}
	return max(oldest, 1)
}

// Runner submits and ends batch jobs, as runner.Runner does: Accept leaves a job with the same ID
// unchanged, and an error that is runner.ErrNotDone means that the call had no effect.
type Runner interface {
	Accept(ctx context.Context, job *batch.Submission) error
	End(ctx context.Context, jobID, tenant string) error
}

// Reader reads the state of batch jobs, whichever daemon owns them.
type Reader interface {
	Samples(ctx context.Context, query results.Query) (results.Page, error)
	Items(ctx context.Context, query results.ItemsQuery) (results.Items, error)
}

// Service accepts batches and delivers their samples. It is safe for concurrent use.
type Service struct {
	reader      Reader
	runner      Runner
	itemHeaders rollout.ItemHeaders
	logger      *zap.Logger
}

// New returns a service that reads through reader and submits batch jobs to run. The headers of
// their items are named by itemHeaders.
func New(reader Reader, run Runner, itemHeaders rollout.ItemHeaders, logger *zap.Logger) *Service {
	return &Service{reader: reader, runner: run, itemHeaders: itemHeaders, logger: logger}
}

// Submit accepts a batch whose request has passed Check. Submitting the same batch again is
// harmless. The error wraps ErrUnavailable if nothing was changed, ErrOutcomeUnknown, ErrConflict,
// or ErrUnknownBatch if the batch is gone already.
func (s *Service) Submit(ctx context.Context, t Trainer, request rollout.Request) (rollout.Header, error) {
	header := rollout.HeaderOf(request)
	minVersion := max(t.oldestAccepted(t.NewestVersion), int64(request.MinVersion))
	job := rollout.FirstRound(request, header, minVersion, s.itemHeaders)
	job.AcceptedAtMs = time.Now().UnixMilli()
	bounded, cancel := context.WithTimeout(ctx, runner.SubmitTimeout)
	defer cancel()
	err := s.runner.Accept(bounded, job)
	switch {
	case errors.Is(err, runner.ErrNotDone):
		return header, errors.Wrap(ErrUnavailable, err.Error())
	case err != nil:
		return header, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	stored, err := s.Find(ctx, header.Trainer, header.Name)
	switch {
	case errors.Is(err, ErrUnavailable):
		return header, errors.Wrap(ErrOutcomeUnknown, err.Error())
	case err != nil:
		return header, err
	case stored.Digest != header.Digest:
		return header, ErrConflict
	}
	s.logger.Info("rollout accepted", zap.String("batch", job.ID), zap.Int("samples", header.Samples), zap.Int64("min_version", minVersion))
	return header, nil
}

// Find returns the header of a batch. The error wraps ErrUnavailable or ErrUnknownBatch.
func (s *Service) Find(ctx context.Context, trainer, name string) (rollout.Header, error) {
	first, err := s.findRound(ctx, trainer, name, 0)
	if err != nil {
		return rollout.Header{}, err
	}
	if !first.Found {
		return rollout.Header{}, ErrUnknownBatch
	}
	// A job that is not a round of a batch has no digest. The 0 then returned matches no request.
	digest, _ := rollout.ParseDigest(first.Round.Path)
	return rollout.Header{Trainer: trainer, Name: name, Digest: digest, Samples: first.Total}, nil
}

// findRound reads whether a round of a batch exists, and its totals, without any samples.
func (s *Service) findRound(ctx context.Context, trainer, name string, round int) (results.Page, error) {
	page, err := s.reader.Samples(ctx, results.Query{
		BatchID: rollout.JobID(trainer, name, round), After: rollout.MaxSamples, Samples: &results.Samples{Further: round > 0},
	})
	if err != nil {
		return results.Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return page, nil
}

// End ends all rounds of a batch, so that no more samples are made. The error wraps ErrUnavailable
// if nothing was changed, ErrOutcomeUnknown, or ErrUnknownBatch.
func (s *Service) End(ctx context.Context, trainer, name string) error {
	rounds, err := s.countRounds(ctx, trainer, name)
	if err != nil {
		return err
	}
	for round := range rounds {
		bounded, cancel := context.WithTimeout(ctx, runner.SubmitTimeout)
		err := s.runner.End(bounded, rollout.JobID(trainer, name, round), "")
		cancel()
		switch {
		case err == nil:
		case round == 0 && errors.Is(err, runner.ErrNotDone):
			return errors.Wrap(ErrUnavailable, err.Error())
		default:
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
	return nil
}

// countRounds returns the number of rounds of a batch, or ErrUnknownBatch if there is none.
func (s *Service) countRounds(ctx context.Context, trainer, name string) (int, error) {
	for rounds := 0; ; rounds++ {
		page, err := s.findRound(ctx, trainer, name, rounds)
		switch {
		case err != nil:
			return 0, err
		case !page.Found && rounds == 0:
			return 0, ErrUnknownBatch
		case !page.Found:
			return rounds, nil
		}
	}
}
