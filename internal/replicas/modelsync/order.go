package modelsync

import (
	"cmp"

	"woodworks/internal/replicas/replica"
)

// modelNeed counts the engines of one model and holds the changes that are due for the model, the
// most urgent first. An engine with a change in progress counts as changed.
type modelNeed struct {
	engines int
	// usable engines are within the lag that batches allow; newest engines hold the newest
	// version.
	usable, newest  int
	inProgress, due []change
}

// computeNeed returns the need of a model with the given replicas and due changes.
func computeNeed(replicas []replica.Replica, model string, version, lag int64, due []change,
	isLoading func(replicaID string) bool) modelNeed {
	need := modelNeed{engines: len(replicas)}
	for _, rep := range replicas {
		isChanging := isLoading(rep.ID)
		if isChanging || rep.Versions[model] >= version-lag {
			need.usable++
		}
		if isChanging || rep.Versions[model] >= version {
			need.newest++
		}
	}
	for _, c := range due {
		if isLoading(c.replica.ID) {
			need.inProgress = append(need.inProgress, c)
		} else {
			need.due = append(need.due, c)
		}
	}
	return need
}

// compareNeeds orders models by urgency: first the smallest fraction of usable engines, then the
// smallest fraction of engines at the newest version, then the engine furthest behind. Both needs
// must have due changes.
func compareNeeds(a, b modelNeed) int {
	return cmp.Or(
		cmp.Compare(a.usable*b.engines, b.usable*a.engines),
		cmp.Compare(a.newest*b.engines, b.newest*a.engines),
		cmp.Compare(b.due[0].versionsBehind(), a.due[0].versionsBehind()),
	)
}

// mergeByNeed merges the changes of several models: first those in progress, then repeatedly the
// next change of the model in greatest need, where changes already merged count as done. So no
// model has to wait, with its batches stopped, until all engines of another model have changed.
func mergeByNeed(needs []modelNeed, maxLag func(model string) int64) []change {
	var merged []change
	for i := range needs {
		merged = append(merged, needs[i].inProgress...)
	}
	for {
		neediest := -1
		for i := range needs {
			if len(needs[i].due) > 0 && (neediest < 0 || compareNeeds(needs[i], needs[neediest]) < 0) {
				neediest = i
			}
		}
		if neediest < 0 {
			return merged
		}
		need := &needs[neediest]
		next := need.due[0]
		need.due = need.due[1:]
		if next.versionsBehind() > maxLag(next.model) {
			need.usable++
		}
		need.newest++
		merged = append(merged, next)
	}
}
