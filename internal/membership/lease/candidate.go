package lease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

const (
	// safetyMargin is added to each wait for another's lease to be over.
	safetyMargin = 300 * time.Millisecond
	// claimLead is how long before it may act a successor claims the lease.
	claimLead = 300 * time.Millisecond
	// maxReadWait bounds the wait of a read for a record: one that was lost in an outage is
	// given up soon.
	maxReadWait = time.Second
)

// reclaim takes the lease back if the machine's last incarnation held it last.
func (l *Lease) reclaim(ctx context.Context) {
	l.watch(ctx)
	l.mu.Lock()
	looked := l.synced
	own := looked && l.nextOffset > 0 && l.lastRecord.Machine == l.machine
	l.reclaiming = !looked
	l.mu.Unlock()
	if own {
		l.claim(ctx)
	}
}

// invalidate drops what was read, as it is not kept up to date.
func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synced, l.lastRecordAt = false, time.Time{}
}

// watch reads the partition as a candidate and claims the lease once it must
// be free.
func (l *Lease) watch(ctx context.Context) {
	l.mu.Lock()
	from, seen := l.nextOffset, l.synced
	wait := time.Duration(0)
	if seen {
		wait = min(max(l.claimAt().Sub(l.now()), 0), maxReadWait)
	}
	l.mu.Unlock()
	began := l.now()
	records, err := l.read(ctx, from, wait)
	if err != nil {
		l.logger.Debug("lease not read", zap.Error(err))
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
	// The read was begun after the lease must have been over, or is repeated.
	free := !began.Before(l.claimAt())
	l.mu.Unlock()
	if free {
		l.claim(ctx)
	}
}

// lostContact restarts the wait for the end of another's lease: what was
// written meanwhile is not known.
func (l *Lease) lostContact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.lastRecordAt = l.now()
	}
}

// claimAt is when the lease should be claimed: just before the new holder may act. An
// earlier claim would only take it from a holder that comes back. The mutex is held.
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

// claimValidFrom is when a claim made now lets this daemon act: once all acts of the holder
// before it must be over. The mutex is held.
func (l *Lease) claimValidFrom() time.Time {
	switch {
	case l.nextOffset == 0 || l.lastRecord.Machine == l.machine && l.lastRecord.Active:
		return l.now()
	case l.lastRecord.Kind == resigned && l.lastRecord.Machine != l.machine:
		return l.lastRecordAt.Add(l.quietPeriod + safetyMargin)
	}
	return l.lastRecordAt.Add(Duration + safetyMargin + l.quietPeriod)
}

// claim appends a claim on condition that nothing was written since.
func (l *Lease) claim(ctx context.Context) {
	l.mu.Lock()
	end, before := l.nextOffset, l.lastRecord.Holder
	actFrom := l.claimValidFrom()
	l.validFrom = actFrom
	l.mu.Unlock()
	sent := l.now()
	appended, err := l.append(ctx, claimed, end)
	if err != nil {
		l.logger.Info("lease not claimed", zap.String("from", before), zap.Error(err))
		periodic.Pause(ctx, retryDelay)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.fence, l.nextOffset = true, appended.Offset+1, appended.End
	l.lastRecord, l.lastRecordAt = record{Kind: claimed, Holder: l.self, Machine: l.machine}, l.now()
	l.validUntil = sent.Add(Duration)
	l.logger.Info("lease claimed", zap.Int64("fence", l.fence), zap.String("from", before),
		zap.Duration("act_in", actFrom.Sub(l.now())))
}
