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
	name = "woodworks"
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
	member  string
	topics  []string
	logger  *zap.Logger

	lastContact *journal.Contact
	leaving     atomic.Bool

	mutex sync.Mutex
	// running is Run's context, nil before.
	running    context.Context
	generation int64
	partitions map[journal.Partition]bool
	lost       bool
	owners     owners
	// unlearned sums the reads of owners that failed: each question may begin one.
	unlearned *logging.Episodes
}

// New returns a membership that asks for a share of the topics' partitions.
func New(log journal.Journal, member string, topics []string, logger *zap.Logger) *Member {
	return &Member{journal: log, member: member, topics: topics, logger: logger, lastContact: journal.NewContact(bootclock.Now),
		unlearned: logging.NewEpisodes(logger, "owners of partitions not learned", "", "")}
}

// Partitions returns the partitions dealt to this daemon.
func (member *Member) Partitions() map[journal.Partition]bool {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.partitions
}

// Generation returns the group's generation as last heard.
func (member *Member) Generation() int64 {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.generation
}

// SetClock sets the clock by which Silence goes. It is called before Run.
func (member *Member) SetClock(now bootclock.Clock) { member.lastContact = journal.NewContact(now) }

// Silence is how long ago the journal last answered.
func (member *Member) Silence() time.Duration { return member.lastContact.Silence() }

// Run stays in the group until the context ends or Leave is called. It takes
// the last run of this machine out of the group first, as that one is over.
func (member *Member) Run(ctx context.Context) {
	began := time.Now()
	member.mutex.Lock()
	member.running = ctx
	member.mutex.Unlock()
	go member.retirePredecessors(ctx)
	periodic.Repeat(ctx, func(ctx context.Context) time.Duration {
		if !member.leaving.Load() {
			member.join(ctx)
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
func (member *Member) retirePredecessors(ctx context.Context) {
	for ctx.Err() == nil {
		if member.retireOnce(ctx) == nil {
			return
		}
		periodic.Pause(ctx, leavePause)
	}
}

func (member *Member) retireOnce(ctx context.Context) error {
	alive, err := member.Alive(ctx)
	if err != nil {
		return err
	}
	for _, run := range alive {
		if run == member.member || identity.Machine(run) != identity.Machine(member.member) {
			continue
		}
		err := member.leaveOnce(ctx, run)
		member.logger.Info("predecessor retired", zap.String("run", run), zap.Error(err))
		if err != nil {
			return err
		}
	}
	return nil
}

func (member *Member) join(ctx context.Context) {
	member.mutex.Lock()
	generation := member.generation
	member.mutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	assignment, err := member.journal.Join(bounded, journal.Join{Group: name, Member: member.member, Topics: member.topics, Lifetime: lifetime, Generation: generation})
	if err != nil {
		if !member.lost && ctx.Err() == nil {
			member.lost = true
			member.logger.Warn("dependency lost", zap.String("dependency", "group"), zap.Error(err))
		}
		return
	}
	member.lastContact.Note()
	if member.lost {
		member.lost = false
		member.logger.Info("dependency regained", zap.String("dependency", "group"))
	}
	partitions := make(map[journal.Partition]bool, len(assignment.Partitions))
	for _, partition := range assignment.Partitions {
		partitions[partition] = true
	}
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.leaving.Load() {
		return
	}
	if assignment.Generation != member.generation {
		member.logger.Info("partitions dealt", zap.Int64("generation", assignment.Generation), zap.Int("partitions", len(partitions)))
	}
	member.generation = assignment.Generation
	member.partitions = partitions
}

// Alive returns the members that hold partitions now.
func (member *Member) Alive(ctx context.Context) ([]string, error) {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := member.journal.Owners(bounded, name)
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
func (member *Member) Leave(ctx context.Context) {
	member.leaving.Store(true)
	member.mutex.Lock()
	member.partitions = nil
	member.mutex.Unlock()
	for tries := 1; ; tries++ {
		err := member.leaveOnce(ctx, member.member)
		if err == nil || ctx.Err() != nil {
			member.logger.Info("group left", zap.Int("tries", tries), zap.Error(err))
			return
		}
		periodic.Pause(ctx, leavePause)
	}
}

// leaveOnce takes a run of this machine out of the group.
func (member *Member) leaveOnce(ctx context.Context, run string) error {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return member.journal.Leave(bounded, name, run)
}
