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
	// claimLead is the time by which a successor claims the lease before it may act.
	claimLead = 300 * time.Millisecond
	// maxReadWait bounds how long a read waits for a new record, so that a read lost in an
	// outage is given up soon.
	maxReadWait = time.Second
)

// reclaim reads the partition and claims the lease at once if its last record was written on
// this machine, that is by an earlier incarnation of this daemon. It is repeated until a read
// succeeds.
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

// invalidate marks the state read from the partition as outdated, since a daemon that is no
// candidate doesn't read further records.
func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synced, l.lastRecordAt = false, time.Time{}
}

// watch makes one read of the partition for a candidate. The read waits for new records until
// the lease may be claimed, but at most for maxReadWait. If there is no new record and the lease
// may be claimed, watch claims it.
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
	// Only a read that began at claimAt or later shows that the holder has not renewed the lease
	// in time. After a read that began earlier, the caller calls watch again.
	free := !began.Before(l.claimAt())
	l.mu.Unlock()
	if free {
		l.claim(ctx)
	}
}

// lostContact restarts the wait for the end of another holder's lease after a failed read, as
// the holder may have renewed the lease since the last successful read.
func (l *Lease) lostContact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.lastRecordAt = l.now()
	}
}

// claimAt returns the time at which to claim the lease: claimLead before this daemon may act. An
// earlier claim would not let this daemon act sooner, and would take the lease from a holder
// that recovers in time. The mutex must be held.
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

// claimValidFrom returns the time from which a claim made now lets this daemon act. By then the
// calls of the previous holder must have ended and the quiet period after them must be over. The
// mutex must be held.
func (l *Lease) claimValidFrom() time.Time {
	switch {
	case l.nextOffset == 0 || l.lastRecord.Machine == l.machine && l.lastRecord.Active:
		return l.now()
	case l.lastRecord.Kind == resigned && l.lastRecord.Machine != l.machine:
		return l.lastRecordAt.Add(l.quietPeriod + safetyMargin)
	}
	return l.lastRecordAt.Add(Duration + safetyMargin + l.quietPeriod)
}

// claim appends a claim, on condition that no record was appended since the last read. If that
// succeeds, this daemon holds the lease, and may act from claimValidFrom on.
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
