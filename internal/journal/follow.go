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
	// waitFraction and slackFraction are fractions of the contact bound, the time after an
	// outage within which a follower must be up to date again. They set how long a read may wait
	// for records, and how much longer the read may take. Their sum is well below 1, so that a
	// read that is lost in an outage times out and is repeated within the contact bound after
	// the outage.
	waitFraction  = 0.30
	slackFraction = 0.30
)

// KeyedHandler receives the records of a keyed partition. All methods are called by one
// goroutine.
type KeyedHandler interface {
	// Apply applies one record. An empty value means that the key was deleted.
	Apply(record KeyedRecord)
}

// KeyedResetter is implemented by handlers that must learn which keys have been removed.
type KeyedResetter interface {
	// Reset replaces all state by the newest record of each key. Keys without a record no longer
	// exist.
	Reset(records []KeyedRecord)
}

// KeyedFollower keeps a handler up to date with a keyed partition. It first makes a full read,
// which returns the newest record of each key, and then reads each further record. It makes
// another full read if records were trimmed before it read them, or if the partition ends before
// the last record that it read.
type KeyedFollower struct {
	journal   Journal
	partition Partition
	handler   KeyedHandler
	// wait is how long a read waits for records, and slack how much longer the read may take.
	wait, slack time.Duration
	logger      *zap.Logger
	// interval returns the minimum time between the starts of two reads. Times above maxInterval
	// count as maxInterval.
	interval    Interval
	maxInterval time.Duration

	synced      atomic.Bool
	lastContact *LastContact
	failures    failureStreak
}

// NewKeyedFollower returns a follower of partition; Run starts it. contactBound is the time after
// an outage within which the handler must be up to date again.
func NewKeyedFollower(
	log Journal, partition Partition, handler KeyedHandler, contactBound time.Duration, logger *zap.Logger,
) *KeyedFollower {
	scale := func(fraction float64) time.Duration { return time.Duration(fraction * float64(contactBound)) }
	return &KeyedFollower{
		journal:     log,
		partition:   partition,
		handler:     handler,
		wait:        scale(waitFraction),
		slack:       scale(slackFraction),
		logger:      logger.With(zap.String("topic", partition.Topic)),
		interval:    noInterval,
		maxInterval: scale(maxIntervalFraction),
		lastContact: NewLastContact(bootclock.Now),
	}
}

// SetInterval sets the minimum time between the starts of two reads; by default there is none.
// It must be called before Run.
func (f *KeyedFollower) SetInterval(interval Interval) { f.interval = interval }

// Synced reports whether a full read has succeeded since the follower was created.
func (f *KeyedFollower) Synced() bool { return f.synced.Load() }

// SetClock sets the clock that Silence uses. It must be called before Run.
func (f *KeyedFollower) SetClock(now bootclock.Clock) { f.lastContact = NewLastContact(now) }

// Silence returns the time since the journal last answered a read; see LastContact.Silence.
func (f *KeyedFollower) Silence() time.Duration { return f.lastContact.Silence() }

// Run follows the partition until ctx ends.
func (f *KeyedFollower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		next, err := f.readFully(ctx)
		if err != nil {
			f.handleFailure(ctx, start, err)
			continue
		}
		f.follow(ctx, next)
	}
}

// readFully makes a full read: it passes the newest record of each key to the handler, and
// returns the offset from which to continue.
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

// follow reads the records from offset next on and passes them to the handler. It returns when
// ctx ends or a full read is needed, because records from next on were trimmed or the partition
// ends before next.
func (f *KeyedFollower) follow(ctx context.Context, next int64) {
	for ctx.Err() == nil {
		start := time.Now()
		read, err := f.readOnce(ctx, next)
		if errors.Is(err, ErrTrimmed) {
			f.logger.Warn("records trimmed, starting full read", zap.Int64("offset", next))
			return
		}
		if err != nil {
			f.handleFailure(ctx, start, err)
			continue
		}
		f.recordSuccess()
		if read.End < next {
			f.logger.Warn("partition ends before the next offset, starting full read", zap.Int64("offset", next), zap.Int64("end", read.End))
			return
		}
		f.apply(next, read.Records)
		next += int64(len(read.Records))
		if remaining := min(f.interval(), f.maxInterval) - time.Since(start); remaining > 0 {
			periodic.Pause(ctx, remaining)
		}
	}
}

// apply decodes records, the first of which has the given offset, and passes them to the handler.
// Malformed records are logged and skipped.
func (f *KeyedFollower) apply(offset int64, records [][]byte) {
	for i, record := range records {
		keyed, err := DecodeKeyed(record)
		if err != nil {
			f.logger.Warn("malformed record skipped", zap.Int64("offset", offset+int64(i)), zap.Error(err))
			continue
		}
		keyed.Offset = offset + int64(i)
		f.handler.Apply(keyed)
	}
}

// readOnce reads the records from an offset on. It waits for records up to wait, and its timeout
// is wait plus slack.
func (f *KeyedFollower) readOnce(ctx context.Context, from int64) (Records, error) {
	bounded, cancel := context.WithTimeout(ctx, f.wait+f.slack)
	defer cancel()
	return f.journal.Read(bounded, Read{Partition: f.partition, From: from, Wait: f.wait})
}
