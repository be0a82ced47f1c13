package modelsync

import (
	"cmp"

	"woodworks/internal/replicas/replica"
)

// modelNeed is what one model has of its engines, counting those that change,
// and the changes that are due for it, the most urgent first.
type modelNeed struct {
	engines int
	// usable engines are within the lag that batches allow, newest ones hold the
	// newest version.
	usable, newest  int
	inProgress, due []change
}

// computeNeed returns a model's need.
func computeNeed(replicas []replica.Replica, model string, version, lag int64, due []change,
	loading func(replicaID string) bool) modelNeed {
	need := modelNeed{engines: len(replicas)}
	for _, rep := range replicas {
		coming := loading(rep.ID)
		if coming || rep.Versions[model] >= version-lag {
			need.usable++
		}
		if coming || rep.Versions[model] >= version {
			need.newest++
		}
	}
	for _, c := range due {
		if loading(c.replica.ID) {
			need.inProgress = append(need.inProgress, c)
		} else {
			need.due = append(need.due, c)
		}
	}
	return need
}

// compareNeeds orders by who is served first: the model with the smallest part
// of its engines usable, then with the smallest part at the newest version, then
// with the engine furthest behind.
func compareNeeds(a, b modelNeed) int {
	return cmp.Or(
		cmp.Compare(a.usable*b.engines, b.usable*a.engines),
		cmp.Compare(a.newest*b.engines, b.newest*a.engines),
		cmp.Compare(b.due[0].versionsBehind(), a.due[0].versionsBehind()),
	)
}

// mergeByNeed merges the changes of several models: first those under way, then each
// is the next one of the model that is worst off once those before it are done.
// A model must not wait until all engines of another have changed, as its
// batches would stand still.
func mergeByNeed(needs []modelNeed, lagOf func(model string) int64) []change {
	var merged []change
	for i := range needs {
		merged = append(merged, needs[i].inProgress...)
	}
	for {
		worst := -1
		for i := range needs {
			if len(needs[i].due) > 0 && (worst < 0 || compareNeeds(needs[i], needs[worst]) < 0) {
				worst = i
			}
		}
		if worst < 0 {
			return merged
		}
		need := &needs[worst]
		next := need.due[0]
		need.due = need.due[1:]
		if next.versionsBehind() > lagOf(next.model) {
			need.usable++
		}
		need.newest++
		merged = append(merged, next)
	}
}
