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

// RunnersTopic has a partition for each share of the models. The member of the
// group that has a partition runs the batches of its models: one daemon then
// keeps the connections to a model's engines and knows their load.
const RunnersTopic = "woodworks.runners"

const (
	// assignTimeout bounds a call that writes or reads assignments, besides assignWait, for
	// which a read waits for news.
	assignTimeout     = time.Second
	assignPollTimeout = time.Second
	// assignRetryDelay is the time before a read that failed is made again.
	assignRetryDelay = 200 * time.Millisecond
)

// assignment is the record that tells a daemon that it owns a batch.
type assignment struct {
	Batch string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
}

// GroupPartitions tells to whom the partitions of the group are dealt.
type GroupPartitions interface {
	Partitions() map[journal.Partition]bool
	WatcherOf(ctx context.Context, partition journal.Partition) (string, bool)
}

// Assigner chooses the owners of new batches and follows those assigned here.
// It only decides who works: a batch whose owner does not learn of it is taken
// over by the watcher of its partition.
type Assigner struct {
	journal journal.Journal
	group   GroupPartitions
	self    string
	logger  *zap.Logger
}

// NewAssigner returns an assigner.
func NewAssigner(log journal.Journal, dealt GroupPartitions, self string, logger *zap.Logger) *Assigner {
	return &Assigner{journal: log, group: dealt, self: self, logger: logger}
}

func (a *Assigner) partitionOf(submission *batch.Submission) journal.Partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(submission.Host))
	_, _ = hash.Write([]byte(submission.Model))
	partitions := max(a.journal.PartitionsPerTopic(), 1)
	return journal.Partition{Topic: RunnersTopic, Number: int(hash.Sum32() % uint32(partitions))}
}

// ChooseOwner returns the daemon that should own a batch.
func (a *Assigner) ChooseOwner(ctx context.Context, submission *batch.Submission) string {
	owner, ok := a.group.WatcherOf(ctx, a.partitionOf(submission))
	if !ok {
		return a.self
	}
	return owner
}

// Assign lets another daemon know that it owns a batch.
func (a *Assigner) Assign(ctx context.Context, submission *batch.Submission, owner string) {
	encoded, err := cbor.Marshal(assignment{Batch: submission.ID, Owner: owner})
	if err != nil {
		a.logger.Error("assignment not encoded", zap.String("batch", submission.ID), zap.Error(err))
		return
	}
	err = journal.AppendWithin(ctx, a.journal, assignTimeout, a.partitionOf(submission), encoded)
	a.logger.Info("batch assigned", zap.String("batch", submission.ID), zap.String("to", owner), zap.Error(err))
}

// Run calls adopt for each batch that is assigned to this daemon, until the
// context ends.
func (a *Assigner) Run(ctx context.Context, adopt func(batchID string)) {
	following := map[journal.Partition]context.CancelFunc{}
	periodic.Every(ctx, watchInterval, func(ctx context.Context) {
		dealt := a.group.Partitions()
		for name := range dealt {
			if name.Topic == RunnersTopic && following[name] == nil {
				bounded, cancel := context.WithCancel(ctx)
				following[name] = cancel
				go a.follow(bounded, name, adopt)
			}
		}
		for name, cancel := range following {
			if !dealt[name] {
				cancel()
				delete(following, name)
			}
		}
	})
	for _, cancel := range following {
		cancel()
	}
}

// follow reads the assignments of one partition. Old ones are read as well: a
// batch that is over, or is another daemon's, is not adopted.
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

// assignedHere returns the batch of an assignment to this daemon, else "".
func (a *Assigner) assignedHere(record []byte) string {
	var msg assignment
	if err := cbor.Unmarshal(record, &msg); err != nil {
		// The watcher of the batch's partition takes it over.
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
