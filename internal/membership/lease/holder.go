package lease

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// renew appends a renewal. Only if the append is acknowledged is the end of the lease moved, to
// Duration after the append was sent.
func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	end := l.nextOffset
	l.mu.Unlock()
	sent := l.now()
	appended, err := l.append(ctx, renewed, end)
	if err == nil {
		l.mu.Lock()
		l.nextOffset = appended.End
		l.validUntil = sent.Add(Duration)
		l.mu.Unlock()
		return
	}
	// If the outcome of a renewal is unknown, the next renewal has the same condition, so that
	// at most one of them is appended. If the condition fails, the records in the partition
	// show why.
	if errors.Is(err, journal.ErrPosition) {
		l.resolveConflict(ctx)
		return
	}
	if ctx.Err() == nil {
		l.logger.Info("failed to renew lease", zap.Int64("fence", l.fence), zap.Error(err))
	}
}

// resolveConflict reads the records that made the condition of an append fail. They are either
// earlier records of this holder that were not acknowledged, or the claim of another holder,
// which means that the lease is lost.
func (l *Lease) resolveConflict(ctx context.Context) {
	l.mu.Lock()
	from := l.nextOffset
	l.mu.Unlock()
	records, err := l.read(ctx, from, 0)
	if err != nil {
		// The condition of the next renewal fails again, and then the read is repeated.
		l.logger.Info("failed to read conflicting lease records", zap.Int64("fence", l.fence), zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.nextOffset++
		l.lastRecord, l.lastRecordAt, l.synced = r, l.now(), true
		if r.Holder != l.self && l.held {
			l.held = false
			l.logger.Info("lease lost", zap.Int64("fence", l.fence), zap.String("to", r.Holder))
		}
	}
}

// Withdraw announces that this daemon is about to stop. From then on the daemon doesn't claim
// the lease. If it may already act under the lease, it keeps the lease until Resign is called: a
// successor would have to wait for the quiet period, while the next incarnation on this machine
// can act at once. If it holds the lease but may not act yet, Withdraw resigns.
func (l *Lease) Withdraw(ctx context.Context) {
	l.mu.Lock()
	l.resigning, l.candidate = true, false
	idle := l.held && l.now().Before(l.validFrom)
	l.mu.Unlock()
	if idle {
		l.Resign(ctx)
	}
}

// Resign gives up the lease if it is held, so that a successor need not wait until it expires.
// As soon as Resign is called, this daemon neither acts under the lease nor claims it.
func (l *Lease) Resign(ctx context.Context) {
	l.mu.Lock()
	held, fence := l.held, l.fence
	l.held, l.resigning, l.candidate = false, true, false
	l.mu.Unlock()
	if !held {
		return
	}
	err := l.appendResignation(ctx)
	l.logger.Info("lease resigned", zap.Int64("fence", fence), zap.Error(err))
}

// appendResignation appends the resignation. If the condition of the append fails because of
// another record, such as a renewal sent earlier, it tries once more.
func (l *Lease) appendResignation(ctx context.Context) error {
	for again := true; ; again = false {
		l.mu.Lock()
		end := l.nextOffset
		l.mu.Unlock()
		_, err := l.append(ctx, resigned, end)
		if !again || !errors.Is(err, journal.ErrPosition) {
			return err
		}
		l.resolveConflict(ctx)
	}
}
