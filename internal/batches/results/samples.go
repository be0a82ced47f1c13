package results

import (
	"cmp"
	"context"
	"time"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

const (
	methodSamples = ServiceName + ".Samples"
	methodItems   = ServiceName + ".Items"
)

// Samples narrows a query to the samples of a round that a trainer has not taken. Without it,
// nil, a query is for all results of any batch.
type Samples struct {
	// Taken has a bit for each sample that the trainer has, as in its cursor.
	Taken []byte
	// Limit is how many results are wanted at most, 0 for any number.
	Limit int
	// Further says that the round follows one that is known. It is younger than what was
	// removed of the journal, so that it does not exist where the fold does not know it.
	Further bool
}

// Round is what a query for samples is told of their round.
type Round struct {
	// Path is that of the round's job, which names the request.
	Path string
	// Makes are the samples of a further round; the first makes all.
	Makes []int
}

// further reports whether the query is for a further round.
func (s *Samples) further() bool { return s != nil && s.Further }

// full reports whether a page with so many results is whole.
func (s *Samples) full(results int) bool { return s != nil && s.Limit > 0 && results >= s.Limit }

// want reports whether the result of an item is wanted.
func (s *Samples) want(itemID string) bool {
	if s == nil {
		return true
	}
	sample, ours := rollout.SampleOf(itemID)
	return ours && sample >= 0 && (sample/8 >= len(s.Taken) || s.Taken[sample/8]&(1<<(sample%8)) == 0)
}

// round returns what is told of a round.
func (s *Samples) round(job *batch.Batch) Round {
	if s == nil {
		return Round{}
	}
	round := Round{Path: job.Path}
	if !s.Further {
		return round
	}
	for i := range job.Items {
		if sample, ours := rollout.SampleOf(job.Items[i].ID); ours {
			round.Makes = append(round.Makes, sample)
		}
	}
	return round
}

// result returns what is told of a result.
func (s *Samples) result(item *batch.Item, result batch.Result) Result {
	res := Result{ItemID: item.ID, Result: result}
	if s != nil {
		res.Group, res.body = item.Group, item.Body
	}
	return res
}

// readSeeds reads the results' seeds off the bodies of their items.
func (page *Page) readSeeds() {
	for i := range page.Results {
		if page.Results[i].body != nil {
			page.Results[i].Seed = rollout.SeedOf(page.Results[i].body)
		}
	}
}

// Samples returns a page of samples of a round, as Results does of a batch, for a query with
// Samples. The error wraps ErrBehind.
func (r *Reader) Samples(ctx context.Context, query Query) (Page, error) {
	return r.page(ctx, methodSamples, query)
}

// ItemsQuery asks for items of a batch by their places in its submission.
type ItemsQuery struct {
	BatchID string
	Places  []int
	// most bounds the bodies that are told, in bytes; 0 is pageBytes.
	most int
}

func (q ItemsQuery) polling(time.Duration) any { return q }

// Items are the first of the items asked for, at least one of a batch that is open.
type Items struct {
	Found bool
	// Ended says that the batch was ended, and that its items are not told any more.
	Ended bool
	Items []batch.Item
}

// Items returns items of a batch as of now. The error wraps ErrBehind.
func (r *Reader) Items(ctx context.Context, query ItemsQuery) (Items, error) {
	return read(ctx, r, query.BatchID, methodItems, query, 0, local[Items]{
		answer: func(ctx context.Context, _ time.Duration) (Items, error) { return r.itemsHere(ctx, query) },
		ready:  func() bool { return false },
	})
}

// itemsHere answers from the fold of this daemon, after a read of the journal that is begun
// after the question came.
func (r *Reader) itemsHere(ctx context.Context, query ItemsQuery) (Items, error) {
	partition := r.ledger.Of(query.BatchID)
	if err := catchUp(ctx, partition); err != nil {
		return Items{}, err
	}
	if err := mayDeny(partition, query.BatchID); err != nil {
		return Items{}, err
	}
	return itemsOf(partition, query), nil
}

// itemsOf returns the items that the fold holds.
func itemsOf(partition *ledger.Partition, query ItemsQuery) (items Items) {
	partition.View(func(state *batch.State) {
		b, ok := state.Get(query.BatchID)
		if !ok {
			return
		}
		items.Found, items.Ended = true, b.Ended
		size := 0
		for _, place := range query.Places {
			if b.Ended || place < 0 || place >= len(b.Items) {
				return
			}
			size += len(b.Items[place].Body)
			if len(items.Items) > 0 && size > cmp.Or(query.most, pageBytes) {
				return
			}
			items.Items = append(items.Items, b.Items[place])
		}
	})
	return items
}

// Samples answers a query for samples. It is exported for net/rpc.
func (s *Service) Samples(query Query, page *Page) error { return s.Results(query, page) }

// Items answers with items. It is exported for net/rpc.
func (s *Service) Items(query ItemsQuery, items *Items) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, catchUpTimeout)
	defer cancel()
	query.most = peerPageBytes
	*items, err = s.reader.itemsHere(ctx, query)
	return err
}
