package runner

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

// RunnersTopic is the topic of assignments. Models are spread over its partitions, and the member
// of the group that watches a partition runs the batches of its models: a single daemon then keeps
// the connections to a model's engines and knows their load.
const RunnersTopic = "woodworks.runners"

const (
	// assignTimeout bounds an append or a read of assignments. A read may take assignPollTimeout
	// longer, the time for which it waits for new records.
	assignTimeout     = time.Second
	assignPollTimeout = time.Second
	// assignRetryDelay is the delay before a failed read is repeated.
	assignRetryDelay = 200 * time.Millisecond
)

// assignment is the record that informs a daemon that it owns a batch.
type assignment struct {
	Batch string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
}

// GroupPartitions reports which members of the group watch which partitions.
type GroupPartitions interface {
	// Partitions returns the partitions that this daemon watches.
	Partitions() map[journal.Partition]bool
	// WatcherOf returns the daemon that watches a partition, and false if it is unknown.
	WatcherOf(ctx context.Context, partition journal.Partition) (string, bool)
}

// Assigner chooses the owners of new batches and reads the assignments to this daemon. An
// assignment only informs the owner: if it is lost, the watcher of the batch's partition takes the
// batch over.
type Assigner struct {
	journal journal.Journal
	group   GroupPartitions
	self    string
	logger  *zap.Logger
}

// NewAssigner returns an assigner for the daemon self.
func NewAssigner(log journal.Journal, group GroupPartitions, self string, logger *zap.Logger) *Assigner {
	return &Assigner{journal: log, group: group, self: self, logger: logger}
}

func (a *Assigner) partitionOf(submission *batch.Submission) journal.Partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(submission.Host))
	_, _ = hash.Write([]byte(submission.Model))
	partitions := max(a.journal.PartitionsPerTopic(), 1)
	return journal.Partition{Topic: RunnersTopic, Number: int(hash.Sum32() % uint32(partitions))}
}

// ChooseOwner returns the daemon that should own a batch: the watcher of the model's partition of
// RunnersTopic, or this daemon if that watcher is unknown.
func (a *Assigner) ChooseOwner(ctx context.Context, submission *batch.Submission) string {
	owner, ok := a.group.WatcherOf(ctx, a.partitionOf(submission))
	if !ok {
		return a.self
	}
	return owner
}

// Assign appends a record that informs another daemon that it owns a batch. A failure is only
// logged.
func (a *Assigner) Assign(ctx context.Context, submission *batch.Submission, owner string) {
	encoded, err := cbor.Marshal(assignment{Batch: submission.ID, Owner: owner})
	if err != nil {
		a.logger.Error("assignment not encoded", zap.String("batch", submission.ID), zap.Error(err))
		return
	}
	err = journal.AppendWithTimeout(ctx, a.journal, assignTimeout, a.partitionOf(submission), encoded)
	a.logger.Info("batch assigned", zap.String("batch", submission.ID), zap.String("to", owner), zap.Error(err))
}

// Run calls adopt, in a goroutine of its own, for each batch that is assigned to this daemon, until
// ctx ends.
func (a *Assigner) Run(ctx context.Context, adopt func(batchID string)) {
	following := map[journal.Partition]context.CancelFunc{}
	periodic.Every(ctx, watchInterval, func(ctx context.Context) {
		assigned := a.group.Partitions()
		for name := range assigned {
			if name.Topic == RunnersTopic && following[name] == nil {
				bounded, cancel := context.WithCancel(ctx)
				following[name] = cancel
				go a.follow(bounded, name, adopt)
			}
		}
		for name, cancel := range following {
			if !assigned[name] {
				cancel()
				delete(following, name)
			}
		}
	})
	for _, cancel := range following {
		cancel()
	}
}

// follow reads the assignments of one partition from its beginning. Old assignments do no harm:
// adopt ignores batches that have ended or belong to another daemon.
func (a *Assigner) follow(ctx context.Context, name journal.Partition, adopt func(batchID string)) {
	next := int64(0)
	for ctx.Err() == nil {
		records, err := a.read(ctx, name, next)
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) {
			next = trimmed.First
			continue
		}
		if err != nil {
			periodic.Pause(ctx, assignRetryDelay)
			continue
		}
		for _, record := range records {
			next++
			if batchID := a.assignedHere(record); batchID != "" {
				go adopt(batchID)
			}
		}
	}
}

// assignedHere returns the batch id of an assignment to this daemon, else "".
func (a *Assigner) assignedHere(record []byte) string {
	var msg assignment
	if err := cbor.Unmarshal(record, &msg); err != nil {
		// The watcher of the batch's partition takes the batch over.
		a.logger.Warn("assignment not decoded", zap.Error(err))
		return ""
	}
	if msg.Owner != a.self {
		return ""
	}
	return msg.Batch
}

func (a *Assigner) read(ctx context.Context, name journal.Partition, from int64) ([][]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, assignPollTimeout+assignTimeout)
	defer cancel()
	read, err := a.journal.Read(bounded, journal.Read{Partition: name, From: from, Wait: assignPollTimeout})
	return read.Records, err
}
