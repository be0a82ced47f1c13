package lease

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// renew appends a renewal. Only an acknowledged one moves the end of the lease.
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
	// A renewal without an answer is sent again on the same condition, so that
	// one of the two counts; where the condition fails, the journal tells why.
	if errors.Is(err, journal.ErrPosition) {
		l.resolveConflict(ctx)
		return
	}
	if ctx.Err() == nil {
		l.logger.Info("lease not renewed", zap.Int64("fence", l.fence), zap.Error(err))
	}
}

// resolveConflict reads what stands where a renewal should: an earlier one of this
// holder, or another's claim, by which the lease is lost.
func (l *Lease) resolveConflict(ctx context.Context) {
	l.mu.Lock()
	from := l.nextOffset
	l.mu.Unlock()
	records, err := l.read(ctx, from, 0)
	if err != nil {
		// The next renewal fails on the same condition, and comes here again.
		l.logger.Info("lease not settled", zap.Int64("fence", l.fence), zap.Error(err))
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

// Withdraw says that this daemon is about to end: it claims the lease no more.
// If it may act it goes on until it resigns, as a successor could not act for
// the quiet time, and its machine's next incarnation can at once.
func (l *Lease) Withdraw(ctx context.Context) {
	l.mu.Lock()
	l.resigning, l.candidate = true, false
	idle := l.held && l.now().Before(l.validFrom)
	l.mu.Unlock()
	if idle {
		l.Resign(ctx)
	}
}

// Resign gives the lease up, if it is held, so that a successor need not wait
// for its end. This daemon acts no more from the call on.
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

// appendResignation appends the resignation, once more if a renewal that was
// under way came between.
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
