// Package lease elects one holder for a duty by claims in a journal partition.
//
// A claim's fence is one more than its offset: it is unique and only rises. A holder acts
// only until its lease is over by its own clock, counted from when it sent its
// last acknowledged renewal. A successor acts only once that time and
// the quiet time must be over, counted from when it read the last record. It
// claims the lease just before that: until then the holder may come back.
// Neither relies on the time of day. The clock counts the time in which the machine
// is suspended: to a holder that slept, a lease that others saw run out would look valid.
//
// The package owns this daemon's part in the election. It relies on the journal for the order of
// claims, and on the group for who is a candidate.
//
// # Usage
//
//	l := lease.New(log, partition, identity.New(machine, time.Now()), quiet, logger)
//	go l.Run(ctx)
//	l.SetCandidate(true)
//	fence, err := lease.Act(ctx, l, timeout, func(ctx context.Context, fence int64) error { ... })
package lease

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

const (
	// Duration is how long a renewal lets its holder act.
	Duration = 1500 * time.Millisecond
	// renewInterval is the time between two renewals, retryPause that after a failed call
	// of a candidate.
	renewInterval = 400 * time.Millisecond
	retryDelay    = 150 * time.Millisecond
)

// Lease is one daemon's part in the election. It is safe for concurrent use.
type Lease struct {
	journal   journal.Journal
	partition journal.Partition
	// self is this daemon's incarnation on the machine.
	self, machine string
	// quietPeriod is how long after another holder's last possible act this daemon
	// must wait before its first.
	quietPeriod time.Duration
	now         bootclock.Clock
	logger      *zap.Logger

	mu sync.Mutex
	// nextOffset is the offset after the last record read or written.
	nextOffset int64
	// lastRecord is the lastRecord record and newestAt when it was read; looked says that the partition
	// has been read and is kept up to date.
	lastRecord   record
	lastRecordAt time.Time
	synced       bool
	// held says that this daemon holds the lease, with fence; it may act from actFrom on until
	// actUntil.
	held                  bool
	fence                 int64
	validFrom, validUntil time.Time
	// candidate daemons claim a free lease; one that is resigning claims none.
	candidate, resigning bool
	// reclaiming lasts from the start until the first look: a lease that the
	// machine's last incarnation held is taken back at once.
	reclaiming bool
}

// New returns a lease on the partition for the incarnation of a daemon named self.
func New(log journal.Journal, partition journal.Partition, self string, quiet time.Duration, logger *zap.Logger) *Lease {
	return &Lease{
		journal:     log,
		partition:   partition,
		self:        self,
		machine:     identity.Machine(self),
		quietPeriod: quiet,
		now:         bootclock.Now,
		logger:      logger,
		reclaiming:  true,
	}
}

// SetClock sets the clock by which the lease runs out. It is called before Run.
func (l *Lease) SetClock(now bootclock.Clock) { l.now = now }

// SetCandidate says whether this daemon should claim the lease when it is free.
func (l *Lease) SetCandidate(candidate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate = candidate
}

// Fence returns the fence under which this daemon may act now, and for how long.
func (l *Lease) Fence() (fence int64, left time.Duration, may bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.held || now.Before(l.validFrom) || !now.Before(l.validUntil) {
		return 0, 0, false
	}
	return l.fence, l.validUntil.Sub(now), true
}

// Held reports whether this daemon holds the lease, even if it may not act yet.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Run takes part until the context ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		held, candidate, reclaiming := l.held, l.candidate && !l.resigning, l.reclaiming
		l.mu.Unlock()
		switch {
		case reclaiming:
			l.reclaim(ctx)
		case held:
			l.renew(ctx)
			periodic.Pause(ctx, renewInterval)
		case candidate:
			l.watch(ctx)
		default:
			l.invalidate()
			periodic.Pause(ctx, renewInterval)
		}
	}
}
