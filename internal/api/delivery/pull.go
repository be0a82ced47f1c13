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
	// maxRounds bounds the further rounds of a batch.
	maxRounds = 64
	// regenerateTimeout bounds the submission of a further round.
	regenerateTimeout = questiontime.ReadTimeout
	// maxPollInterval bounds how long one read of results is held open while a pull waits.
	maxPollInterval = 500 * time.Millisecond
	// pollRetryDelay is the wait before results are read again after a failed read, or while the
	// newest round has no unread results.
	pollRetryDelay = 100 * time.Millisecond
)

// Pull requests samples that the cursor does not have yet.
type Pull struct {
	Cursor rollout.Cursor
	// Version is the version that the trainer is training, 0 for the newest announced one.
	Version int64
	// Limit bounds the number of samples in the delivery.
	Limit int
	// Wait is how long the pull may be held open until a sample is ready.
	Wait time.Duration
	// Stopping, if not nil, is done once a planned stop begins. A pull is not held open after that.
	Stopping context.Context
}

// mayWait reports whether the pull may still be held open, given the end of its wait.
func (p Pull) mayWait(end time.Time) bool { return p.Stopping.Err() == nil && time.Now().Before(end) }

// Delivery is the answer to a pull. Cursor has all Samples marked as taken, so the trainer must
// keep both or neither.
type Delivery struct {
	Samples []rollout.Result
	Cursor  rollout.Cursor
	// Open is the number of samples of the batch that are not delivered yet.
	Open int
}

// Deliver returns samples that the trainer accepts, at most pull.Limit, and waits up to pull.Wait
// for the first one. Samples that are too old or failed are made again in a further round. The
// error wraps ErrUnavailable, ErrUnknownBatch or ErrTooManyRounds; no samples were delivered then,
// and the cursor may be used again.
func (s *Service) Deliver(ctx context.Context, t Trainer, pull Pull) (Delivery, error) {
	if pull.Stopping == nil {
		pull.Stopping = context.Background()
	}
	end := time.Now().Add(pull.Wait)
	trained := max(pull.Version, t.NewestVersion, 1)
	accepts := func(oldest int64) bool { return t.Accepts(oldest, trained) }
	view := batchView{service: s, pull: pull, accepts: accepts, prompts: map[int]prompt{}}
	for {
		err := view.update(ctx)
		if errors.Is(err, ErrUnavailable) && ctx.Err() == nil && pull.mayWait(end) {
			// The pull may be held open, so a failed read is repeated instead of returned.
			periodic.Pause(ctx, pollRetryDelay)
			continue
		}
		if err != nil {
			return Delivery{}, err
		}
		if err := s.startNextRound(ctx, t, &view, trained); err != nil {
			return Delivery{}, err
		}
		if len(view.plan.Ready) > 0 || view.plan.Open == 0 || !pull.mayWait(end) {
			return view.newDelivery(), nil
		}
		view.waitForResults(ctx, min(time.Until(end), maxPollInterval))
		if ctx.Err() != nil {
			return Delivery{}, errors.Wrap(ErrUnavailable, ctx.Err().Error())
		}
	}
}

// startNextRound submits a round for the samples that must be made again. It returns nil if the
// submission fails or another daemon was first: the next update shows whether the round exists.
func (s *Service) startNextRound(ctx context.Context, t Trainer, view *batchView, trained int64) error {
	samples := view.plan.Regenerate
	if len(samples) == 0 {
		return nil
	}
	round, header := len(view.rounds), view.pull.Cursor.Header
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
	job := rollout.FurtherRound(first, header, round, samples, t.oldestAccepted(trained))
	job.AcceptedAtMs = time.Now().UnixMilli()
	bounded, cancel := context.WithTimeout(ctx, regenerateTimeout)
	defer cancel()
	err = s.runner.Accept(bounded, job)
	s.logger.Info("samples requested again", zap.String("batch", job.ID), zap.Int("samples", len(samples)),
		zap.Int64("trained", trained), zap.Int64("min_version", job.MinVersion), zap.Error(err))
	return nil
}

// firstRoundItems returns the batch job of the first round, with only the items of the given
// samples filled in. The error wraps ErrUnavailable, or ErrUnknownBatch if the batch was ended.
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
