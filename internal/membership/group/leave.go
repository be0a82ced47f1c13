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
	// leaveTimeout bounds one try to leave, leavePause is the time between two.
	leaveTimeout    = 500 * time.Millisecond
	leaveRetryDelay = 100 * time.Millisecond
)

// Leave gives this daemon's partitions to others at once. It is repeated until
// it is done or the context ends: the partitions of a member that did not leave
// lie idle until its lifetime is over.
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

// leaveOnce takes an incarnation of this machine out of the group. The error wraps ErrUnavailable.
func (m *Member) leaveOnce(ctx context.Context, member string) error {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := m.journal.Leave(bounded, groupName, member); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// retirePredecessors makes earlier incarnations of this machine leave, if any still
// have partitions: these would lie idle for the lifetime. It is repeated until
// the members could be read; one that is not found by then had none.
func (m *Member) retirePredecessors(ctx context.Context) {
	for ctx.Err() == nil {
		if m.retireOnce(ctx) == nil {
			return
		}
		periodic.Pause(ctx, leaveRetryDelay)
	}
}

func (m *Member) retireOnce(ctx context.Context) error {
	alive, err := m.Alive(ctx)
	if err != nil {
		// The next try follows at once; that the group does not answer is logged by join.
		m.logger.Debug("predecessors not learned", zap.Error(err))
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
