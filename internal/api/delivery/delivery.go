// Package delivery takes trainers' batches in and hands their samples over:
// each once, none over the trainer's bound.
//
// A batch is a batch job of the ledger. What was handed over stands in the
// trainer's own cursor, so that no daemon needs to remember it. A sample that
// is too old when it is asked for is made again by a further job, a round; of
// two daemons that ask for the same round the first counts.
//
// A service owns nothing that lasts and holds no fold. It relies on a reader of results, which knows
// when to read a partition and when to ask its watcher, and on the runner for new batch jobs.
//
// # Usage
//
//	service := delivery.New(reader, runner, names, logger)
//	header, err := service.Submit(ctx, trainer, request)
//	delivered, err := service.Deliver(ctx, trainer, delivery.Pull{Cursor: rollout.NewCursor(header), Version: 7})
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

// Errors of this layer. Callers read their texts, in the body of a refusal.
var (
	// ErrConflict: the name is that of a batch of other content.
	ErrConflict = errors.New("delivery: another batch has this name")
	// ErrUnknownBatch: there is no such batch.
	ErrUnknownBatch = errors.New("delivery: no such batch")
	// ErrUnavailable: the journal did not answer; nothing was changed.
	ErrUnavailable = errors.New("delivery: the journal did not answer")
	// ErrOutcomeUnknown: the batch may have been taken in, or ended.
	ErrOutcomeUnknown = errors.New("delivery: it may have been done")
	// ErrTooManyRounds: samples became too old, or failed, in every round.
	ErrTooManyRounds = errors.New("delivery: samples were not usable in any round")
)

// Trainer is what the policy in force says of one trainer.
type Trainer struct {
	Name string
	// NewestVersion is the newest version that is named of the trainer's model.
	NewestVersion int64
	// Accepts judges a sample by its oldest version while a version is trained.
	Accepts func(oldest, trained int64) bool
}

// oldestAccepted is the oldest version that the trainer accepts while it trains one.
func (t Trainer) oldestAccepted(trained int64) int64 {
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

// Reader answers questions about batch jobs, as any daemon knows them.
type Reader interface {
	Samples(ctx context.Context, query results.Query) (results.Page, error)
	Items(ctx context.Context, query results.ItemsQuery) (results.Items, error)
}

// Service is where trainers submit batches and pull samples. It is safe for concurrent use.
type Service struct {
	reader      Reader
	runner      Runner
	itemHeaders rollout.ItemHeaders
	logger      *zap.Logger
}

// New returns a service.
func New(reader Reader, run Runner, names rollout.ItemHeaders, logger *zap.Logger) *Service {
	return &Service{reader: reader, runner: run, itemHeaders: names, logger: logger}
}

// Submit takes a checked batch in. The same batch may be submitted again.
func (s *Service) Submit(ctx context.Context, t Trainer, request rollout.Request) (rollout.Header, error) {
	header := rollout.HeaderOf(request)
	minVersion := max(t.oldestAccepted(t.NewestVersion), int64(request.MinVersion))
	job := rollout.First(request, header, minVersion, s.itemHeaders)
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

// Find returns the header of a batch.
func (s *Service) Find(ctx context.Context, trainer, name string) (rollout.Header, error) {
	first, err := s.findRound(ctx, trainer, name, 0)
	if err != nil {
		return rollout.Header{}, err
	}
	if !first.Found {
		return rollout.Header{}, ErrUnknownBatch
	}
	// A job that is no round of a batch has no digest, which is another than any caller's.
	digest, _ := rollout.DigestOf(first.Round.Path)
	return rollout.Header{Trainer: trainer, Name: name, Digest: digest, Samples: first.Total}, nil
}

// findRound asks for a round of a batch, and for none of its samples.
func (s *Service) findRound(ctx context.Context, trainer, name string, round int) (results.Page, error) {
	page, err := s.reader.Samples(ctx, results.Query{
		BatchID: rollout.JobID(trainer, name, round), After: rollout.MaxSamples, Samples: &results.Samples{Further: round > 0},
	})
	if err != nil {
		return results.Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return page, nil
}

// End ends all rounds of a batch: no more samples are made.
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

// countRounds returns how many rounds a batch has.
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
