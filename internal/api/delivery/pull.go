package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/results"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal/questiontime"
)

const (
	// maxRounds bounds how often samples of a batch are made again.
	maxRounds = 64
	// regenerateTimeout bounds one try to have samples made again.
	regenerateTimeout = questiontime.ReadTimeout
	// maxPollInterval bounds the time between two looks for results.
	maxPollInterval = 500 * time.Millisecond
	// pollRetryDelay is the time between two looks where the journal could not be read.
	pollRetryDelay = 100 * time.Millisecond
)

// Pull asks for samples after a cursor.
type Pull struct {
	Cursor rollout.Cursor
	// Version is the version that the trainer now trains, 0 for the newest named.
	Version int64
	// Limit is how many samples are wanted at most.
	Limit int
	// Wait is how long the pull may be kept open until there is a sample.
	Wait time.Duration
	// Stopping, if not nil, ends when a planned stop begins: a pull is not kept open then.
	Stopping context.Context
}

// mayWait reports whether the pull may be kept open until a time.
func (p Pull) mayWait(end time.Time) bool { return p.Stopping.Err() == nil && time.Now().Before(end) }

// Delivery is what a pull got. The samples and the cursor belong together.
type Delivery struct {
	Samples []rollout.Result
	Cursor  rollout.Cursor
	// Open counts the samples that are still to come.
	Open int
}

// Deliver hands over samples, and waits for the first as long as the pull says.
// Samples that became too old are made again. The error wraps ErrUnavailable, ErrUnknownBatch or
// ErrTooManyRounds.
func (s *Service) Deliver(ctx context.Context, t Trainer, pull Pull) (Delivery, error) {
	if pull.Stopping == nil {
		pull.Stopping = context.Background()
	}
	end := time.Now().Add(pull.Wait)
	trained := max(pull.Version, t.NewestVersion, 1)
	accepts := func(oldest int64) bool { return t.Accepts(oldest, trained) }
	seen := batchView{service: s, pull: pull, accepts: accepts, prompts: map[int]prompt{}}
	for {
		err := seen.update(ctx)
		if errors.Is(err, ErrUnavailable) && ctx.Err() == nil && pull.mayWait(end) {
			// Who waits anyway need not be sent away for a read that failed.
			periodic.Pause(ctx, pollRetryDelay)
			continue
		}
		if err != nil {
			return Delivery{}, err
		}
		if err := s.startNextRound(ctx, t, &seen, trained); err != nil {
			return Delivery{}, err
		}
		if len(seen.plan.Ready) > 0 || seen.plan.Open == 0 || !pull.mayWait(end) {
			return seen.newDelivery(), nil
		}
		seen.waitForResults(ctx, min(time.Until(end), maxPollInterval))
		if ctx.Err() != nil {
			return Delivery{}, errors.Wrap(ErrUnavailable, ctx.Err().Error())
		}
	}
}

// startNextRound asks for a further round. That another daemon asked first, or that
// the journal did not answer, is seen at the next look.
func (s *Service) startNextRound(ctx context.Context, t Trainer, seen *batchView, trained int64) error {
	samples := seen.plan.Again
	if len(samples) == 0 {
		return nil
	}
	round, header := len(seen.rounds), seen.pull.Cursor.Header
	if round > maxRounds {
		return ErrTooManyRounds
	}
	first, err := s.firstRoundItems(ctx, header, samples)
	if errors.Is(err, ErrUnavailable) {
		s.logger.Info("samples not requested again", zap.String("batch", rollout.JobID(header.Trainer, header.Name, round)), zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	job := rollout.Next(first, header, round, samples, t.oldestAccepted(trained))
	job.AcceptedAtMs = time.Now().UnixMilli()
	bounded, cancel := context.WithTimeout(ctx, regenerateTimeout)
	defer cancel()
	err = s.runner.Accept(bounded, job)
	s.logger.Info("samples requested again", zap.String("batch", job.ID), zap.Int("samples", len(samples)),
		zap.Int64("trained", trained), zap.Int64("min_version", job.MinVersion), zap.Error(err))
	return nil
}

// firstRoundItems returns the job of a batch's first round with the items of some samples.
func (s *Service) firstRoundItems(ctx context.Context, header rollout.Header, samples []int) (*batch.Submission, error) {
	first := &batch.Submission{Items: make([]batch.Item, header.Samples)}
	for len(samples) > 0 {
		items, err := s.reader.Items(ctx, results.ItemsQuery{BatchID: rollout.JobID(header.Trainer, header.Name, 0), Places: samples})
		switch {
		case err != nil:
			return nil, errors.Wrap(ErrUnavailable, err.Error())
		case !items.Found || items.Ended:
			return nil, errors.Wrap(ErrUnknownBatch, "the batch was ended")
		case len(items.Items) == 0 || len(items.Items) > len(samples):
			return nil, errors.Wrap(ErrUnavailable, "other items were told than asked for")
		}
		for i := range items.Items {
			first.Items[samples[i]] = items.Items[i]
		}
		samples = samples[len(items.Items):]
	}
	return first, nil
}
