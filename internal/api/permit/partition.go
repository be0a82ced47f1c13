package permit

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// partition is the fold of one partition of the topic, as far as this daemon has read it.
type partition struct {
	name journal.Partition
	// readLock is held by sending to it. It guards next, the offset of the first record not read.
	readLock chan struct{}
	next     int64
	// minRetention is the minimum time that a claim is kept after it was read.
	minRetention time.Duration
	logger       *zap.Logger

	// mu guards claims.
	mu     sync.Mutex
	claims state
}

// partitionOf returns the partition of a key, and creates its fold at the first call.
func (p *Permits) partitionOf(key string) *partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // hash.Hash never returns an error
	n := int(hash.Sum32() % uint32(max(p.journal.PartitionsPerTopic(), 1)))
	p.mu.Lock()
	defer p.mu.Unlock()
	part := p.partitions[n]
	if part == nil {
		part = &partition{
			name:         journal.Partition{Topic: topic, Number: n},
			readLock:     make(chan struct{}, 1),
			minRetention: p.retention + clockMargin,
			logger:       p.logger,
			claims:       state{},
		}
		p.partitions[n] = part
	}
	return part
}

// appendRecord appends a record with one call to the journal, bounded by journalTimeout.
func (p *Permits) appendRecord(ctx context.Context, part *partition, r record) error {
	return journal.AppendWithTimeout(ctx, p.journal, journalTimeout, part.name, r.encode())
}

// catchUp folds all records that were in the partition when the read began. It waits while another
// call reads the partition.
func (p *Permits) catchUp(ctx context.Context, part *partition) (err error) {
	select {
	case part.readLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-part.readLock }()
	part.next, err = journal.ReadToEnd(ctx, p.journal, part.name, part.next, journalTimeout,
		func(offset int64, records [][]byte) {
			part.fold(offset, records, time.Now().Add(-p.retention-clockMargin))
		})
	return err
}

// fold applies records that begin at offset, and removes the keys that were claimed before a
// wall-clock time.
func (p *partition) fold(offset int64, records [][]byte, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, encoded := range records {
		if err := p.claims.apply(encoded); err != nil {
			p.logger.Warn("invalid permit record skipped", zap.Int("partition", p.name.Number),
				zap.Int64("offset", offset+int64(i)), zap.Error(err))
		}
	}
	p.claims.removeExpired(before, p.minRetention)
}

// lookUp returns a copy of the valid claim of a key, or nil if there is none.
func (p *partition) lookUp(key string) *claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.claims[key]
	if c == nil {
		return nil
	}
	return new(*c)
}
