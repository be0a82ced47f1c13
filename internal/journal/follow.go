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
func (f *KeyedFollower) SetPace(pace Pace) { f.pace = pace }

// Synced reports whether a full read has ever succeeded.
func (f *KeyedFollower) Synced() bool { return f.synced.Load() }

// SetClock sets the clock by which Silence goes. It is called before Run.
func (f *KeyedFollower) SetClock(now bootclock.Clock) { f.lastContact = NewContact(now) }

// Silence is how long ago the last read was answered.
func (f *KeyedFollower) Silence() time.Duration { return f.lastContact.Silence() }

// Run follows the partition until the context ends.
func (f *KeyedFollower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		next, err := f.readFully(ctx)
		if err != nil {
			f.noteFailure(ctx, began, err)
			continue
		}
		f.follow(ctx, next)
	}
}

func (f *KeyedFollower) readFully(ctx context.Context) (int64, error) {
	var records []KeyedRecord
	var next int64
	afterKey := ""
	for first := true; ; first = false {
		page, err := f.newestPage(ctx, afterKey)
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
	f.noteContact()
	f.handler.Reset(records)
	f.synced.Store(true)
	f.logger.Info("full read", zap.Int("keys", len(records)), zap.Int64("next", next))
	return next, nil
}

func (f *KeyedFollower) newestPage(ctx context.Context, afterKey string) (KeyedPage, error) {
	bounded, cancel := context.WithTimeout(ctx, f.wait+f.slack)
	defer cancel()
	return f.journal.Newest(bounded, f.partition, afterKey)
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
			f.noteFailure(ctx, began, err)
			continue
		}
		f.noteContact()
		if read.End < next {
			f.logger.Warn("partition is shorter than was read, reading fully", zap.Int64("offset", next), zap.Int64("end", read.End))
			return
		}
		for _, record := range read.Records {
			keyed, err := f.journal.SplitKeyed(record)
			if err != nil {
				f.logger.Warn("malformed record passed over", zap.Int64("offset", next), zap.Error(err))
			} else {
				keyed.Offset = next
				f.handler.Apply(keyed)
			}
			next++
		}
		if rest := min(f.pace(), f.mostPace) - time.Since(began); rest > 0 {
			periodic.Pause(ctx, rest)
		}
	}
}

func (f *KeyedFollower) readOnce(ctx context.Context, from int64) (Records, error) {
	bounded, cancel := context.WithTimeout(ctx, f.wait+f.slack)
	defer cancel()
	return f.journal.Read(bounded, Read{Partition: f.partition, From: from, Wait: f.wait})
}

func (f *KeyedFollower) noteContact() {
	f.lastContact.Note()
	if f.outage.told {
		f.logger.Info("dependency regained", zap.Duration("after", time.Since(f.outage.since)), zap.Int("failures", f.outage.failures))
	}
	f.outage = outage{}
}

// noteFailure logs a row of failures once it is long enough, and pauses. Began is when
// the failed read did.
func (f *KeyedFollower) noteFailure(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	row := &f.outage
	if row.failures == 0 {
		row.since = began
	}
	row.failures++
	if !row.told && time.Since(row.since) >= lostAfter {
		row.told = true
		f.logger.Warn("dependency lost", zap.Int("failures", row.failures), zap.Duration("for", time.Since(row.since)), zap.Error(err))
	}
	periodic.Pause(ctx, f.pauseAfter(err))
}

// pauseAfter returns how long to wait after a failed read.
func (f *KeyedFollower) pauseAfter(err error) time.Duration {
	var throttled *ThrottledError
	if !errors.As(err, &throttled) {
		f.outage.throttled = 0
		return followPause
	}
	pause := throttledPause << min(f.outage.throttled, maxDoublings)
	f.outage.throttled++
	return jittered(min(pause, f.mostPace))
}
