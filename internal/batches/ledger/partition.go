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

	mutex sync.Mutex
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
func (partition *Partition) Name() journal.Partition { return partition.name }

func (partition *Partition) idle() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.followers == 0 && len(partition.pending) == 0 && !partition.reading
}

// View calls look with the fold while it cannot change.
func (partition *Partition) View(look func(*batch.State)) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	look(partition.state)
}

// Changed returns a channel that is closed when the fold changes.
func (partition *Partition) Changed() <-chan struct{} {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.changed
}

// CatchUp returns once the fold holds all that was in the partition when the
// call came. Calls at the same time share reads.
func (partition *Partition) CatchUp(ctx context.Context) error {
	partition.mutex.Lock()
	wanted := partition.reads + 1
	for partition.done < wanted {
		if !partition.reading {
			partition.startRead()
		}
		ended := partition.readEnded
		partition.mutex.Unlock()
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrBehind, ctx.Err().Error())
		case <-ended:
		}
		partition.mutex.Lock()
		if partition.done < wanted && partition.readErr != nil && partition.reads >= wanted {
			err := partition.readErr
			partition.mutex.Unlock()
			return errors.Wrap(ErrBehind, err.Error())
		}
	}
	partition.mutex.Unlock()
	return nil
}

// startRead begins a catch-up read. The mutex is held.
func (partition *Partition) startRead() {
	partition.reads++
	number := partition.reads
	partition.reading = true
	partition.readEnded = make(chan struct{})
	go func() {
		err := partition.readToEnd()
		partition.mutex.Lock()
		defer partition.mutex.Unlock()
		partition.reading = false
		partition.readErr = err
		if err == nil {
			partition.done = number
		}
		close(partition.readEnded)
	}()
}

// readToEnd reads until the fold has reached the end that the first read told.
func (partition *Partition) readToEnd() error {
	target := noEnd
	for {
		read, err := partition.readOnce(partition.ledger.context, 0)
		if err != nil {
			return err
		}
		if target < 0 {
			target = read.End
		}
		if target < 0 {
			continue
		}
		partition.mutex.Lock()
		reached := partition.next >= target
		partition.mutex.Unlock()
		if reached {
			return nil
		}
	}
}

// readOnce reads a page from the fold's offset on and folds what comes, also of an answer
// that broke off.
func (partition *Partition) readOnce(ctx context.Context, wait time.Duration) (journal.Records, error) {
	partition.mutex.Lock()
	from := partition.next
	partition.mutex.Unlock()
	timeout := readTimeout
	if wait > 0 {
		timeout = wait + followSlack
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read, err := partition.ledger.journal.Read(bounded, journal.Read{Partition: partition.name, From: from, Wait: wait, MaxBytes: partition.ledger.PageBytes()})
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		return partition.skipTrimmed(from, trimmed.First), nil
	}
	partition.fold(from, read.Records)
	partition.noteRead(read)
	if err != nil {
		return journal.Records{}, err
	}
	partition.mutex.Lock()
	if partition.next >= read.End {
		partition.lastRead = time.Now()
	}
	partition.mutex.Unlock()
	return read, nil
}

// noteRead counts what a read brought.
func (partition *Partition) noteRead(read journal.Records) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	for _, record := range read.Records {
		partition.readBytes += int64(len(record))
	}
	partition.readRecords += int64(len(read.Records))
	partition.end = max(partition.end, read.End)
}

// ReadPage reads the next page of the partition, and returns how many bytes came.
func (partition *Partition) ReadPage(ctx context.Context) (bytes int, err error) {
	before := partition.ReadBytes()
	_, err = partition.readOnce(ctx, 0)
	if err != nil {
		err = errors.Wrap(ErrBehind, err.Error())
	}
	return int(partition.ReadBytes() - before), err
}

// ReadBytes is how many bytes reads have brought of the partition so far.
func (partition *Partition) ReadBytes() int64 {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.readBytes
}

// Missing returns how many bytes the fold lacks, by the mean of the records read so far, and
// false if nothing has been read yet.
func (partition *Partition) Missing() (bytes int, known bool) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	switch {
	case partition.end == noEnd:
		return 0, false
	case partition.next >= partition.end:
		return 0, true
	case partition.readRecords == 0:
		return partition.ledger.PageBytes(), true
	default:
		return int((partition.end - partition.next) * partition.readBytes / partition.readRecords), true
	}
}

// behind reports whether the fold is known to lack records, or has not been read at all.
func (partition *Partition) behind() bool {
	missing, known := partition.Missing()
	return missing > 0 || !known
}

// skipTrimmed moves the fold over records that are gone. The batches already
// folded stay known; of those only in the trimmed records nothing is known.
func (partition *Partition) skipTrimmed(from, first int64) journal.Records {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if partition.next == from && first > from {
		partition.ledger.logger.Info("records trimmed before they were read", zap.String("topic", partition.name.Topic),
			zap.Int("partition", partition.name.Number), zap.Int64("offset", from), zap.Int64("first", first))
		partition.next, partition.missed = first, true
		partition.state.Skip(first)
	}
	return journal.Records{End: noEnd, First: first}
}

// Missed reports whether records were removed from the journal before they were folded
// here. Such a fold knows all that it tells, but a batch that it does not know may exist.
func (partition *Partition) Missed() bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.missed
}

// Fresh reports whether the fold held all of the partition a moment ago.
func (partition *Partition) Fresh() bool { return time.Since(partition.LastRead()) < freshFor }

// LastRead is when the journal last answered a read that brought the fold up to the
// partition's end. A long partition takes several reads, and what was folded of it
// before the last of them may be long out of date.
func (partition *Partition) LastRead() time.Time {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.lastRead
}

// fold applies records that begin at an offset, but for those already folded.
func (partition *Partition) fold(from int64, records [][]byte) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	folded := false
	for i, record := range records {
		if from+int64(i) != partition.next {
			continue
		}
		partition.state.Apply(record)
		partition.next++
		folded = true
	}
	if folded {
		close(partition.changed)
		partition.changed = make(chan struct{})
	}
}

// Follow keeps the fold up to date until the returned function is called.
func (partition *Partition) Follow() (release func()) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.followers++
	if partition.followers == 1 {
		ctx, cancel := context.WithCancel(partition.ledger.context)
		partition.stopFollow = cancel
		go partition.follow(ctx)
	}
	var once sync.Once
	return func() { once.Do(partition.unfollow) }
}

func (partition *Partition) unfollow() {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.followers--
	if partition.followers == 0 {
		partition.stopFollow()
	}
}

// follow holds a read at the partition's end. As long as the fold lacks more it shares the
// reads of those who catch up, so that nothing is read twice.
func (partition *Partition) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if partition.behind() {
			err = partition.CatchUp(ctx)
		} else {
			_, err = partition.readOnce(ctx, followWait)
		}
		if err != nil {
			periodic.Pause(ctx, followPause)
		}
	}
}
