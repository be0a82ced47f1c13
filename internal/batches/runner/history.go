package runner

import (
	"slices"
	"sync"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/scheduling"
)

// maxRememberedBatches is the number of batches remembered per model. A trainer keeps a few
// batches open at a time and repeats an incomplete group in one of the batches that follow.
const maxRememberedBatches = 4

// history holds the groups and text lengths of the recent batches of each model. It is safe for
// concurrent use.
type history struct {
	mu     sync.Mutex
	models map[string]*modelHistory
}

// modelHistory is the history of one model.
type modelHistory struct {
	lengths *scheduling.LengthEstimator
	// batches holds the most recent batches, newest last.
	batches []rememberedBatch
}

// rememberedBatch is a recorded batch with its groups.
type rememberedBatch struct {
	id     string
	groups map[string]bool
}

func newHistory() *history { return &history{models: map[string]*modelHistory{}} }

// model returns the history of a model and creates it if needed. The mutex is held.
func (h *history) model(model string) *modelHistory {
	m := h.models[model]
	if m == nil {
		m = &modelHistory{lengths: scheduling.NewLengthEstimator()}
		h.models[model] = m
	}
	return m
}

// recordBatch records a batch. It returns the groups that an earlier batch contained too, since a
// trainer that sends a group again waits for it to be complete, and the model's text lengths.
func (h *history) recordBatch(submission *batch.Submission) (repeated map[string]bool, lengths *scheduling.LengthEstimator) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.model(submission.Model)
	b := rememberedBatch{id: submission.ID, groups: map[string]bool{}}
	for i := range submission.Items {
		if group := submission.Items[i].Group; group != "" {
			b.groups[group] = true
		}
	}
	repeated = m.repeatedGroups(b)
	m.remember(b)
	return repeated, m.lengths
}

// repeatedGroups returns the groups of a batch that another recorded batch contains too.
func (m *modelHistory) repeatedGroups(b rememberedBatch) map[string]bool {
	repeated := map[string]bool{}
	for _, before := range m.batches {
		if before.id == b.id {
			continue
		}
		for group := range b.groups {
			if before.groups[group] {
				repeated[group] = true
			}
		}
	}
	return repeated
}

func (m *modelHistory) remember(b rememberedBatch) {
	if slices.ContainsFunc(m.batches, func(before rememberedBatch) bool { return before.id == b.id }) {
		return
	}
	m.batches = append(m.batches, b)
	if len(m.batches) > maxRememberedBatches {
		m.batches = m.batches[1:]
	}
}
