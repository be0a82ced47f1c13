package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/results"
	"woodworks/internal/daemon/periodic"
)

// sight is a batch as one pull has seen it. Positions of results never change, so that each
// look goes on where the one before ended.
type sight struct {
	desk    *Desk
	pull    Pull
	accepts func(oldest int64) bool
	rounds  []*round
	// last says that no round follows those seen, as of this look.
	last    bool
	prompts map[int]prompt
	plan    rollout.Planned
}

// prompt is what a sample repeats of its request.
type prompt struct {
	id   string
	seed uint64
}

// round is what was seen of one round.
type round struct {
	number int
	made   rollout.Round
	// next is the first position that is not seen, total how many there will be.
	next, total int
	// more says that results may be listed that are not seen, as of this look.
	more bool
}

// look brings the sight up to date until samples are ready, or all that is listed is seen. A
// further round is asked for only if samples of those before must be made again.
func (s *sight) look(ctx context.Context) error {
	s.last = false
	for {
		s.plan = rollout.Plan(s.pull.Cursor, s.made(), s.accepts, s.pull.Limit)
		behind := s.behind()
		var err error
		switch {
		case len(s.rounds) == 0 || len(s.plan.Again) > 0 && !s.last:
			err = s.further(ctx)
		case len(s.plan.Ready) == 0 && behind != nil:
			err = s.readOn(ctx, behind, 0)
		default:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// made returns the rounds as they are seen.
func (s *sight) made() []rollout.Round {
	made := make([]rollout.Round, len(s.rounds))
	for i, r := range s.rounds {
		made[i] = r.made
	}
	return made
}

// behind returns a round that more may be seen of, nil for none.
func (s *sight) behind() *round {
	for _, r := range s.rounds {
		if r.more {
			return r
		}
	}
	return nil
}

// further looks for the round after those seen.
func (s *sight) further(ctx context.Context) error {
	next := &round{number: len(s.rounds), made: rollout.Round{}}
	page, err := s.ask(ctx, next, 0)
	header := s.pull.Cursor.Header
	switch {
	case err != nil:
		return err
	case !page.Found && next.number > 0:
		s.last = true
		return nil
	case !page.Found:
		return ErrUnknownBatch
	}
	if digest, ok := rollout.DigestOf(page.Round.Path); next.number == 0 && (!ok || digest != header.Digest || page.Total != header.Samples) {
		return ErrUnknownBatch
	}
	for _, sample := range page.Round.Makes {
		next.made[sample] = nil
	}
	s.rounds = append(s.rounds, next)
	s.add(next, page)
	return nil
}

// readOn asks for what follows of a round, and has the question held for a time.
func (s *sight) readOn(ctx context.Context, of *round, wait time.Duration) error {
	page, err := s.ask(ctx, of, wait)
	if err != nil {
		return err
	}
	if !page.Found {
		return errors.Wrap(ErrUnavailable, "a round that was seen is not known")
	}
	s.add(of, page)
	return nil
}

func (s *sight) ask(ctx context.Context, of *round, wait time.Duration) (results.Page, error) {
	header := s.pull.Cursor.Header
	page, err := s.desk.reader.Samples(ctx, results.Query{
		BatchID: rollout.JobID(header.Trainer, header.Name, of.number), After: of.next, Wait: wait,
		Samples: &results.Samples{Taken: s.pull.Cursor.Bits(), Limit: s.pull.Limit, Further: of.number > 0},
	})
	if err != nil {
		return results.Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return page, nil
}

// add takes a page in.
func (s *sight) add(to *round, page results.Page) {
	for i := range page.Results {
		result := &page.Results[i]
		if sample, ours := rollout.SampleOf(result.ItemID); ours {
			to.made[sample] = &result.Result
			s.prompts[sample] = prompt{result.Group, result.Seed}
		}
	}
	to.next, to.total = page.Next, page.Total
	to.more = len(page.Results) > 0 && page.Next < page.Total
}

// wait returns when the newest round has changed, after a while, or when a stop begins. The
// next look finds out what could not be read.
func (s *sight) wait(ctx context.Context, length time.Duration) {
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.pull.Stopping:
			cancel()
		case <-held.Done():
		}
	}()
	for _, r := range s.rounds {
		r.more = r.next < r.total
	}
	newest := s.rounds[len(s.rounds)-1]
	if newest.next >= newest.total {
		periodic.Pause(held, min(length, lookPause))
		return
	}
	_ = s.readOn(held, newest, length)
}

// deliver returns the samples that are ready.
func (s *sight) deliver() Delivery {
	indices := make([]int, len(s.plan.Ready))
	for i := range s.plan.Ready {
		ready := &s.plan.Ready[i]
		ready.PromptID, ready.Seed = s.prompts[ready.Index].id, s.prompts[ready.Index].seed
		indices[i] = ready.Index
	}
	return Delivery{Samples: s.plan.Ready, Cursor: s.pull.Cursor.Take(indices...), Open: s.plan.Open}
}
