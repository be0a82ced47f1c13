// Package group keeps this daemon in the platform's consumer group, which assigns each partition
// to one member, its watcher. The group only distributes work: no guarantee may depend on a
// partition having exactly one watcher.
//
// The package maintains this daemon's membership, and a list of the watchers that may be seconds
// out of date. It relies on the journal for the group itself.
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

// ErrUnavailable means that a call to the journal about the group failed or got no answer.
var ErrUnavailable = errors.New("group: the journal did not answer")

const (
	// groupName is the name of the consumer group on the platform.
	groupName = "woodworks"
	// memberTTL is how long the group keeps the partitions of a member after the member's last
	// call to join.
	memberTTL = 1500 * time.Millisecond
	// joinInterval is the time between two calls to join, by which a member stays in the group.
	joinInterval = 450 * time.Millisecond
	// joinTimeout bounds each call to join.
	joinTimeout = time.Second
	// settleTime is how long after its start a member calls join every settleInterval instead of
	// every joinInterval. When many daemons start together, the assignment changes with each of
	// them.
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
	// failedReads combines the log lines about failed reads of the list of watchers into
	// episodes, as each lookup of a watcher may start a read.
	failedReads *logging.Episodes

	lastContact *journal.LastContact
	leaving     atomic.Bool
	// joinFailed is true if the last call to join failed. Only Run uses it.
	joinFailed bool

	mu sync.Mutex
	// runCtx is the context of Run, nil before Run is called.
	runCtx     context.Context
	generation int64
	partitions map[journal.Partition]bool
	watchers   watcherList
}

// New returns the membership of the daemon whose incarnation is self. The member asks for a
// share of the partitions of the topics. It joins the group when Run is called.
func New(log journal.Journal, self string, topics []string, logger *zap.Logger) *Member {
	return &Member{journal: log, self: self, topics: topics, logger: logger, lastContact: journal.NewLastContact(bootclock.Now),
		failedReads: logging.NewEpisodes(logger, "watchers of partitions not learned", "", "")}
}

// Partitions returns the partitions assigned to this daemon. The caller must not change the map.
func (m *Member) Partitions() map[journal.Partition]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions
}

// Generation returns the generation of the last assignment that this daemon received. The group
// starts a new generation when it assigns partitions anew.
func (m *Member) Generation() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// Silence returns the time since a call to join last succeeded, or the largest duration if none
// has succeeded.
func (m *Member) Silence() time.Duration { return m.lastContact.Silence() }

// Run joins the group and keeps this daemon in it until the context ends or Leave is called. It
// also removes earlier incarnations of this daemon on this machine from the group.
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

// join makes one call to enter the group or to stay in it, and applies the assignment that the
// call returns.
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

// logFirstFailure logs a failed call to join, unless the previous call failed too or the context
// has ended.
func (m *Member) logFirstFailure(ctx context.Context, err error) {
	if m.joinFailed || ctx.Err() != nil {
		return
	}
	m.joinFailed = true
	m.logger.Warn("dependency lost", zap.String("dependency", "group"), zap.Error(err))
}

// noteContact records the time of a successful call to join. If the previous call failed,
// noteContact also logs the recovery.
func (m *Member) noteContact() {
	m.lastContact.Record()
	if m.joinFailed {
		m.joinFailed = false
		m.logger.Info("dependency regained", zap.String("dependency", "group"))
	}
}

// applyAssignment stores the generation and partitions of an assignment, unless this daemon is
// leaving. It stores the partitions as a new map, so that a map returned by Partitions never
// changes.
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
		m.logger.Info("partitions assigned", zap.Int64("generation", assignment.Generation), zap.Int("partitions", len(partitions)))
	}
	m.generation = assignment.Generation
	m.partitions = partitions
}

// Alive returns the members that have partitions, read from the journal now. The error wraps
// ErrUnavailable.
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
