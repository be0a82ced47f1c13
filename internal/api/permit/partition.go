package permit

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// partition is one partition as far as it has been read.
type partition struct {
	name journal.Partition
	// readLock has room for the one who reads; next is that one's.
	readLock chan struct{}
	next     int64
	// minRetention is how long a key is remembered at least after its claim was read.
	minRetention time.Duration
	logger       *zap.Logger

	mu     sync.Mutex
	claims state
}

// partitionOf returns the partition partitionOf a key.
func (p *Permits) partitionOf(key string) *partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // It never fails.
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

// appendRecord adds a record with one call.
func (p *Permits) appendRecord(ctx context.Context, part *partition, r record) error {
	return journal.AppendWithTimeout(ctx, p.journal, journalTimeout, part.name, r.encode())
}

// catchUp reads a partition up to where it ended when the read began.
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

// fold takes records in that begin at an offset, and drops the keys that were claimed before a
// time.
func (p *partition) fold(offset int64, records [][]byte, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, encoded := range records {
		if err := p.claims.apply(encoded); err != nil {
			p.logger.Warn("permit record passed over", zap.Int("partition", p.name.Number),
				zap.Int64("offset", offset+int64(i)), zap.Error(err))
		}
	}
	p.claims.removeExpired(before, p.minRetention)
}

// lookUp returns a copy of what is known of a key, or nil.
func (p *partition) lookUp(key string) *claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.claims[key]
	if c == nil {
		return nil
	}
	return new(*c)
}
