// Package group keeps this daemon in the platform's consumer group, which deals partitions out:
// the member that has a partition is its watcher. The group decides only who does work; no
// promise rests on it.
//
// The package owns this daemon's membership, and a list of who watches what that is seconds old
// at most. It relies on the journal for the group itself.
//
// # Usage
//
//	member := group.New(log, identity.New(machine, time.Now()), topics, logger)
//	go member.Run(ctx)
//	watcher, ok := member.WatcherOf(ctx, partition)
//	member.Leave(ctx)
package group

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

// ErrUnavailable: the journal did not tell what was asked of the group.
var ErrUnavailable = errors.New("group: the journal did not answer")

const (
	// groupName is the group's on the platform.
	groupName = "woodworks"
	// memberTTL is how long a silent member keeps its partitions; joinInterval is the time
	// between two calls by which a member stays, joinTimeout bounds each.
	memberTTL    = 1500 * time.Millisecond
	joinInterval = 450 * time.Millisecond
	joinTimeout  = time.Second
	// settleTime is how long after its start a member joins at settleInterval:
	// when many start at once, partitions are dealt again with each of them.
	settleTime     = 2 * time.Second
	settleInterval = 150 * time.Millisecond
)

// Member is this daemon's membership. It is safe for concurrent use.
type Member struct {
	journal journal.Journal
	// self is this daemon's incarnation.
	self   string
	topics []string
	logger *zap.Logger
	// failedReads sums the reads of the list that failed: each question may begin one.
	failedReads *logging.Episodes

	lastContact *journal.Contact
	leaving     atomic.Bool
	// joinFailed says that the last call to stay in the group failed. Only Run uses it.
	joinFailed bool

	mu sync.Mutex
	// runCtx is Run's context, nil before.
	runCtx     context.Context
	generation int64
	partitions map[journal.Partition]bool
	watchers   watcherList
}

// New returns the membership of the incarnation named self, which asks for a part of the topics' partitions.
func New(log journal.Journal, self string, topics []string, logger *zap.Logger) *Member {
	return &Member{journal: log, self: self, topics: topics, logger: logger, lastContact: journal.NewContact(bootclock.Now),
		failedReads: logging.NewEpisodes(logger, "watchers of partitions not learned", "", "")}
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

// Silence is how long ago the journal last answered.
func (m *Member) Silence() time.Duration { return m.lastContact.Silence() }

// Run stays in the group until the context ends or Leave is called. It takes
// the last incarnation of this machine out of the group first, as that one is over.
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

// join calls the group once to enter it or to stay in it.
func (m *Member) join(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	request := journal.Join{Group: groupName, Member: m.self, Topics: m.topics, Lifetime: memberTTL, Generation: m.Generation()}
	assignment, err := m.journal.Join(bounded, request)
	if err != nil {
		m.logFirstFailure(ctx, err)
		return
	}
	m.noteContact()
	m.applyAssignment(assignment)
}

// logFirstFailure logs the first failure in a row, unless the context has ended.
func (m *Member) logFirstFailure(ctx context.Context, err error) {
	if m.joinFailed || ctx.Err() != nil {
		return
	}
	m.joinFailed = true
	m.logger.Warn("dependency lost", zap.String("dependency", "group"), zap.Error(err))
}

// noteContact notes that the group has answered.
func (m *Member) noteContact() {
	m.lastContact.Note()
	if m.joinFailed {
		m.joinFailed = false
		m.logger.Info("dependency regained", zap.String("dependency", "group"))
	}
}

// applyAssignment takes what the group has dealt to this daemon, unless it is leaving.
func (m *Member) applyAssignment(assignment journal.Assignment) {
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

// Alive returns the members that have partitions now. The error wraps ErrUnavailable.
func (m *Member) Alive(ctx context.Context) ([]string, error) {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	rows, err := m.journal.Owners(bounded, groupName)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	var alive []string
	for _, row := range rows {
		if !slices.Contains(alive, row.Member) {
			alive = append(alive, row.Member)
		}
	}
	return alive, nil
}
