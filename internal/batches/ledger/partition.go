package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal"
)

const (
	// maxFreshAge is the age of the last complete read up to which a fold is fresh. It exceeds
	// followPollTimeout, so that a followed partition stays fresh.
	maxFreshAge = 2 * time.Second
	// unknownEnd is the end of a partition before any read has reported it.
	unknownEnd = int64(-1)
)

// Partition holds the fold of one journal partition, reads it and appends to it. It is safe for
// concurrent use.
type Partition struct {
	ledger *Ledger
	name   journal.Partition
	usedAt time.Time // guarded by the ledger's mutex

	// mu guards the fields below.
	mu sync.Mutex

	// state is the fold; changed is closed and replaced whenever records are applied. hasGap is
	// set if the journal trimmed records before they were applied. lastReadToEnd is when a read
	// last brought the fold up to the end of the partition.
	state         *batch.State
	changed       chan struct{}
	hasGap        bool
	lastReadToEnd time.Time

	// end is the highest end of the partition that a read has reported, or unknownEnd. readBytes
	// and readRecords count all records returned by reads.
	end                    int64
	readBytes, readRecords int64

	// CatchUp reads are numbered from 1. readsStarted is the number of the last one started, and
	// readErr the error of lastFailedRead. reading is set while a read is in progress, and
	// readEnded is closed at its end.
	readsStarted, lastSucceededRead, lastFailedRead uint64
	readErr                                         error
	reading                                         bool
	readEnded                                       chan struct{}

	// followers is the number of callers of Follow that have not called unfollow.
	followers  int
	stopFollow context.CancelFunc

	// pending is the queue of appends. appending is set while appendPending runs.
	pending   []*appendCall
	appending bool
	// abandoned are the keys of fragments that are abandoned and not recorded as such yet. recordAbandoned
	// runs while there are any.
	abandoned []string
}

func newPartition(ledger *Ledger, name journal.Partition, from int64) *Partition {
	return &Partition{
		ledger:  ledger,
		name:    name,
		state:   batch.NewStateAt(from),
		changed: make(chan struct{}),
		end:     unknownEnd,
	}
}

// MarshalLogObject implements zapcore.ObjectMarshaler, for use with zap.Inline.
func (p *Partition) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("topic", p.name.Topic)
	enc.AddInt64("partition", int64(p.name.Number))
	return nil
}

// Name returns the name of the journal partition.
func (p *Partition) Name() journal.Partition { return p.name }

// isIdle reports whether the partition has no followers, appends to be made or reads in progress.
func (p *Partition) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followers == 0 && len(p.pending) == 0 && len(p.abandoned) == 0 && !p.reading
}

// View calls visit with the fold while the mutex is held: visit must not block or call methods of the
// partition, and the state may change once it has returned.
func (p *Partition) View(visit func(*batch.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visit(p.state)
}

// ViewBatch is View for a single batch. It reports whether the fold has the batch, and calls visit
// only if so.
func (p *Partition) ViewBatch(batchID string, visit func(*batch.Batch)) (ok bool) {
	p.View(func(state *batch.State) {
		var b *batch.Batch
		if b, ok = state.Get(batchID); ok {
			visit(b)
		}
	})
	return ok
}

// Changed returns a channel that is closed at the next change of the fold. To miss no change, get
// the channel before reading the fold.
func (p *Partition) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Await calls ready, first at once and then after each change of the fold, until ready returns true
// or stop is closed. It reports whether ready returned true. The mutex is not held.
func (p *Partition) Await(stop <-chan struct{}, ready func() bool) bool {
	for {
		changed := p.Changed()
		if ready() {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// MissingBytes estimates how many bytes of records the fold lacks, from the mean size of the records
// read so far. ok is false if no read has reported the end of the partition yet.
func (p *Partition) MissingBytes() (bytes int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.end == unknownEnd:
		return 0, false
	case p.state.NextOffset() >= p.end:
		return 0, true
	case p.readRecords == 0:
		return p.ledger.MaxPageBytes(), true
	default:
		return int((p.end - p.state.NextOffset()) * p.readBytes / p.readRecords), true
	}
}

// isBehind reports whether the fold is known to lack records or has never been read.
func (p *Partition) isBehind() bool {
	missing, ok := p.MissingBytes()
	return missing > 0 || !ok
}

// HasGap reports whether the journal trimmed records before they were applied to this fold. The
// batches in such a fold are valid, but a batch that it lacks may exist.
func (p *Partition) HasGap() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasGap
}

// IsFresh reports whether the fold reached the end of the partition within the last maxFreshAge.
func (p *Partition) IsFresh() bool { return time.Since(p.LastReadToEnd()) < maxFreshAge }

// LastReadToEnd returns when a read last brought the fold up to the end of the partition, or the zero
// time. Reads of earlier pages do not count, as a fold in the middle of a partition may be long out
// of date.
func (p *Partition) LastReadToEnd() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReadToEnd
}

// fold applies records, the first of which is at the offset from. Records that are already applied, or
// that do not follow the last applied one, are skipped.
func (p *Partition) fold(from int64, records [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	folded := false
	for i, record := range records {
		offset := from + int64(i)
		if offset != p.state.NextOffset() {
			continue
		}
		if err := p.state.Apply(record); err != nil {
			p.ledger.logger.Warn("record not decoded", zap.Inline(p), zap.Int64("offset", offset), zap.Error(err))
		}
		folded = true
	}
	if folded {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}
