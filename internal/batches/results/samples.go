package results

import (
	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
)

// Samples narrows a query to the samples of a round that a trainer has not taken. Without it,
// nil, a query is for all results of any batch. It goes over net/rpc by field names, which stay.
type Samples struct {
	// Taken has a bit for each sample that the trainer has, as in its cursor.
	Taken []byte
	// Limit is how many results are wanted at most, 0 for any number.
	Limit int
	// Further says that the round follows one that is known. It is younger than what was
	// removed of the journal, so that it does not exist where the fold does not know it.
	Further bool
}

// Round is what a query for samples learns of their round. It goes over net/rpc by field names,
// which stay.
type Round struct {
	// Path is that of the round's job, which names the request.
	Path string
	// Makes are the samples of a further round; the first makes all.
	Makes []int
}

func (s *Samples) further() bool { return s != nil && s.Further }

// full reports whether a page with so many results has as many as are wanted.
func (s *Samples) full(results int) bool { return s != nil && s.Limit > 0 && results >= s.Limit }

func (s *Samples) want(itemID string) bool {
	if s == nil {
		return true
	}
	sample, ours := rollout.SampleIndex(itemID)
	return ours && sample >= 0 && (sample/8 >= len(s.Taken) || s.Taken[sample/8]&(1<<(sample%8)) == 0)
}

// round returns what a query learns of a round.
func (s *Samples) round(job *batch.Batch) Round {
	if s == nil {
		return Round{}
	}
	round := Round{Path: job.Path}
	if !s.Further {
		return round
	}
	for i := range job.Items {
		if sample, ours := rollout.SampleIndex(job.Items[i].ID); ours {
			round.Makes = append(round.Makes, sample)
		}
	}
	return round
}

// result returns what a query learns of a result.
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
			page.Results[i].Seed = rollout.ParseSeed(page.Results[i].body)
		}
	}
}
