package runner

import (
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
)

// batchOfGroups returns a batch with one item per group.
func batchOfGroups(id, model string, groups ...string) *batch.Submission {
	sub := &batch.Submission{ID: id, Model: model}
	for _, group := range groups {
		sub.Items = append(sub.Items, batch.Item{ID: id + group, Group: group})
	}
	return sub
}

// A group that an earlier batch of the model contained is reported as repeated.
func TestRepeatedGroupsAreDetected(t *testing.T) {
	is := is.New(t)
	remembered := newHistory()
	begin := func(submission *batch.Submission) map[string]bool {
		repeated, lengths := remembered.recordBatch(submission)
		is.True(lengths != nil)
		return repeated
	}
	is.Equal(begin(batchOfGroups("1", "m", "a", "b", "")), map[string]bool{})
	// The same batch, adopted again after a takeover, does not repeat itself.
	is.Equal(begin(batchOfGroups("1", "m", "a", "b", "")), map[string]bool{})
	is.Equal(begin(batchOfGroups("2", "m", "c", "")), map[string]bool{})
	is.Equal(begin(batchOfGroups("3", "m", "b", "d", "")), map[string]bool{"b": true})
	is.Equal(begin(batchOfGroups("3", "other", "b")), map[string]bool{})
	// Older batches are forgotten.
	for _, id := range []string{"4", "5", "6", "7"} {
		begin(batchOfGroups(id, "m", id))
	}
	is.Equal(begin(batchOfGroups("8", "m", "a", "4", "7")), map[string]bool{"4": true, "7": true})
	is.Equal(len(remembered.models["m"].batches), maxRememberedBatches)
}
