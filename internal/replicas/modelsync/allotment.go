package modelsync

import (
	"math"
	"slices"
	"strings"
	"time"

	"woodworks/internal/replicas/replica"
)

// reallotThreshold is by how many replicas what a model is due must differ from what it has
// for the allotment to change: a replica that changes its model loads
// weights and loses what it has kept.
const reallotThreshold = 0.75

const (
	// headroomFactor is how many times the engines that run a whole batch at once are
	// kept at a model's versions: each costs orders and loads at every other one.
	headroomFactor = 4
	// minEnginesPerModel are kept for a model in any case, as some may fail.
	minEnginesPerModel = 3
)

// enginesNeeded returns how many engines a model needs for batches of so many items.
func enginesNeeded(items, slots int) int {
	if slots <= 0 {
		slots = replica.DefaultSlots
	}
	return max((headroomFactor*items+slots-1)/slots, minEnginesPerModel)
}

// limitToDemand limits each model's allotment to what its batches need.
func (s *Syncer) limitToDemand(allotment []int, models []string, slots int) []int {
	limited := make([]int, len(allotment))
	for i, model := range models {
		limited[i] = allotment[i]
		if d := s.Demands.Of(model); d.Items > 0 {
			limited[i] = min(allotment[i], enginesNeeded(d.Items, slots))
		}
	}
	return limited
}

// updateAllotment returns how many replicas of a service are for each of its models:
// parts by the work of their batches, kept while they are about right.
func (s *Syncer) updateAllotment(service string, models []string, replicas int) []int {
	work := make([]float64, len(models))
	for i, model := range models {
		work[i] = float64(s.Demands.Of(model).Work)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.allotments[service]
	if len(kept) == len(models) && total(kept) == replicas && isNearIdeal(kept, work) {
		return kept
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

// isNearIdeal reports whether each model's part is within reallotThreshold of what work asks for.
func isNearIdeal(allotment []int, work []float64) bool {
	for i, ideal := range computeIdeals(work, total(allotment)) {
		if math.Abs(ideal-float64(allotment[i])) > reallotThreshold && (allotment[i] > 1 || ideal > 1) {
			return false
		}
	}
	return true
}

// computeIdeals are the parts of the replicas that the work asks for, which need not be
// whole. Work that is not known counts as the mean of that which is.
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
	parts := make([]float64, len(work))
	all := 0.0
	for i, w := range work {
		parts[i] = w
		if w <= 0 {
			parts[i] = mean
		}
		all += parts[i]
	}
	for i := range parts {
		parts[i] *= float64(replicas) / all
	}
	return parts
}

// computeAllotment deals whole replicas out: one to each model where there are enough, the
// rest one by one to the model that has the least for its work.
func computeAllotment(work []float64, replicas int) []int {
	allotment := make([]int, len(work))
	wanted := computeIdeals(work, replicas)
	left := replicas
	for i := range allotment {
		if left > 0 {
			allotment[i] = 1
			left--
		}
	}
	for ; left > 0; left-- {
		neediest := 0
		for i := range allotment {
			if wanted[i]/float64(allotment[i]) > wanted[neediest]/float64(allotment[neediest]) {
				neediest = i
			}
		}
		allotment[neediest]++
	}
	return allotment
}

// assignReplicas returns the replicas of a service that are for each of its models. A
// replica keeps its model while the allotment leaves room, also when others come and
// go: a change of model costs a load and what it has kept.
func (s *Syncer) assignReplicas(service string, models []string, replicas []replica.Replica) [][]replica.Replica {
	allotment := s.updateAllotment(service, models, len(replicas))
	if len(replicas) > 0 {
		allotment = s.limitToDemand(allotment, models, replicas[0].Slots)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	deals := assignBySpeed(replicas, models, allotment, s.assignedModels(replicas),
		func(id string) time.Duration { return s.stateOf(id).bestEventTime.Value() })
	for i, model := range models {
		for _, rep := range deals[i] {
			if len(replicas) >= len(models) {
				s.stateOf(rep.ID).assignedModel = model
			}
		}
	}
	return deals
}

// assignedModels returns the models that replicas were dealt to. The mutex is held.
func (s *Syncer) assignedModels(replicas []replica.Replica) map[string]string {
	models := make(map[string]string, len(replicas))
	for _, rep := range replicas {
		if n := s.engines[rep.ID]; n != nil && n.assignedModel != "" {
			models[rep.ID] = n.assignedModel
		}
	}
	return models
}

// assignByID gives each replica to a model: first to the one it had, then to the one
// whose newest version it holds, as a holder of the lease before may have dealt
// it so. Replicas beyond the allotment are for none. Where there are fewer replicas than models,
// a replica is there for several.
func assignByID(replicas []replica.Replica, models []string, allotment []int, before map[string]string) [][]replica.Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b replica.Replica) int { return strings.Compare(a.ID, b.ID) })
	if len(sorted) >= len(models) {
		return assignWithinAllotment(sorted, models, allotment, before)
	}
	deals := make([][]replica.Replica, len(models))
	for i := range models {
		if len(sorted) > 0 {
			deals[i] = sorted[i%len(sorted) : i%len(sorted)+1]
		}
	}
	return deals
}

// assignWithinAllotment gives each replica to one model at most, in the order in which they come.
func assignWithinAllotment(sorted []replica.Replica, models []string, allotment []int,
	before map[string]string) [][]replica.Replica {
	deals := make([][]replica.Replica, len(models))
	var left []replica.Replica
	for _, rep := range sorted {
		kept := slices.Index(models, before[rep.ID])
		if kept >= 0 && len(deals[kept]) < allotment[kept] {
			deals[kept] = append(deals[kept], rep)
		} else {
			left = append(left, rep)
		}
	}
	for _, rep := range left {
		chosen := -1
		for i, model := range models {
			if len(deals[i]) < allotment[i] && (chosen < 0 || rep.Versions[model] > rep.Versions[models[chosen]]) {
				chosen = i
			}
		}
		if chosen >= 0 {
			deals[chosen] = append(deals[chosen], rep)
		}
	}
	return deals
}
