package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/results"
	"woodworks/internal/daemon/periodic"
)

// batchView is the part of a batch that one pull has read. The positions of results never change,
// so each update continues where the one before ended.
type batchView struct {
	service *Service
	pull    Pull
	accepts func(oldest int64) bool
	rounds  []*round
	// noMoreRounds reports whether the last update found no round after those in rounds.
	noMoreRounds bool
	prompts      map[int]prompt
	plan         rollout.DeliveryPlan
}

// prompt holds the fields of a request that are repeated in each of its samples.
type prompt struct {
	id   string
	seed uint64
}

// round is the part of one round that was read.
type round struct {
	number  int
	results rollout.RoundResults
	// next is the position of the first result that was not read, total the number of results that
	// the round will have.
	next, total int
	// hasUnread reports whether results that were not read may be listed already.
	hasUnread bool
}

// update reads until samples are ready or all listed results were read. It looks for a further
// round only if samples of the known rounds must be made again. The error wraps ErrUnavailable or
// ErrUnknownBatch.
func (v *batchView) update(ctx context.Context) error {
	v.noMoreRounds = false
	for {
		v.plan = rollout.Plan(v.pull.Cursor, v.roundResults(), v.accepts, v.pull.Limit)
		unread := v.unreadRound()
		var err error
		switch {
		case len(v.rounds) == 0 || len(v.plan.Regenerate) > 0 && !v.noMoreRounds:
			err = v.findNextRound(ctx)
		case len(v.plan.Ready) == 0 && unread != nil:
			err = v.readRound(ctx, unread, 0)
		default:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// roundResults returns the results of each round that was read, in the order of the rounds.
func (v *batchView) roundResults() []rollout.RoundResults {
	samples := make([]rollout.RoundResults, len(v.rounds))
	for i, r := range v.rounds {
		samples[i] = r.results
	}
	return samples
}

// unreadRound returns the first round with unread results, or nil.
func (v *batchView) unreadRound() *round {
	for _, r := range v.rounds {
		if r.hasUnread {
			return r
		}
	}
	return nil
}

// findNextRound reads the first page of the round after the known ones, and sets noMoreRounds if
// there is none. It returns ErrUnknownBatch if the first round does not exist or does not match the
// cursor's header.
func (v *batchView) findNextRound(ctx context.Context) error {
	next := &round{number: len(v.rounds), results: rollout.RoundResults{}}
	page, err := v.fetchPage(ctx, next, 0)
	header := v.pull.Cursor.Header
	switch {
	case err != nil:
		return err
	case !page.Found && next.number > 0:
		v.noMoreRounds = true
		return nil
	case !page.Found:
		return ErrUnknownBatch
	}
	if digest, ok := rollout.ParseDigest(page.Round.Path); next.number == 0 && (!ok || digest != header.Digest || page.Total != header.Samples) {
		return ErrUnknownBatch
	}
	for _, sample := range page.Round.Makes {
		next.results[sample] = nil
	}
	v.rounds = append(v.rounds, next)
	v.addPage(next, page)
	return nil
}

// readRound reads the next page of a round. The reader may hold the query open for wait until there
// is a result.
func (v *batchView) readRound(ctx context.Context, r *round, wait time.Duration) error {
	page, err := v.fetchPage(ctx, r, wait)
	if err != nil {
		return err
	}
	if !page.Found {
		return errors.Wrap(ErrUnavailable, "a round that was seen is not known")
	}
	v.addPage(r, page)
	return nil
}

// fetchPage queries the samples of a round that the trainer has not taken, from the first unread
// position on.
func (v *batchView) fetchPage(ctx context.Context, r *round, wait time.Duration) (results.Page, error) {
	header := v.pull.Cursor.Header
	page, err := v.service.reader.Samples(ctx, results.Query{
		BatchID: rollout.JobID(header.Trainer, header.Name, r.number), After: r.next, Wait: wait,
		Samples: &results.Samples{Taken: v.pull.Cursor.TakenBits(), Limit: v.pull.Limit, Further: r.number > 0},
	})
	if err != nil {
		return results.Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return page, nil
}

// addPage adds the results of a page to a round.
func (v *batchView) addPage(r *round, page results.Page) {
	for i := range page.Results {
		result := &page.Results[i]
		if sample, ours := rollout.SampleIndex(result.ItemID); ours {
			r.results[sample] = &result.Result
			v.prompts[sample] = prompt{result.Group, result.Seed}
		}
	}
	r.next, r.total = page.Next, page.Total
	r.hasUnread = len(page.Results) > 0 && page.Next < page.Total
}

// waitForResults returns when the newest round has a new result, after at most the given time, or
// when a planned stop begins. A failed read is only logged, since the next update repeats it.
func (v *batchView) waitForResults(ctx context.Context, maxWait time.Duration) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(v.pull.Stopping, cancel)()
	for _, r := range v.rounds {
		r.hasUnread = r.next < r.total
	}
	newest := v.rounds[len(v.rounds)-1]
	if newest.next >= newest.total {
		periodic.Pause(waiting, min(maxWait, pollRetryDelay))
		return
	}
	if err := v.readRound(waiting, newest, maxWait); err != nil && waiting.Err() == nil {
		header := v.pull.Cursor.Header
		v.service.logger.Debug("failed to wait for samples",
			zap.String("batch", rollout.JobID(header.Trainer, header.Name, newest.number)), zap.Error(err))
	}
}

// newDelivery returns the samples that are ready, with the cursor after them.
func (v *batchView) newDelivery() Delivery {
	indices := make([]int, len(v.plan.Ready))
	for i := range v.plan.Ready {
		ready := &v.plan.Ready[i]
		ready.PromptID, ready.Seed = v.prompts[ready.Index].id, v.prompts[ready.Index].seed
		indices[i] = ready.Index
	}
	return Delivery{Samples: v.plan.Ready, Cursor: v.pull.Cursor.Take(indices...), Open: v.plan.Open}
}
