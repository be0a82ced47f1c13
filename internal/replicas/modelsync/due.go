package modelsync

import (
	"cmp"
	"slices"

	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// change is the load of a newer version of a model by one engine.
type change struct {
	replica replica.Replica
	model   string
	version int64
	manner  engine.UpdateMode
}

// chooseManner returns engine.FinishRunning if a route of the service requires a single version
// for each text, and otherwise engine.ContinueRunning, which lets running requests continue under
// the new weights.
func chooseManner(configuration *route.Configuration, service string) engine.UpdateMode {
	for i := range configuration.Routes {
		if rt := &configuration.Routes[i]; rt.SingleVersion && rt.Uses(service) {
			return engine.FinishRunning
		}
	}
	return engine.ContinueRunning
}

// listDueChanges returns the due changes for the replicas of a service, including those in
// progress, in the order in which they should start. assignments[i] holds the replicas of
// models[i].
func listDueChanges(assignments [][]replica.Replica, models []string, newestVersions map[string]int64,
	maxLag func(model string) int64, manner engine.UpdateMode, isLoading func(replicaID string) bool) []change {
	needs := make([]modelNeed, len(models))
	for i, model := range models {
		version, lag := newestVersions[model], maxLag(model)
		due := listModelChanges(assignments[i], model, version, lag, manner)
		needs[i] = computeNeed(assignments[i], model, version, lag, due, isLoading)
	}
	return mergeByNeed(needs, maxLag)
}

// versionsBehind returns how many versions the replica is behind the version of the change.
func (c change) versionsBehind() int64 { return c.version - c.replica.Versions[c.model] }

// listModelChanges returns the changes to the newest version that are due for the replicas of one
// model. lag is how many versions behind the newest one a batch allows. A change is due at the
// latest when the next version would make the replica too old for a batch. In addition, an even
// fraction of the replicas is changed at each version, so that the replicas do not all become too
// old at once.
func listModelChanges(replicas []replica.Replica, model string, version, lag int64, manner engine.UpdateMode) []change {
	var outdated []change
	newest := 0
	for _, rep := range replicas {
		if rep.Versions[model] >= version {
			newest++
			continue
		}
		outdated = append(outdated, change{replica: rep, model: model, version: version, manner: manner})
	}
	slices.SortStableFunc(outdated, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.versionsBehind(), a.versionsBehind()), cmp.Compare(a.replica.InFlight, b.replica.InFlight))
	})
	versions := max(int(lag), 1)
	wanted := (len(replicas)+versions-1)/versions - newest
	due := outdated[:0]
	for i, c := range outdated {
		if c.versionsBehind() >= lag || i < wanted {
			due = append(due, c)
		}
	}
	return due
}
