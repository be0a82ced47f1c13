package modelsync

import (
	"math"
	"slices"
	"strings"
	"time"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// changeFrom is by how many replicas a model's due share must differ from what
// it has for the shares to change: a replica that changes its model loads
// weights and loses what it has kept.
const changeFrom = 0.75

const (
	// headroom is how many times the engines that run a whole batch at once are
	// kept at a model's versions: each costs orders and loads at every other one.
	headroom = 4
	// leastEngines are kept for a model in any case, as some may fail.
	leastEngines = 3
	defaultSlots = 8
)

// enough returns how many engines a model needs for batches of so many items.
func enough(items, slots int) int {
	if slots <= 0 {
		slots = defaultSlots
	}
	return max((headroom*items+slots-1)/slots, leastEngines)
}

// capped limits each model's share to what its batches need.
func (syncer *Syncer) capped(shares []int, models []route.Model, slots int) []int {
	limited := make([]int, len(shares))
	for i, model := range models {
		limited[i] = shares[i]
		if known, found := syncer.demands.Of(model.Name); found && known.Items > 0 {
			limited[i] = min(shares[i], enough(known.Items, slots))
		}
	}
	return limited
}

// sharesOf returns how many replicas of a service are for each of its models:
// parts by the work of their batches, kept while they are about right.
func (syncer *Syncer) sharesOf(service string, models []route.Model, replicas int) []int {
	work := make([]float64, len(models))
	for i, model := range models {
		if known, found := syncer.demands.Of(model.Name); found {
			work[i] = float64(known.Work)
		}
	}
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	kept := syncer.shares[service]
	if len(kept) == len(models) && total(kept) == replicas && near(kept, work) {
		return kept
	}
	syncer.shares[service] = allot(work, replicas)
	return syncer.shares[service]
}

func total(shares []int) int {
	sum := 0
	for _, share := range shares {
		sum += share
	}
	return sum
}

// near reports whether each share is within changeFrom of what work asks for.
func near(shares []int, work []float64) bool {
	for i, ideal := range ideals(work, total(shares)) {
		if math.Abs(ideal-float64(shares[i])) > changeFrom && (shares[i] > 1 || ideal > 1) {
			return false
		}
	}
	return true
}

// ideals are the parts of the replicas that the work asks for, which need not be
// whole. Work that is not known counts as the mean of that which is.
func ideals(work []float64, replicas int) []float64 {
	sum, known := 0.0, 0
	for _, each := range work {
		if each > 0 {
			sum += each
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	parts := make([]float64, len(work))
	all := 0.0
	for i, each := range work {
		parts[i] = each
		if each <= 0 {
			parts[i] = mean
		}
		all += parts[i]
	}
	for i := range parts {
		parts[i] *= float64(replicas) / all
	}
	return parts
}

// allot deals whole replicas out: one to each model where there are enough, the
// rest one by one to the model that has the least for its work.
func allot(work []float64, replicas int) []int {
	shares := make([]int, len(work))
	wanted := ideals(work, replicas)
	left := replicas
	for i := range shares {
		if left > 0 {
			shares[i] = 1
			left--
		}
	}
	for ; left > 0; left-- {
		neediest := 0
		for i := range shares {
			if wanted[i]/float64(shares[i]) > wanted[neediest]/float64(shares[neediest]) {
				neediest = i
			}
		}
		shares[neediest]++
	}
	return shares
}

// dealsOf returns the replicas of a service that are for each of its models. A
// replica keeps its model while the shares allow it, also when others come and
// go: a change of model costs a load and what it has kept.
func (syncer *Syncer) dealsOf(service string, models []route.Model, replicas []replica.Replica) [][]replica.Replica {
	shares := syncer.sharesOf(service, models, len(replicas))
	if len(replicas) > 0 {
		shares = syncer.capped(shares, models, replicas[0].Slots)
	}
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	deals := dealEvenly(replicas, models, shares, syncer.modelsDealt(replicas), func(id string) time.Duration { return syncer.noteOf(id).best.value() })
	for i, model := range models {
		for _, each := range deals[i] {
			if len(replicas) >= len(models) {
				syncer.noteOf(each.ID).model = model.Name
			}
		}
	}
	return deals
}

// modelsDealt returns the models that replicas were dealt to. The mutex is held.
func (syncer *Syncer) modelsDealt(replicas []replica.Replica) map[string]string {
	models := make(map[string]string, len(replicas))
	for _, each := range replicas {
		if known := syncer.notes[each.ID]; known != nil && known.model != "" {
			models[each.ID] = known.model
		}
	}
	return models
}

// deal gives each replica to a model: first to the one it had, then to the one
// whose newest version it holds, as a holder of the lease before may have dealt
// it so. Replicas beyond the shares are for none. Where there are fewer replicas than models,
// a replica is there for several.
func deal(replicas []replica.Replica, models []route.Model, shares []int, before map[string]string) [][]replica.Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b replica.Replica) int { return strings.Compare(a.ID, b.ID) })
	if len(sorted) >= len(models) {
		return dealShares(sorted, models, shares, before)
	}
	deals := make([][]replica.Replica, len(models))
	for i := range models {
		if len(sorted) > 0 {
			deals[i] = sorted[i%len(sorted) : i%len(sorted)+1]
		}
	}
	return deals
}

// dealShares gives each replica to one model at most, in the order in which they come.
func dealShares(sorted []replica.Replica, models []route.Model, shares []int, before map[string]string) [][]replica.Replica {
	deals := make([][]replica.Replica, len(models))
	var left []replica.Replica
	for _, each := range sorted {
		kept := slices.IndexFunc(models, func(model route.Model) bool { return model.Name == before[each.ID] })
		if kept >= 0 && len(deals[kept]) < shares[kept] {
			deals[kept] = append(deals[kept], each)
		} else {
			left = append(left, each)
		}
	}
	for _, each := range left {
		chosen := -1
		for i, model := range models {
			if len(deals[i]) < shares[i] && (chosen < 0 || each.Versions[model.Name] > each.Versions[models[chosen].Name]) {
				chosen = i
			}
		}
		if chosen >= 0 {
			deals[chosen] = append(deals[chosen], each)
		}
	}
	return deals
}
