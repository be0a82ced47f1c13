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

// batchView is a batch as one pull has seen it. Positions of results never change, so that each
// look goes on where the one before ended.
type batchView struct {
	service *Service
	pull    Pull
	accepts func(oldest int64) bool
	rounds  []*round
	// noMoreRounds says that no round follows those seen, as of this look.
	noMoreRounds bool
	prompts      map[int]prompt
	plan         rollout.Planned
}

// prompt is what a sample repeats of its request.
type prompt struct {
	id   string
	seed uint64
}

// round is what was seen of one round.
type round struct {
	number  int
	results rollout.Round
	// next is the first position that is not seen, total how many there will be.
	next, total int
	// hasUnread says that results may be listed that are not seen, as of this look.
	hasUnread bool
}

// update brings the observation up to date until samples are ready, or all that is listed is seen. A
// further round is asked for only if samples of those before must be made again.
func (o *batchView) update(ctx context.Context) error {
	o.noMoreRounds = false
	for {
		o.plan = rollout.Plan(o.pull.Cursor, o.roundResults(), o.accepts, o.pull.Limit)
		unread := o.unreadRound()
		var err error
		switch {
		case len(o.rounds) == 0 || len(o.plan.Again) > 0 && !o.noMoreRounds:
			err = o.findNextRound(ctx)
		case len(o.plan.Ready) == 0 && unread != nil:
			err = o.readRound(ctx, unread, 0)
		default:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// roundResults returns the roundResults of the rounds seen.
func (o *batchView) roundResults() []rollout.Round {
	samples := make([]rollout.Round, len(o.rounds))
	for i, r := range o.rounds {
		samples[i] = r.results
	}
	return samples
}

// unreadRound returns a round that has results which are not seen, nil for none.
func (o *batchView) unreadRound() *round {
	for _, r := range o.rounds {
		if r.hasUnread {
			return r
		}
	}
	return nil
}

// findNextRound looks for the round after those seen.
func (o *batchView) findNextRound(ctx context.Context) error {
	next := &round{number: len(o.rounds), results: rollout.Round{}}
	page, err := o.fetchPage(ctx, next, 0)
	header := o.pull.Cursor.Header
	switch {
	case err != nil:
		return err
	case !page.Found && next.number > 0:
		o.noMoreRounds = true
		return nil
	case !page.Found:
		return ErrUnknownBatch
	}
	if digest, ok := rollout.DigestOf(page.Round.Path); next.number == 0 && (!ok || digest != header.Digest || page.Total != header.Samples) {
		return ErrUnknownBatch
	}
	for _, sample := range page.Round.Makes {
		next.results[sample] = nil
	}
	o.rounds = append(o.rounds, next)
	o.addPage(next, page)
	return nil
}

// readRound asks for what follows of a round. The question may be kept open for wait.
func (o *batchView) readRound(ctx context.Context, of *round, wait time.Duration) error {
	page, err := o.fetchPage(ctx, of, wait)
	if err != nil {
		return err
	}
	if !page.Found {
		return errors.Wrap(ErrUnavailable, "a round that was seen is not known")
	}
	o.addPage(of, page)
	return nil
}

// fetchPage asks for the samples of a round from the first position on that is not seen.
func (o *batchView) fetchPage(ctx context.Context, of *round, wait time.Duration) (results.Page, error) {
	header := o.pull.Cursor.Header
	page, err := o.service.reader.Samples(ctx, results.Query{
		BatchID: rollout.JobID(header.Trainer, header.Name, of.number), After: of.next, Wait: wait,
		Samples: &results.Samples{Taken: o.pull.Cursor.Bits(), Limit: o.pull.Limit, Further: of.number > 0},
	})
	if err != nil {
		return results.Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return page, nil
}

// addPage takes a page in.
func (o *batchView) addPage(to *round, page results.Page) {
	for i := range page.Results {
		result := &page.Results[i]
		if sample, ours := rollout.SampleOf(result.ItemID); ours {
			to.results[sample] = &result.Result
			o.prompts[sample] = prompt{result.Group, result.Seed}
		}
	}
	to.next, to.total = page.Next, page.Total
	to.hasUnread = len(page.Results) > 0 && page.Next < page.Total
}

// waitForResults returns when the newest round has changed, after a while, or when a stop begins. The
// next look finds out what could not be read.
func (o *batchView) waitForResults(ctx context.Context, length time.Duration) {
	polling, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(o.pull.Stopping, cancel)()
	for _, r := range o.rounds {
		r.hasUnread = r.next < r.total
	}
	newest := o.rounds[len(o.rounds)-1]
	if newest.next >= newest.total {
		periodic.Pause(polling, min(length, pollRetryDelay))
		return
	}
	if err := o.readRound(polling, newest, length); err != nil && polling.Err() == nil {
		header := o.pull.Cursor.Header
		o.service.logger.Debug("samples not awaited",
			zap.String("batch", rollout.JobID(header.Trainer, header.Name, newest.number)), zap.Error(err))
	}
}

// newDelivery returns the samples that are ready.
func (o *batchView) newDelivery() Delivery {
	indices := make([]int, len(o.plan.Ready))
	for i := range o.plan.Ready {
		ready := &o.plan.Ready[i]
		ready.PromptID, ready.Seed = o.prompts[ready.Index].id, o.prompts[ready.Index].seed
		indices[i] = ready.Index
	}
	return Delivery{Samples: o.plan.Ready, Cursor: o.pull.Cursor.Take(indices...), Open: o.plan.Open}
}
