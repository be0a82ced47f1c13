package modelsync

import (
	"math"
	"slices"
	"strings"
	"time"

	"woodworks/internal/replicas/replica"
)

// reallotThreshold is the difference, in replicas, between a model's ideal share and its allotment
// above which the allotment is computed again. It is not lower because a replica that changes its
// model must load weights and loses its caches.
const reallotThreshold = 0.75

const (
	// headroomFactor is the ratio of the engines kept at a model's newest versions to the engines
	// that one batch fills. A higher ratio would cost orders and loads for engines that are not
	// used.
	headroomFactor = 4
	// minEnginesPerModel is the minimum number of engines kept for a model, so that the failure of
	// a single engine does not stop the model's batches.
	minEnginesPerModel = 3
)

// enginesNeeded returns how many engines, of the given number of slots each, a model needs for
// batches of the given number of items.
func enginesNeeded(items, slots int) int {
	if slots <= 0 {
		slots = replica.DefaultSlots
	}
	return max((headroomFactor*items+slots-1)/slots, minEnginesPerModel)
}

// limitToDemand returns the allotment with each model limited to the engines that its batches
// need. A model without known demand keeps its allotment.
func (s *Syncer) limitToDemand(allotment []int, models []string, slots int) []int {
	limited := make([]int, len(allotment))
	for i, model := range models {
		limited[i] = allotment[i]
		if d := s.Demands.Newest(model); d.Items > 0 {
			limited[i] = min(allotment[i], enginesNeeded(d.Items, slots))
		}
	}
	return limited
}

// updateAllotment returns the allotment of a service: the number of its replicas for each of its
// models, in proportion to the tokens of their batches. The stored allotment is reused while it is
// close to the ideal shares.
func (s *Syncer) updateAllotment(service string, models []string, replicas int) []int {
	work := make([]float64, len(models))
	for i, model := range models {
		work[i] = float64(s.Demands.Newest(model).Tokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.allotments[service]
	if len(stored) == len(models) && total(stored) == replicas && isNearIdeal(stored, work) {
		return stored
	}
	s.allotments[service] = computeAllotment(work, replicas)
	return s.allotments[service]
}

func total(allotment []int) int {
	sum := 0
	for _, share := range allotment {
		sum += share
	}
	return sum
}

// isNearIdeal reports whether each model's allotment is within reallotThreshold of its ideal
// share. For a model whose allotment and ideal share are both at most one, any difference is
// accepted.
func isNearIdeal(allotment []int, work []float64) bool {
	for i, ideal := range computeIdeals(work, total(allotment)) {
		if math.Abs(ideal-float64(allotment[i])) > reallotThreshold && (allotment[i] > 1 || ideal > 1) {
			return false
		}
	}
	return true
}

// computeIdeals returns the ideal share of each model: the fractional number of replicas in
// proportion to the model's work. Unknown work, given as 0, counts as the mean of the known work.
func computeIdeals(work []float64, replicas int) []float64 {
	sum, known := 0.0, 0
	for _, w := range work {
		if w > 0 {
			sum += w
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	shares := make([]float64, len(work))
	sumOfShares := 0.0
	for i, w := range work {
		shares[i] = w
		if w <= 0 {
			shares[i] = mean
		}
		sumOfShares += shares[i]
	}
	for i := range shares {
		shares[i] *= float64(replicas) / sumOfShares
	}
	return shares
}

// computeAllotment distributes whole replicas: one to each model where there are enough, then one
// at a time to the model with the highest ratio of ideal share to allotment.
func computeAllotment(work []float64, replicas int) []int {
	allotment := make([]int, len(work))
	ideals := computeIdeals(work, replicas)
	remaining := replicas
	for i := range allotment {
		if remaining > 0 {
			allotment[i] = 1
			remaining--
		}
	}
	for ; remaining > 0; remaining-- {
		neediest := 0
		for i := range allotment {
			if ideals[i]/float64(allotment[i]) > ideals[neediest]/float64(allotment[neediest]) {
				neediest = i
			}
		}
		allotment[neediest]++
	}
	return allotment
}

// assignReplicas returns the replicas of a service that are assigned to each of its models, in the
// order of models. A replica keeps its model while the allotment allows, also when other replicas
// come and go, because a replica that changes its model must load weights and loses its caches.
func (s *Syncer) assignReplicas(service string, models []string, replicas []replica.Replica) [][]replica.Replica {
	allotment := s.updateAllotment(service, models, len(replicas))
	if len(replicas) > 0 {
		allotment = s.limitToDemand(allotment, models, replicas[0].Slots)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assignments := assignBySpeed(replicas, models, allotment, s.assignedModels(replicas),
		func(id string) time.Duration { return s.stateOf(id).bestEventTime.Value() })
	for i, model := range models {
		for _, rep := range assignments[i] {
			if len(replicas) >= len(models) {
				s.stateOf(rep.ID).assignedModel = model
			}
		}
	}
	return assignments
}

// assignedModels returns the model to which each replica is assigned, by the replica's id. The
// mutex must be held.
func (s *Syncer) assignedModels(replicas []replica.Replica) map[string]string {
	models := make(map[string]string, len(replicas))
	for _, rep := range replicas {
		if state := s.engines[rep.ID]; state != nil && state.assignedModel != "" {
			models[rep.ID] = state.assignedModel
		}
	}
	return models
}

// assignByID assigns each replica to a model: to its previous model, or else to the model of which
// it holds the highest version, as an earlier holder of the lease may have made that assignment.
// Replicas beyond the allotment are not assigned. If there are fewer replicas than models, a
// replica serves several models.
func assignByID(replicas []replica.Replica, models []string, allotment []int, previous map[string]string) [][]replica.Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b replica.Replica) int { return strings.Compare(a.ID, b.ID) })
	if len(sorted) >= len(models) {
		return assignWithinAllotment(sorted, models, allotment, previous)
	}
	assignments := make([][]replica.Replica, len(models))
	for i := range models {
		if len(sorted) > 0 {
			assignments[i] = sorted[i%len(sorted) : i%len(sorted)+1]
		}
	}
	return assignments
}

// assignWithinAllotment assigns each replica to at most one model, in the order of sorted, and to
// each model at most as many replicas as its allotment.
func assignWithinAllotment(sorted []replica.Replica, models []string, allotment []int,
	previous map[string]string) [][]replica.Replica {
	assignments := make([][]replica.Replica, len(models))
	var unassigned []replica.Replica
	for _, rep := range sorted {
		previousIndex := slices.Index(models, previous[rep.ID])
		if previousIndex >= 0 && len(assignments[previousIndex]) < allotment[previousIndex] {
			assignments[previousIndex] = append(assignments[previousIndex], rep)
		} else {
			unassigned = append(unassigned, rep)
		}
	}
	for _, rep := range unassigned {
		best := -1
		for i, model := range models {
			if len(assignments[i]) < allotment[i] && (best < 0 || rep.Versions[model] > rep.Versions[models[best]]) {
				best = i
			}
		}
		if best >= 0 {
			assignments[best] = append(assignments[best], rep)
		}
	}
	return assignments
}
