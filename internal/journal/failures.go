package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

const (
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 150 * time.Millisecond
	// lostThreshold is how long reads must have failed before the partition is logged as lost. A
	// single failed read is thereby not logged.
	lostThreshold = 500 * time.Millisecond
	// throttledBackoff is the backoff after the first throttled read. The backoff doubles with
	// each further throttled read in a row, up to maxIntervalFraction of the contact bound.
	throttledBackoff = 100 * time.Millisecond
	// maxBackoffDoublings limits how often throttledBackoff is doubled.
	maxBackoffDoublings = 6
)

// failureStreak describes the failed reads since the last successful one.
type failureStreak struct {
	// since is when the first failed read began.
	since time.Time
	count int
	// throttled counts the consecutive reads, up to the latest one, that failed with a
	// ThrottledError.
	throttled int
	// logged reports whether "dependency lost" has been logged for this streak.
	logged bool
}

// recordSuccess records that the journal answered, and ends the current streak of failures.
func (f *KeyedFollower) recordSuccess() {
	f.lastContact.Record()
	if f.failures.logged {
		f.logger.Info("dependency regained", zap.Duration("after", time.Since(f.failures.since)),
			zap.Int("failures", f.failures.count))
	}
	f.failures = failureStreak{}
}

// handleFailure counts a failed read that began at start, logs the streak once it has lasted for
// lostThreshold, and waits before the next read. It does nothing if ctx has ended.
func (f *KeyedFollower) handleFailure(ctx context.Context, start time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	streak := &f.failures
	if streak.count == 0 {
		streak.since = start
	}
	streak.count++
	if !streak.logged && time.Since(streak.since) >= lostThreshold {
		streak.logged = true
		f.logger.Warn("dependency lost", zap.Int("failures", streak.count),
			zap.Duration("for", time.Since(streak.since)), zap.Error(err))
	}
	periodic.Pause(ctx, f.retryDelay(err))
}

// retryDelay returns how long to wait after a read failed with err, and updates the count of
// throttled reads.
func (f *KeyedFollower) retryDelay(err error) time.Duration {
	var throttled *ThrottledError
	if !errors.As(err, &throttled) {
		f.failures.throttled = 0
		return readRetryDelay
	}
	backoff := min(throttledBackoff<<min(f.failures.throttled, maxBackoffDoublings), f.maxInterval)
	f.failures.throttled++
	// A random delay between 0.5 and 1.5 times the backoff, so that daemons that were throttled
	// together do not retry together.
	return backoff/2 + rand.N(backoff+1)
}
