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
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 150 * time.Millisecond
	// lostThreshold is for how long reads must fail until a partition counts as
	// disconnected: a single refusal says nothing of it.
	lostThreshold = 500 * time.Millisecond
	// throttledBackoff is the first pause after a read that was throttled. It doubles
	// with each one in a row, up to maxIntervalShare of the contact bound.
	throttledBackoff = 100 * time.Millisecond
	// maxBackoffDoublings bounds the doublings of a pause.
	maxBackoffDoublings = 6
)

// failureStreak is a row of failed reads.
type failureStreak struct {
	since time.Time
	count int
	// throttled counts those at the end of the row that were refused for their rate.
	throttled int
	// logged says that the row has a line in the log.
	logged bool
}

// recordSuccess ends a row of failures, if there is one.
func (f *KeyedFollower) recordSuccess() {
	f.lastContact.Record()
	if f.failures.logged {
		f.logger.Info("dependency regained", zap.Duration("after", time.Since(f.failures.since)),
			zap.Int("failures", f.failures.count))
	}
	f.failures = failureStreak{}
}

// handleFailure logs a row of failures once it is long enough, and pauses. Began is when
// the failed read did.
func (f *KeyedFollower) handleFailure(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	row := &f.failures
	if row.count == 0 {
		row.since = began
	}
	row.count++
	if !row.logged && time.Since(row.since) >= lostThreshold {
		row.logged = true
		f.logger.Warn("dependency lost", zap.Int("failures", row.count),
			zap.Duration("for", time.Since(row.since)), zap.Error(err))
	}
	periodic.Pause(ctx, f.retryDelay(err))
}

// retryDelay returns how long to wait after a failed read.
func (f *KeyedFollower) retryDelay(err error) time.Duration {
	var throttled *ThrottledError
	if !errors.As(err, &throttled) {
		f.failures.throttled = 0
		return readRetryDelay
	}
	pause := min(throttledBackoff<<min(f.failures.throttled, maxBackoffDoublings), f.maxInterval)
	f.failures.throttled++
	// Between a half and one and a half of that, so that daemons that were refused at the same
	// moment do not come back together.
	return pause/2 + rand.N(pause+1)
}
