package runner

import (
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
)

func batchOfGroups(id, model string, groups ...string) *batch.Submission {
	sub := &batch.Submission{ID: id, Model: model}
	for _, group := range groups {
		sub.Items = append(sub.Items, batch.Item{ID: id + group, Group: group})
	}
	return sub
}

func TestRepeatedGroupsAreDetected(t *testing.T) {
	is := is.New(t)
	remembered := newHistory()
	begin := func(submission *batch.Submission) map[string]bool {
		again, lengths := remembered.recordBatch(submission)
		is.True(lengths != nil)
		return again
	}
	is.Equal(begin(batchOfGroups("1", "m", "a", "b", "")), map[string]bool{})
	// The same batch, had again after a takeover, is no repeat of itself.
	is.Equal(begin(batchOfGroups("1", "m", "a", "b", "")), map[string]bool{})
	is.Equal(begin(batchOfGroups("2", "m", "c", "")), map[string]bool{})
	is.Equal(begin(batchOfGroups("3", "m", "b", "d", "")), map[string]bool{"b": true})
	is.Equal(begin(batchOfGroups("3", "other", "b")), map[string]bool{})
	// Batches of long ago are forgotten.
	for _, id := range []string{"4", "5", "6", "7"} {
		begin(batchOfGroups(id, "m", id))
	}
	is.Equal(begin(batchOfGroups("8", "m", "a", "4", "7")), map[string]bool{"4": true, "7": true})
	is.Equal(len(remembered.models["m"].batches), maxRememberedBatches)
}
