package lease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

const (
	// safetyMargin is added to each wait for the end of another holder's lease.
	safetyMargin = 300 * time.Millisecond
	// claimLead is how long before it may act a successor claims the lease.
	claimLead = 300 * time.Millisecond
	// maxReadWait bounds how long a read waits for a new record, so that a read lost in an
	// outage is given up soon.
	maxReadWait = time.Second
)

// reclaim takes the lease back if the last record is of this machine, that is of an earlier
// incarnation of this daemon.
func (l *Lease) reclaim(ctx context.Context) {
	l.watch(ctx)
	l.mu.Lock()
	synced := l.synced
	own := synced && l.nextOffset > 0 && l.lastRecord.Machine == l.machine
	l.reclaiming = !synced
	l.mu.Unlock()
	if own {
		l.claim(ctx)
	}
}

// invalidate marks the state read from the partition as outdated. A daemon that is no candidate
// doesn't keep it up to date.
func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synced, l.lastRecordAt = false, time.Time{}
}

// watch makes one read of the partition as a candidate, which waits for new records until the
// lease may be claimed. It claims the lease if there is no new record by then.
func (l *Lease) watch(ctx context.Context) {
	l.mu.Lock()
	from, synced := l.nextOffset, l.synced
	wait := time.Duration(0)
	if synced {
		wait = min(max(l.claimAt().Sub(l.now()), 0), maxReadWait)
	}
	l.mu.Unlock()
	began := l.now()
	records, err := l.read(ctx, from, wait)
	if err != nil {
		l.logger.Debug("failed to read lease", zap.Error(err))
		l.lostContact()
		periodic.Pause(ctx, retryDelay)
		return
	}
	l.mu.Lock()
	if len(records) > 0 || !l.synced {
		l.nextOffset = from + int64(len(records))
		if len(records) > 0 {
			l.lastRecord = records[len(records)-1]
		}
		l.lastRecordAt, l.synced = l.now(), true
		l.mu.Unlock()
		return
	}
	// Only a read that began at claimAt or later shows that no renewal came in time. After an
	// earlier one the caller reads again.
	free := !began.Before(l.claimAt())
	l.mu.Unlock()
	if free {
		l.claim(ctx)
	}
}

// lostContact restarts the wait for the end of another holder's lease, as the holder may have
// renewed it since the last successful read.
func (l *Lease) lostContact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.lastRecordAt = l.now()
	}
}

// claimAt returns when to claim the lease: claimLead before this daemon may act. An earlier claim
// would not let it act sooner, and would take the lease from a holder that recovers in time. The
// mutex is held.
func (l *Lease) claimAt() time.Time {
	waiting := safetyMargin + max(l.quietPeriod-claimLead, 0)
	switch {
	case l.nextOffset == 0 || l.lastRecord.Machine == l.machine:
		return l.lastRecordAt
	case l.lastRecord.Kind == resigned:
		return l.lastRecordAt.Add(waiting)
	}
	return l.lastRecordAt.Add(Duration + waiting)
}

// claimValidFrom returns from when on a claim made now lets this daemon act: when the calls of
// the previous holder must have ended and the quiet period after them is over. The mutex is held.
func (l *Lease) claimValidFrom() time.Time {
	switch {
	case l.nextOffset == 0 || l.lastRecord.Machine == l.machine && l.lastRecord.Active:
		return l.now()
	case l.lastRecord.Kind == resigned && l.lastRecord.Machine != l.machine:
		return l.lastRecordAt.Add(l.quietPeriod + safetyMargin)
	}
	return l.lastRecordAt.Add(Duration + safetyMargin + l.quietPeriod)
}

// claim appends a claim, on condition that no record was appended since the last read.
func (l *Lease) claim(ctx context.Context) {
	l.mu.Lock()
	end, before := l.nextOffset, l.lastRecord.Holder
	validFrom := l.claimValidFrom()
	l.validFrom = validFrom
	l.mu.Unlock()
	sent := l.now()
	appended, err := l.append(ctx, claimed, end)
	if err != nil {
		l.logger.Info("failed to claim lease", zap.String("from", before), zap.Error(err))
		periodic.Pause(ctx, retryDelay)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.fence, l.nextOffset = true, appended.Offset+1, appended.End
	l.lastRecord, l.lastRecordAt = record{Kind: claimed, Holder: l.self, Machine: l.machine}, l.now()
	l.validUntil = sent.Add(Duration)
	l.logger.Info("lease claimed", zap.Int64("fence", l.fence), zap.String("from", before),
		zap.Duration("act_in", validFrom.Sub(l.now())))
}
