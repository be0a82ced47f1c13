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
	// maxFreshAge is how long after its last read a fold is fresh: little is missing of it,
	// while a partition that is followed is read every second.
	maxFreshAge = 2 * time.Second
	// unknownEnd is the end of a partition of which no read has told one.
	unknownEnd = int64(-1)
)

// Partition is the fold of one journal partition and the way to add to it.
// It is safe for concurrent use.
type Partition struct {
	ledger *Ledger
	name   journal.Partition
	usedAt time.Time // guarded by the ledger's mutex

	mu sync.Mutex

	// The fold. changed is closed when it changes, missed says that records were removed before
	// they were folded here, lastRead is when a read last brought it up to the partition's end.
	state         *batch.State
	changed       chan struct{}
	hasGap        bool
	lastReadToEnd time.Time

	// What reads have told of the partition: its highest end, or noEnd, and how much they brought.
	end                    int64
	readBytes, readRecords int64

	// Catch-up readsStarted. readsStarted counts those begun; lastSucceededRead is the newest that succeeded, lastFailedRead the
	// newest that did not, with readErr. While reading, one is under way, and readEnded is closed
	// at its end.
	readsStarted, lastSucceededRead, lastFailedRead uint64
	readErr                                         error
	reading                                         bool
	readEnded                                       chan struct{}

	// followers counts those who have the partition followed.
	followers  int
	stopFollow context.CancelFunc

	// pending are the appends that wait, while appending says that one is under way.
	pending   []*appendCall
	appending bool
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

// MarshalLogObject implements zapcore.ObjectMarshaler, for zap.Inline.
func (p *Partition) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("topic", p.name.Topic)
	enc.AddInt64("partition", int64(p.name.Number))
	return nil
}

// Name returns the journal partition.
func (p *Partition) Name() journal.Partition { return p.name }

// isIdle reports whether nobody uses the fold.
func (p *Partition) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followers == 0 && len(p.pending) == 0 && !p.reading
}

// View calls look with the fold while it cannot change.
func (p *Partition) View(look func(*batch.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	look(p.state)
}

// ViewBatch calls look with a batch while it cannot change, and reports whether the fold knows it.
func (p *Partition) ViewBatch(batchID string, look func(*batch.Batch)) (ok bool) {
	p.View(func(state *batch.State) {
		var b *batch.Batch
		if b, ok = state.Get(batchID); ok {
			look(b)
		}
	})
	return ok
}

// Changed returns a channel that is closed when the fold changes.
func (p *Partition) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Await waits until ready is true of the fold, and reports whether it was before stop was closed.
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

// MissingBytes returns how many bytes the fold lacks, by the mean of the records read so far, and
// false if nothing has been read yet.
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

// isBehind reports whether the fold is known to lack records, or has not been read at all.
func (p *Partition) isBehind() bool {
	missing, ok := p.MissingBytes()
	return missing > 0 || !ok
}

// HasGap reports whether records were removed from the journal before they were folded
// here. Such a fold knows all that it tells, but a batch that it does not know may exist.
func (p *Partition) HasGap() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasGap
}

// IsFresh reports whether the fold held all of the partition a moment ago.
func (p *Partition) IsFresh() bool { return time.Since(p.LastReadToEnd()) < maxFreshAge }

// LastReadToEnd is when the journal last answered a read that brought the fold up to the
// partition's end. A long partition takes several reads, and what was folded of it
// before the last of them may be long out of date.
func (p *Partition) LastReadToEnd() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReadToEnd
}

// fold applies records that begin at an offset, but for those already folded.
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
