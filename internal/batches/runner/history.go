package runner

import (
	"slices"
	"sync"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/scheduling"
)

// rememberedBatches is how many batches of a model are remembered: trainers have
// a few open at a time, and what was not whole comes again in one of the next.
const rememberedBatches = 4

// history is what this daemon remembers of the batches of each model that it ran.
// It is safe for concurrent use.
type history struct {
	mu     sync.Mutex
	models map[string]*modelHistory
}

// modelHistory is the history of one model.
type modelHistory struct {
	lengths *scheduling.LengthEstimator
	// batches are the groups of the last batches, the newest last.
	batches []rememberedBatch
}

type rememberedBatch struct {
	id     string
	groups map[string]bool
}

func newHistory() *history { return &history{models: map[string]*modelHistory{}} }

// of returns a model's history. The mutex is held.
func (h *history) of(model string) *modelHistory {
	m := h.models[model]
	if m == nil {
		m = &modelHistory{lengths: scheduling.NewLengthEstimator()}
		h.models[model] = m
	}
	return m
}

// begin remembers a batch and returns those of its groups that were in an earlier
// one: a trainer that sends a group again waits for it to be whole.
func (h *history) begin(submission *batch.Submission) (again map[string]bool, lengths *scheduling.LengthEstimator) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.of(submission.Model)
	b := rememberedBatch{id: submission.ID, groups: map[string]bool{}}
	for i := range submission.Items {
		if group := submission.Items[i].Group; group != "" {
			b.groups[group] = true
		}
	}
	again = m.repeated(b)
	m.remember(b)
	return again, m.lengths
}

// repeated returns the groups of a batch that others had before.
func (m *modelHistory) repeated(b rememberedBatch) map[string]bool {
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
	if len(m.batches) > rememberedBatches {
		m.batches = m.batches[1:]
	}
}
