// Package lease elects one holder of a duty among the daemons by claims in a journal partition.
//
// The fence of a claim is the offset of its record plus one, so that fences are unique and increase
// with each claim. A holder acts only until its lease expires: Duration after it sent its last
// acknowledged claim or renewal. A successor waits for Duration and a quiet period, counted from
// when it read the last record, before it acts. It appends its claim shortly before the end of this
// wait, so that a holder that recovers in the meantime keeps the lease. After the resignation of
// another holder the wait is only the quiet period.
//
// Holder and successor measure these times by a clock that continues while the machine is
// suspended, not by the time of day. With a clock that stops during suspension, a resumed holder
// would act under a lease that has already expired for the others.
//
// The package relies on the journal for the order of claims. Its caller decides which daemons are
// candidates.
//
// # Usage
//
//	l := lease.New(log, partition, identity.New(machine, time.Now()), quietPeriod, logger)
//	go l.Run(ctx)
//	l.SetCandidate(true)
//	fence, err := lease.Do(ctx, l, timeout, func(ctx context.Context, fence int64) error { ... })
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
	// Duration is the time after which a lease expires, counted from when the last acknowledged
	// claim or renewal was sent.
	Duration = 1500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 400 * time.Millisecond
	// retryDelay is the wait of a candidate after a failed call to the journal.
	retryDelay = 150 * time.Millisecond
)

// Lease takes part in the election for one daemon. It is safe for concurrent use.
type Lease struct {
	journal   journal.Journal
	partition journal.Partition
	// self is this daemon's incarnation, machine the machine in its name.
	self, machine string
	// quietPeriod is how long this daemon waits, after the last possible call of another holder,
	// before its own first call.
	quietPeriod time.Duration
	now         bootclock.Clock
	logger      *zap.Logger

	mu sync.Mutex
	// nextOffset is the offset after the last record read or appended.
	nextOffset int64
	// lastRecord is the newest record that was read or claimed. lastRecordAt is the time of that
	// read or claim, or of a later failed read. synced is true after a read of the partition,
	// while the daemon keeps reading further records.
	lastRecord   record
	lastRecordAt time.Time
	synced       bool
	// held is true if this daemon holds the lease. Its fence is then the field fence, and it may
	// act from validFrom until validUntil.
	held                  bool
	fence                 int64
	validFrom, validUntil time.Time
	// candidate is true if this daemon claims the lease when the lease is free. resigning is
	// true after Withdraw or Resign; the daemon then never claims the lease.
	candidate, resigning bool
	// reclaiming is true from the start until the first successful read. If that read shows that
	// an earlier incarnation on this machine held the lease last, the lease is claimed at once.
	reclaiming bool
}

// New returns the lease on a partition for the daemon whose incarnation is self. Run must be
// called for the daemon to take part in the election. quietPeriod is how long the daemon waits,
// after the last possible call of another holder, before it acts.
func New(log journal.Journal, partition journal.Partition, self string, quietPeriod time.Duration, logger *zap.Logger) *Lease {
	return &Lease{
		journal:     log,
		partition:   partition,
		self:        self,
		machine:     identity.Machine(self),
		quietPeriod: quietPeriod,
		now:         bootclock.Now,
		logger:      logger,
		reclaiming:  true,
	}
}

// SetClock replaces the clock by which the lease expires. It must be called before Run.
func (l *Lease) SetClock(now bootclock.Clock) { l.now = now }

// SetCandidate sets whether this daemon claims the lease when the lease is free.
func (l *Lease) SetCandidate(candidate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate = candidate
}

// Fence implements Fencer.
func (l *Lease) Fence() (fence int64, left time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.held || now.Before(l.validFrom) || !now.Before(l.validUntil) {
		return 0, 0, false
	}
	return l.fence, l.validUntil.Sub(now), true
}

// Held reports whether this daemon holds the lease as far as it knows, even if it may not act
// yet or the lease has expired.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Run takes part in the election until the context ends: it renews the lease while this daemon
// holds it, and otherwise, as a candidate, watches the partition and claims the lease when it is
// free.
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
