package replica

import "go.uber.org/zap"

// toldSingly is how many changes of one full list are logged a line each; more are
// summed in one, as each of hundreds of daemons reads hundreds of replicas anew
// after an outage.
const toldSingly = 20

// change is one of the list. Its before is nil for a replica that is new, its now for
// one that is gone.
type change struct{ before, now *Entry }

// tell logs changes of the list, one by one or in one line.
func (table *Table) tell(changes []change) {
	if len(changes) <= toldSingly {
		for _, each := range changes {
			table.tellOne(each)
		}
		return
	}
	var added, gone, state []string
	for _, each := range changes {
		switch {
		case each.before == nil:
			added = append(added, each.now.ID)
		case each.now == nil:
			gone = append(gone, each.before.ID)
		default:
			state = append(state, each.now.ID)
		}
	}
	table.logger.Info("replicas read", zap.Int("listed", len(table.entries)), zap.Strings("added", added),
		zap.Strings("gone", gone), zap.Strings("state_changed", state))
}

func (table *Table) tellOne(each change) {
	switch {
	case each.before == nil:
		table.logger.Info("replica listed", zap.String("replica", each.now.ID), zap.String("service", each.now.Service),
			zap.String("address", each.now.Address), zap.String("zone", each.now.Zone), zap.Bool("draining", each.now.Draining))
	case each.now == nil:
		table.logger.Info("replica gone from the list", zap.String("replica", each.before.ID))
	default:
		table.logger.Info("replica state changed", zap.String("replica", each.now.ID), zap.Bool("draining", each.now.Draining),
			zap.Bool("usable", !each.now.Unusable))
	}
}
