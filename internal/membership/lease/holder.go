package lease

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// renew appends a renewal. The end of the lease moves only if the append is acknowledged, and
// counts from when it was sent.
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
	// After a renewal whose outcome is unknown the next one has the same condition, so that at
	// most one of them is appended. If the condition fails, the partition shows why.
	if errors.Is(err, journal.ErrPosition) {
		l.resolveConflict(ctx)
		return
	}
	if ctx.Err() == nil {
		l.logger.Info("failed to renew lease", zap.Int64("fence", l.fence), zap.Error(err))
	}
}

// resolveConflict reads the records that made the condition of an append fail. They are earlier
// records of this holder that were not acknowledged, or the claim of another, by which the lease
// is lost.
func (l *Lease) resolveConflict(ctx context.Context) {
	l.mu.Lock()
	from := l.nextOffset
	l.mu.Unlock()
	records, err := l.read(ctx, from, 0)
	if err != nil {
		// The next renewal fails on the same condition, and the read is repeated.
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

// Withdraw announces that this daemon is about to stop. From now on it doesn't claim the lease.
// If it may act already, it keeps the lease until Resign: a successor would have to wait for the
// quiet period, while the next incarnation on this machine can act at once. If it holds the lease
// but may not act yet, it resigns.
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
// From the call on this daemon neither acts nor claims the lease.
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

// appendResignation appends the resignation. It tries a second time if another record, such as a
// renewal sent before, made the condition of the first append fail.
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
