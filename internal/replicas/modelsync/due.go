package modelsync

import (
	"cmp"
	"slices"

	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// change is one engine's step to another version.
type change struct {
	replica replica.Replica
	model   string
	version int64
	manner  engine.UpdateMode
}

// mannerFor lets running texts go on under new weights unless a route of the
// service wants texts of one version.
func mannerFor(configuration *route.Configuration, service string) engine.UpdateMode {
	for i := range configuration.Routes {
		if rt := &configuration.Routes[i]; rt.SingleVersion && rt.Uses(service) {
			return engine.FinishRunning
		}
	}
	return engine.ContinueRunning
}

// changesDue returns the changes that are due for the replicas of a service,
// those under way among them, in the order in which they should start. Deals
// says which replicas are for which model.
func changesDue(deals [][]replica.Replica, models []string, named map[string]int64,
	lagOf func(model string) int64, manner engine.UpdateMode, loading func(replicaID string) bool) []change {
	needs := make([]modelNeed, len(models))
	for i, model := range models {
		version, lag := named[model], lagOf(model)
		due := changesOfModel(deals[i], model, version, lag, manner)
		needs[i] = needOf(deals[i], model, version, lag, due, loading)
	}
	return inTurn(needs, lagOf)
}

// behind is how many versions the engine is behind.
func (c change) behind() int64 { return c.version - c.replica.Versions[c.model] }

// changesOfModel returns which of a model's replicas to bring to the newest
// version now. A replica may wait as long as its version is still allowed for
// the next batch; an even part of the replicas is changed at each version, so
// that they do not all become too old at once.
func changesOfModel(replicas []replica.Replica, model string, version, lag int64, manner engine.UpdateMode) []change {
	var behind []change
	newest := 0
	for _, rep := range replicas {
		if rep.Versions[model] >= version {
			newest++
			continue
		}
		behind = append(behind, change{replica: rep, model: model, version: version, manner: manner})
	}
	slices.SortStableFunc(behind, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.behind(), a.behind()), cmp.Compare(a.replica.InFlight, b.replica.InFlight))
	})
	parts := max(int(lag), 1)
	wanted := (len(replicas)+parts-1)/parts - newest
	due := behind[:0]
	for i, c := range behind {
		if c.behind() >= lag || i < wanted {
			due = append(due, c)
		}
	}
	return due
}
