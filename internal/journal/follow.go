package journal

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
)

const (
	// waitFraction and slackShare are the parts of the contact bound that a read
	// may wait for records, and may take beyond that. A read that was lost in an outage
	// is thus given up and repeated well before the bound has passed since the
	// outage's end.
	waitFraction  = 0.30
	slackFraction = 0.30
)

// KeyedHandler takes the records of a keyed partition. Its methods are called
// by one goroutine.
type KeyedHandler interface {
	// Apply gives one record.
	Apply(record KeyedRecord)
}

// KeyedResetter is a KeyedHandler that has to know which keys are gone.
type KeyedResetter interface {
	// Reset gives all newest records at once; keys that are not among them are gone.
	Reset(records []KeyedRecord)
}

// KeyedFollower keeps a handler up to date with a keyed partition: a full read,
// then each record as it comes. After a gap it reads fully again.
type KeyedFollower struct {
	journal   Journal
	partition Partition
	handler   KeyedHandler
	// wait is how long a read waits for records, slack how long it may take beyond that.
	wait, slack time.Duration
	logger      *zap.Logger
	// interval is the least time between two reads; no more than maxInterval is kept to.
	interval    Interval
	maxInterval time.Duration

	synced      atomic.Bool
	lastContact *LastContact
	failures    failureStreak
}

// NewKeyedFollower returns a follower; Run starts it. ContactBound is the time
// within which the handler must be up to date after an outage.
func NewKeyedFollower(
	log Journal, partition Partition, handler KeyedHandler, contactBound time.Duration, logger *zap.Logger,
) *KeyedFollower {
	part := func(share float64) time.Duration { return time.Duration(share * float64(contactBound)) }
	return &KeyedFollower{
		journal:     log,
		partition:   partition,
		handler:     handler,
		wait:        part(waitFraction),
		slack:       part(slackFraction),
		logger:      logger.With(zap.String("topic", partition.Topic)),
		interval:    noInterval,
		maxInterval: part(maxIntervalFraction),
		lastContact: NewLastContact(bootclock.Now),
	}
}

// SetInterval sets the least time between two reads; there is none before. It is called
// before Run.
func (f *KeyedFollower) SetInterval(interval Interval) { f.interval = interval }

// Synced reports whether a full read has ever succeeded.
func (f *KeyedFollower) Synced() bool { return f.synced.Load() }

// SetClock sets the clock by which Silence goes. It is called before Run.
func (f *KeyedFollower) SetClock(now bootclock.Clock) { f.lastContact = NewLastContact(now) }

// Silence is how long ago the last read was answered.
func (f *KeyedFollower) Silence() time.Duration { return f.lastContact.Silence() }

// Run follows the partition until the context ends.
func (f *KeyedFollower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		next, err := f.readFully(ctx)
		if err != nil {
			f.handleFailure(ctx, began, err)
			continue
		}
		f.follow(ctx, next)
	}
}

// readFully gives the handler the newest record of each key, and returns the offset after them.
func (f *KeyedFollower) readFully(ctx context.Context) (int64, error) {
	records, next, err := ReadNewest(ctx, f.journal, f.partition, f.wait+f.slack)
	if err != nil {
		return 0, err
	}
	f.recordSuccess()
	if resetter, ok := f.handler.(KeyedResetter); ok {
		resetter.Reset(records)
	} else {
		for _, record := range records {
			f.handler.Apply(record)
		}
	}
	f.synced.Store(true)
	f.logger.Info("full read", zap.Int("keys", len(records)), zap.Int64("next", next))
	return next, nil
}

// follow reads records from an offset on until they are trimmed.
func (f *KeyedFollower) follow(ctx context.Context, next int64) {
	for ctx.Err() == nil {
		began := time.Now()
		read, err := f.readOnce(ctx, next)
		if errors.Is(err, ErrTrimmed) {
			f.logger.Warn("records trimmed, reading fully", zap.Int64("offset", next))
			return
		}
		if err != nil {
			f.handleFailure(ctx, began, err)
			continue
		}
		f.recordSuccess()
		if read.End < next {
			f.logger.Warn("partition is shorter than was read, reading fully", zap.Int64("offset", next), zap.Int64("end", read.End))
			return
		}
		f.apply(next, read.Records)
		next += int64(len(read.Records))
		if rest := min(f.interval(), f.maxInterval) - time.Since(began); rest > 0 {
			periodic.Pause(ctx, rest)
		}
	}
}

// apply gives the handler records that begin at an offset.
func (f *KeyedFollower) apply(offset int64, records [][]byte) {
	for i, record := range records {
		keyed, err := DecodeKeyed(record)
		if err != nil {
			f.logger.Warn("malformed record passed over", zap.Int64("offset", offset+int64(i)), zap.Error(err))
			continue
		}
		keyed.Offset = offset + int64(i)
		f.handler.Apply(keyed)
	}
}

func (f *KeyedFollower) readOnce(ctx context.Context, from int64) (Records, error) {
	bounded, cancel := context.WithTimeout(ctx, f.wait+f.slack)
	defer cancel()
	return f.journal.Read(bounded, Read{Partition: f.partition, From: from, Wait: f.wait})
}
