package group

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/membership/identity"
)

const (
	// leaveTimeout bounds one call to leave the group.
	leaveTimeout = 500 * time.Millisecond
	// leaveRetryDelay is the wait before the next attempt to leave or to list the members.
	leaveRetryDelay = 100 * time.Millisecond
)

// Leave takes this daemon out of the group, so that its partitions are assigned to other members
// at once. It retries until it succeeds or the context ends, since the partitions of a member
// that didn't leave have no watcher until memberTTL is over. Run doesn't join again after Leave.
func (m *Member) Leave(ctx context.Context) {
	m.leaving.Store(true)
	m.mu.Lock()
	m.partitions = nil
	m.mu.Unlock()
	for tries := 1; ; tries++ {
		err := m.leaveOnce(ctx, m.self)
		if err == nil || ctx.Err() != nil {
			m.logger.Info("group left", zap.Int("tries", tries), zap.Error(err))
			return
		}
		periodic.Pause(ctx, leaveRetryDelay)
	}
}

// leaveOnce makes one call that takes member, an incarnation on this machine, out of the group.
// The error wraps ErrUnavailable.
func (m *Member) leaveOnce(ctx context.Context, member string) error {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := m.journal.Leave(bounded, groupName, member); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// retirePredecessors takes earlier incarnations on this machine out of the group, as their
// partitions would have no watcher until memberTTL is over. It retries until all listed ones are
// out or the context ends. An incarnation that isn't listed has no partitions.
func (m *Member) retirePredecessors(ctx context.Context) {
	for ctx.Err() == nil {
		if m.retireOnce(ctx) == nil {
			return
		}
		periodic.Pause(ctx, leaveRetryDelay)
	}
}

// retireOnce lists the members and takes earlier incarnations on this machine out of the group.
// It stops at the first error, which wraps ErrUnavailable.
func (m *Member) retireOnce(ctx context.Context) error {
	alive, err := m.Alive(ctx)
	if err != nil {
		// The error is logged only at debug level, as the list is soon read again and join logs
		// that the group is unavailable.
		m.logger.Debug("failed to list predecessors", zap.Error(err))
		return err
	}
	for _, member := range alive {
		if member == m.self || identity.Machine(member) != identity.Machine(m.self) {
			continue
		}
		err := m.leaveOnce(ctx, member)
		m.logger.Info("predecessor retired", zap.String("incarnation", member), zap.Error(err))
		if err != nil {
			return err
		}
	}
	return nil
}
