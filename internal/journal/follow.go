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
	// waitShare and slackShare are the parts of the contact bound that a read
	// may be held, and may take beyond that. A read that was lost in an outage
	// is thus given up and repeated well before the bound has passed since the
	// outage's end.
	waitShare  = 0.30
	slackShare = 0.30
	// followPause is the pause after a failed read.
	followPause = 150 * time.Millisecond
	// lostAfter is for how long reads must fail until a partition counts as
	// disconnected: a single refusal says nothing of it.
	lostAfter = 500 * time.Millisecond
)

// KeyedHandler takes the records of a keyed partition. Its methods are called
// by one goroutine.
type KeyedHandler interface {
	// Reset gives all newest records; keys that are not among them are gone.
	Reset(records []KeyedRecord)
	// Apply gives one later record.
	Apply(record KeyedRecord)
}

// KeyedFollower keeps a handler up to date with a keyed partition: a full read,
// then each record as it comes. After a gap it reads fully again.
type KeyedFollower struct {
	journal   Journal
	partition Partition
	handler   KeyedHandler
	wait      time.Duration
	slack     time.Duration
	logger    *zap.Logger
	// pace is the least time between two reads; no more than mostPace is kept to.
	pace     Pace
	mostPace time.Duration

	synced      atomic.Bool
	lastContact *Contact
	outage      outage
}

// outage is a row of failed reads.
type outage struct {
	since    time.Time
	failures int
	// throttled counts those at the end of the row that were refused for their rate.
	throttled int
	// told says that the outage was logged.
	told bool
}

// NewKeyedFollower returns a follower; Run starts it. ContactBound is the time
// within which the handler must be up to date after an outage.
func NewKeyedFollower(log Journal, partition Partition, handler KeyedHandler, contactBound time.Duration, logger *zap.Logger) *KeyedFollower {
	return &KeyedFollower{journal: log, partition: partition, handler: handler, pace: unpaced, lastContact: NewContact(bootclock.Now),
		mostPace: time.Duration(mostPaceShare * float64(contactBound)),
		wait:     time.Duration(waitShare * float64(contactBound)), slack: time.Duration(slackShare * float64(contactBound)), logger: logger.With(zap.String("topic", partition.Topic))}
}

// SetPace sets the least time between two reads; there is none before. It is called
// before Run.
func (follower *KeyedFollower) SetPace(pace Pace) { follower.pace = pace }

// Synced reports whether a full read has ever succeeded.
func (follower *KeyedFollower) Synced() bool { return follower.synced.Load() }

// SetClock sets the clock by which Silence goes. It is called before Run.
func (follower *KeyedFollower) SetClock(now bootclock.Clock) { follower.lastContact = NewContact(now) }

// Silence is how long ago the last read was answered.
func (follower *KeyedFollower) Silence() time.Duration { return follower.lastContact.Silence() }

// Run follows the partition until the context ends.
func (follower *KeyedFollower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		next, err := follower.readFully(ctx)
		if err != nil {
			follower.noteFailure(ctx, began, err)
			continue
		}
		follower.follow(ctx, next)
	}
}

func (follower *KeyedFollower) readFully(ctx context.Context) (int64, error) {
	var records []KeyedRecord
	var next int64
	afterKey := ""
	for first := true; ; first = false {
		page, err := follower.newestPage(ctx, afterKey)
		if err != nil {
			return 0, err
		}
		if first {
			next = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		afterKey = page.Records[len(page.Records)-1].Key
	}
	follower.noteContact()
	follower.handler.Reset(records)
	follower.synced.Store(true)
	follower.logger.Info("full read", zap.Int("keys", len(records)), zap.Int64("next", next))
	return next, nil
}

func (follower *KeyedFollower) newestPage(ctx context.Context, afterKey string) (KeyedPage, error) {
	bounded, cancel := context.WithTimeout(ctx, follower.wait+follower.slack)
	defer cancel()
	return follower.journal.Newest(bounded, follower.partition, afterKey)
}

// follow reads records from an offset on until they are trimmed.
func (follower *KeyedFollower) follow(ctx context.Context, next int64) {
	for ctx.Err() == nil {
		began := time.Now()
		read, err := follower.readOnce(ctx, next)
		if errors.Is(err, ErrTrimmed) {
			follower.logger.Warn("records trimmed, reading fully", zap.Int64("offset", next))
			return
		}
		if err != nil {
			follower.noteFailure(ctx, began, err)
			continue
		}
		follower.noteContact()
		if read.End < next {
			follower.logger.Warn("partition is shorter than was read, reading fully", zap.Int64("offset", next), zap.Int64("end", read.End))
			return
		}
		for _, record := range read.Records {
			keyed, err := follower.journal.SplitKeyed(record)
			if err != nil {
				follower.logger.Warn("malformed record passed over", zap.Int64("offset", next), zap.Error(err))
			} else {
				keyed.Offset = next
				follower.handler.Apply(keyed)
			}
			next++
		}
		if rest := min(follower.pace(), follower.mostPace) - time.Since(began); rest > 0 {
			periodic.Pause(ctx, rest)
		}
	}
}

func (follower *KeyedFollower) readOnce(ctx context.Context, from int64) (Records, error) {
	bounded, cancel := context.WithTimeout(ctx, follower.wait+follower.slack)
	defer cancel()
	return follower.journal.Read(bounded, Read{Partition: follower.partition, From: from, Wait: follower.wait})
}

func (follower *KeyedFollower) noteContact() {
	follower.lastContact.Note()
	if follower.outage.told {
		follower.logger.Info("dependency regained", zap.Duration("after", time.Since(follower.outage.since)), zap.Int("failures", follower.outage.failures))
	}
	follower.outage = outage{}
}

// noteFailure logs a row of failures once it is long enough, and pauses. Began is when
// the failed read did.
func (follower *KeyedFollower) noteFailure(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	row := &follower.outage
	if row.failures == 0 {
		row.since = began
	}
	row.failures++
	if !row.told && time.Since(row.since) >= lostAfter {
		row.told = true
		follower.logger.Warn("dependency lost", zap.Int("failures", row.failures), zap.Duration("for", time.Since(row.since)), zap.Error(err))
	}
	periodic.Pause(ctx, follower.pauseAfter(err))
}

// pauseAfter returns how long to wait after a failed read.
func (follower *KeyedFollower) pauseAfter(err error) time.Duration {
	var throttled *ThrottledError
	if !errors.As(err, &throttled) {
		follower.outage.throttled = 0
		return followPause
	}
	pause := throttledPause << min(follower.outage.throttled, maxDoublings)
	follower.outage.throttled++
	return jittered(min(pause, follower.mostPace))
}
