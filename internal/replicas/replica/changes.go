package replica

import "go.uber.org/zap"

// maxChangeLogLines is the largest number of changes of one list update that are logged in a line
// each. A larger update is logged in a single line, because after an outage every daemon reads the
// entries of hundreds of replicas again.
const maxChangeLogLines = 20

// entryChange is one change of the list of replicas. before is nil for an added replica; now is
// nil for a removed one.
type entryChange struct{ before, now *Entry }

// logChanges logs the changes of one list update, one line each or, if there are more than
// maxChangeLogLines, in one summary line. The mutex must be held.
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
	t.logger.Info("replica list updated", zap.Int("listed", len(t.entries)), zap.Strings("added", added),
		zap.Strings("gone", gone), zap.Strings("state_changed", state))
}

// logChange logs one change of the list.
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
