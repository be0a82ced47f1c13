package replica

import "go.uber.org/zap"

// maxChangeLogLines is how many changes of one full list are logged a line each; more are
// summed in one, as each of hundreds of daemons reads hundreds of replicas anew
// after an outage.
const maxChangeLogLines = 20

// entryChange is one of the list. Its before is nil for a replica that is new, its now for
// one that is gone.
type entryChange struct{ before, now *Entry }

// logChanges logs changes of the list, one by one or in one line.
func (t *Table) logChanges(changes []entryChange) {
	if len(changes) <= maxChangeLogLines {
		for _, c := range changes {
			t.logChange(c)
		}
		return
	}
	var added, gone, state []string
	for _, c := range changes {
		switch {
		case c.before == nil:
			added = append(added, c.now.ID)
		case c.now == nil:
			gone = append(gone, c.before.ID)
		default:
			state = append(state, c.now.ID)
		}
	}
	t.logger.Info("replicas read", zap.Int("listed", len(t.entries)), zap.Strings("added", added),
		zap.Strings("gone", gone), zap.Strings("state_changed", state))
}

func (t *Table) logChange(c entryChange) {
	switch {
	case c.before == nil:
		t.logger.Info("replica listed", zap.String("replica", c.now.ID), zap.String("service", c.now.Service),
			zap.Stringer("address", c.now.Address), zap.String("zone", c.now.Zone), zap.Bool("draining", c.now.Draining))
	case c.now == nil:
		t.logger.Info("replica gone from the list", zap.String("replica", c.before.ID))
	default:
		t.logger.Info("replica state changed", zap.String("replica", c.now.ID), zap.Bool("draining", c.now.Draining),
			zap.Bool("usable", !c.now.Unusable))
	}
}
