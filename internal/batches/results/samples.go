package results

import (
	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
)

// Samples narrows a query to the samples of a round that a trainer lacks. It is sent over net/rpc,
// by the names of its fields, which must not change.
type Samples struct {
	// Taken is a bit set of the samples that the trainer has, as in its cursor: sample i is bit i%8
	// of byte i/8.
	Taken []byte
	// Limit is the maximum number of results; 0 means no limit.
	Limit int
	// Further says that the round follows one that is known to exist. The records of such a round
	// are younger than any that the journal has removed, so a round that the fold does not hold
	// after a read does not exist.
	Further bool
}

// Round describes the round of a query for samples. It is sent over net/rpc, by the names of its
// fields, which must not change.
type Round struct {
	// Path is that of the round's batch job; it contains the digest of the request.
	Path string
	// Makes are the indexes of the samples that a further round makes again. It is empty for the
	// first round, which makes all.
	Makes []int
}

// isFurther reports whether the query is for a further round. It may be called on nil.
func (s *Samples) isFurther() bool { return s != nil && s.Further }

// isFull reports whether a page with this number of results has reached the limit. It may be called
// on nil.
func (s *Samples) isFull(results int) bool { return s != nil && s.Limit > 0 && results >= s.Limit }

// wants reports whether the trainer lacks the sample of an item. It may be called on nil, for
// which it is true for every item.
func (s *Samples) wants(itemID string) bool {
	if s == nil {
		return true
	}
	sample, ok := rollout.SampleIndex(itemID)
	return ok && sample >= 0 && (sample/8 >= len(s.Taken) || s.Taken[sample/8]&(1<<(sample%8)) == 0)
}

// round returns the description of the round whose batch job is given. It may be called on nil,
// for which it returns the zero value.
func (s *Samples) round(job *batch.Batch) Round {
	if s == nil {
		return Round{}
	}
	round := Round{Path: job.Path}
	if !s.Further {
		return round
	}
	for i := range job.Items {
		if sample, ok := rollout.SampleIndex(job.Items[i].ID); ok {
			round.Makes = append(round.Makes, sample)
		}
	}
	return round
}

// resultOf returns the result of an item in the form of a page. It may be called on nil, for which
// it leaves out the group and the body, which only queries for samples need.
func (s *Samples) resultOf(item *batch.Item, result batch.Result) Result {
	res := Result{ItemID: item.ID, Result: result}
	if s != nil {
		res.Group, res.body = item.Group, item.Body
	}
	return res
}

// readSeeds sets the results' seeds from the bodies of their items. It parses JSON, so it runs
// after the fold's lock is released.
func (page *Page) readSeeds() {
	for i := range page.Results {
		if page.Results[i].body != nil {
			page.Results[i].Seed = rollout.ParseSeed(page.Results[i].body)
		}
	}
}
