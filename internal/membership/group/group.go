// Package group keeps this daemon in the platform's consumer group, which
// deals the partitions of the ledger out: each is watched by one daemon. The
// group decides only who does work; no promise rests on it.
package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

const (
	groupName = "woodworks"
	// lifetime is how long a silent member keeps its partitions.
	lifetime     = 1500 * time.Millisecond
	joinInterval = 450 * time.Millisecond
	joinTimeout  = time.Second
	// leaveTimeout bounds one try to leave.
	leaveTimeout = 500 * time.Millisecond
	leavePause   = 100 * time.Millisecond
	// settleTime is how long after its start a member joins at settleInterval:
	// when many start at once, partitions are dealt again with each of them.
	settleTime     = 2 * time.Second
	settleInterval = 150 * time.Millisecond
)

// Member is this daemon's membership. It is safe for concurrent use.
type Member struct {
	journal journal.Journal
	self    string
	topics  []string
	logger  *zap.Logger

	lastContact *journal.Contact
	leaving     atomic.Bool

	mu sync.Mutex
	// running is Run's context, nil before.
	runCtx     context.Context
	generation int64
	partitions map[journal.Partition]bool
	lost       bool
	watchers   watcherList
	// unlearned sums the reads of owners that failed: each question may begin one.
	failedReads *logging.Episodes
}

// New returns a membership that asks for a share of the topics' partitions.
func New(log journal.Journal, member string, topics []string, logger *zap.Logger) *Member {
	return &Member{journal: log, self: member, topics: topics, logger: logger, lastContact: journal.NewContact(bootclock.Now),
		failedReads: logging.NewEpisodes(logger, "owners of partitions not learned", "", "")}
}

// Partitions returns the partitions dealt to this daemon.
func (m *Member) Partitions() map[journal.Partition]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions
}

// Generation returns the group's generation as last heard.
func (m *Member) Generation() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// SetClock sets the clock by which Silence goes. It is called before Run.
func (m *Member) SetClock(now bootclock.Clock) { m.lastContact = journal.NewContact(now) }

// Silence is how long ago the journal last answered.
func (m *Member) Silence() time.Duration { return m.lastContact.Silence() }

// Run stays in the group until the context ends or Leave is called. It takes
// the last run of this machine out of the group first, as that one is over.
func (m *Member) Run(ctx context.Context) {
	began := time.Now()
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	go m.retirePredecessors(ctx)
	periodic.Repeat(ctx, func(ctx context.Context) time.Duration {
		if !m.leaving.Load() {
			m.join(ctx)
		}
		if time.Since(began) < settleTime {
			return settleInterval
		}
		return joinInterval
	})
}

// retirePredecessors makes earlier runs of this machine leave, if any still
// have partitions: these would lie idle for the lifetime. It is repeated until
// the owners could be read; one that is not found by then had none.
func (m *Member) retirePredecessors(ctx context.Context) {
	for ctx.Err() == nil {
		if m.retireOnce(ctx) == nil {
			return
		}
		periodic.Pause(ctx, leavePause)
	}
}

func (m *Member) retireOnce(ctx context.Context) error {
	alive, err := m.Alive(ctx)
	if err != nil {
		return err
	}
	for _, run := range alive {
		if run == m.self || identity.Machine(run) != identity.Machine(m.self) {
			continue
		}
		err := m.leaveOnce(ctx, run)
		m.logger.Info("predecessor retired", zap.String("run", run), zap.Error(err))
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *Member) join(ctx context.Context) {
	m.mu.Lock()
	generation := m.generation
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	assignment, err := m.journal.Join(bounded, journal.Join{Group: groupName, Member: m.self, Topics: m.topics, Lifetime: lifetime, Generation: generation})
	if err != nil {
		if !m.lost && ctx.Err() == nil {
			m.lost = true
			m.logger.Warn("dependency lost", zap.String("dependency", "group"), zap.Error(err))
		}
		return
	}
	m.lastContact.Note()
	if m.lost {
		m.lost = false
		m.logger.Info("dependency regained", zap.String("dependency", "group"))
	}
	partitions := make(map[journal.Partition]bool, len(assignment.Partitions))
	for _, partition := range assignment.Partitions {
		partitions[partition] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving.Load() {
		return
	}
	if assignment.Generation != m.generation {
		m.logger.Info("partitions dealt", zap.Int64("generation", assignment.Generation), zap.Int("partitions", len(partitions)))
	}
	m.generation = assignment.Generation
	m.partitions = partitions
}

// Alive returns the members that hold partitions now.
func (m *Member) Alive(ctx context.Context) ([]string, error) {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := m.journal.Owners(bounded, groupName)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	var alive []string
	for _, owner := range owners {
		if !seen[owner.Member] {
			seen[owner.Member] = true
			alive = append(alive, owner.Member)
		}
	}
	return alive, nil
}

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
		periodic.Pause(ctx, leavePause)
	}
}

// leaveOnce takes a run of this machine out of the group.
func (m *Member) leaveOnce(ctx context.Context, run string) error {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return m.journal.Leave(bounded, groupName, run)
}
