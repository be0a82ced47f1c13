package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/questiontime"
)

const (
	// readTimeout bounds a read that is not held.
	readTimeout = questiontime.Read
	// pageBytes bounds the answer to a read: a link of 60 Mbit/s takes 35 ms for it. Each
	// answer is folded, so that a read that fails costs no more than this.
	pageBytes = 256 << 10
	// pageRecords is how many of the longest records an answer has room for at least.
	pageRecords = 2
	followWait  = time.Second
	// followSlack is what a held read may take beyond its wait.
	followSlack = readTimeout
	followPause = 200 * time.Millisecond
	// freshFor is how long after its last read a fold is fresh: little is missing of it,
	// while a partition that is followed is read every second.
	freshFor = 2 * time.Second
	// noEnd stands where a read told no end.
	noEnd = int64(-1)
	// appendTimeout bounds one append.
	appendTimeout = 1500 * time.Millisecond
)

// Partition is the fold of one journal partition and the way to add to it.
// It is safe for concurrent use.
type Partition struct {
	ledger *Ledger
	name   journal.Partition
	usedAt time.Time // guarded by the ledger's mutex

	mu    sync.Mutex
	state *batch.State
	// next is the offset of the first record that is not folded yet.
	next    int64
	changed chan struct{}
	// reads counts catch-up reads begun; done is the newest that succeeded.
	reads, done uint64
	reading     bool
	readEnded   chan struct{}
	readErr     error
	followers   int
	stopFollow  context.CancelFunc
	pending     []*pendingAppend
	// lastRead is when a read was last answered after which the fold held all.
	lastRead  time.Time
	appending bool
	// end is the highest end of the partition that a read has told, noEnd before.
	end int64
	// readBytes and readRecords are what reads have brought of the partition so far.
	readBytes, readRecords int64
	// missed says that records were removed before they were folded here.
	missed bool
}

func newPartition(ledger *Ledger, name journal.Partition, from int64) *Partition {
	return &Partition{ledger: ledger, name: name, state: batch.NewStateAt(from), next: from, changed: make(chan struct{}), end: noEnd}
}

// Name returns the journal partition.
func (p *Partition) Name() journal.Partition { return p.name }

func (p *Partition) idle() bool {
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

// Changed returns a channel that is closed when the fold changes.
func (p *Partition) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// CatchUp returns once the fold holds all that was in the partition when the
// call came. Calls at the same time share reads.
func (p *Partition) CatchUp(ctx context.Context) error {
	p.mu.Lock()
	wanted := p.reads + 1
	for p.done < wanted {
		if !p.reading {
			p.startRead()
		}
		ended := p.readEnded
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrBehind, ctx.Err().Error())
		case <-ended:
		}
		p.mu.Lock()
		if p.done < wanted && p.readErr != nil && p.reads >= wanted {
			err := p.readErr
			p.mu.Unlock()
			return errors.Wrap(ErrBehind, err.Error())
		}
	}
	p.mu.Unlock()
	return nil
}

// startRead begins a catch-up read. The mutex is held.
func (p *Partition) startRead() {
	p.reads++
	number := p.reads
	p.reading = true
	p.readEnded = make(chan struct{})
	go func() {
		err := p.readToEnd()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading = false
		p.readErr = err
		if err == nil {
			p.done = number
		}
		close(p.readEnded)
	}()
}

// readToEnd reads until the fold has reached the end that the first read told.
func (p *Partition) readToEnd() error {
	target := noEnd
	for {
		read, err := p.readOnce(p.ledger.ctx, 0)
		if err != nil {
			return err
		}
		if target < 0 {
			target = read.End
		}
		if target < 0 {
			continue
		}
		p.mu.Lock()
		reached := p.next >= target
		p.mu.Unlock()
		if reached {
			return nil
		}
	}
}

// readOnce reads a page from the fold's offset on and folds what comes, also of an answer
// that broke off.
func (p *Partition) readOnce(ctx context.Context, wait time.Duration) (journal.Records, error) {
	p.mu.Lock()
	from := p.next
	p.mu.Unlock()
	timeout := readTimeout
	if wait > 0 {
		timeout = wait + followSlack
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read, err := p.ledger.journal.Read(bounded, journal.Read{Partition: p.name, From: from, Wait: wait, MaxBytes: p.ledger.PageBytes()})
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		return p.skipTrimmed(from, trimmed.First), nil
	}
	p.fold(from, read.Records)
	p.noteRead(read)
	if err != nil {
		return journal.Records{}, err
	}
	p.mu.Lock()
	if p.next >= read.End {
		p.lastRead = time.Now()
	}
	p.mu.Unlock()
	return read, nil
}

// noteRead counts what a read brought.
func (p *Partition) noteRead(read journal.Records) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range read.Records {
		p.readBytes += int64(len(record))
	}
	p.readRecords += int64(len(read.Records))
	p.end = max(p.end, read.End)
}

// ReadPage reads the next page of the partition, and returns how many bytes came.
func (p *Partition) ReadPage(ctx context.Context) (bytes int, err error) {
	before := p.ReadBytes()
	_, err = p.readOnce(ctx, 0)
	if err != nil {
		err = errors.Wrap(ErrBehind, err.Error())
	}
	return int(p.ReadBytes() - before), err
}

// ReadBytes is how many bytes reads have brought of the partition so far.
func (p *Partition) ReadBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readBytes
}

// Missing returns how many bytes the fold lacks, by the mean of the records read so far, and
// false if nothing has been read yet.
func (p *Partition) Missing() (bytes int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.end == noEnd:
		return 0, false
	case p.next >= p.end:
		return 0, true
	case p.readRecords == 0:
		return p.ledger.PageBytes(), true
	default:
		return int((p.end - p.next) * p.readBytes / p.readRecords), true
	}
}

// behind reports whether the fold is known to lack records, or has not been read at all.
func (p *Partition) behind() bool {
	missing, ok := p.Missing()
	return missing > 0 || !ok
}

// skipTrimmed moves the fold over records that are gone. The batches already
// folded stay known; of those only in the trimmed records nothing is known.
func (p *Partition) skipTrimmed(from, first int64) journal.Records {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == from && first > from {
		p.ledger.logger.Info("records trimmed before they were read", zap.String("topic", p.name.Topic),
			zap.Int("partition", p.name.Number), zap.Int64("offset", from), zap.Int64("first", first))
		p.next, p.missed = first, true
		p.state.Skip(first)
	}
	return journal.Records{End: noEnd, First: first}
}

// Missed reports whether records were removed from the journal before they were folded
// here. Such a fold knows all that it tells, but a batch that it does not know may exist.
func (p *Partition) Missed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.missed
}

// Fresh reports whether the fold held all of the partition a moment ago.
func (p *Partition) Fresh() bool { return time.Since(p.LastRead()) < freshFor }

// LastRead is when the journal last answered a read that brought the fold up to the
// partition's end. A long partition takes several reads, and what was folded of it
// before the last of them may be long out of date.
func (p *Partition) LastRead() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRead
}

// fold applies records that begin at an offset, but for those already folded.
func (p *Partition) fold(from int64, records [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	folded := false
	for i, record := range records {
		if from+int64(i) != p.next {
			continue
		}
		p.state.Apply(record)
		p.next++
		folded = true
	}
	if folded {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// Follow keeps the fold up to date until the returned function is called.
func (p *Partition) Follow() (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers++
	if p.followers == 1 {
		ctx, cancel := context.WithCancel(p.ledger.ctx)
		p.stopFollow = cancel
		go p.follow(ctx)
	}
	var once sync.Once
	return func() { once.Do(p.unfollow) }
}

func (p *Partition) unfollow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers--
	if p.followers == 0 {
		p.stopFollow()
	}
}

// follow holds a read at the partition's end. As long as the fold lacks more it shares the
// reads of those who catch up, so that nothing is read twice.
func (p *Partition) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if p.behind() {
			err = p.CatchUp(ctx)
		} else {
			_, err = p.readOnce(ctx, followWait)
		}
		if err != nil {
			periodic.Pause(ctx, followPause)
		}
	}
}
