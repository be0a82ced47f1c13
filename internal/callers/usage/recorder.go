package usage

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/daemon/wallclock"
	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
)

const (
	// minFlushInterval is the minimum time between appends of a daemon's counts. A killed daemon
	// loses the counts of about this time; a shorter one costs the journal more writes.
	minFlushInterval = 200 * time.Millisecond
	// maxFlushInterval bounds the time between appends, which doubles with each consecutive
	// failure. After an outage of the journal the counts are appended within this time.
	maxFlushInterval = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 1200 * time.Millisecond
)

// Recorder counts the requests that one daemon sends to replicas and appends the counts to
// Partition. It is safe for concurrent use.
type Recorder struct {
	journal     journal.Journal
	self        string
	windows     duty.UsageSchedule
	minInterval journal.Interval
	clock       *wallclock.Clock
	logger      *zap.Logger

	mu sync.Mutex
	// counts has the requests by window and tenant that are in no record yet.
	counts map[int64]map[string]int64
	// lastNumber is the number of the last record that was created. pendingRecord is that record
	// until its append succeeds, otherwise nil. After an append whose outcome is not known it is
	// appended again unchanged, so that the fold counts it once.
	lastNumber    int64
	pendingRecord []byte
	// pendingCounts has the counts of pendingRecord by window and tenant. unlogged has the counts
	// by window and tenant that are in the journal but in no log line yet.
	pendingCounts, unlogged map[int64]map[string]int64
	// flushMu is held during an append, so that there is one at a time. It is locked before mu.
	flushMu sync.Mutex
}

// NewRecorder returns a recorder for the incarnation self of a daemon. The function minInterval
// returns the minimum time between appends that the journal's grants allow.
func NewRecorder(log journal.Journal, self string, windows duty.UsageSchedule, minInterval journal.Interval,
	clock *wallclock.Clock, logger *zap.Logger) *Recorder {
	return &Recorder{
		journal: log, self: self, windows: windows, minInterval: minInterval, clock: clock, logger: logger,
		counts: map[int64]map[string]int64{}, unlogged: map[int64]map[string]int64{},
	}
}

// CountRequest counts a request of a tenant in the window in which it was sent to a replica. The
// time at must have a monotonic clock reading. Nothing is counted if tenant is empty.
func (r *Recorder) CountRequest(tenant string, at time.Time) {
	if tenant == "" {
		return
	}
	window := windowOf(r.clock.Now().Add(-r.clock.Since(at)), r.windows)
	r.mu.Lock()
	defer r.mu.Unlock()
	addTo(r.counts, window, map[string]int64{tenant: 1})
}

// Run appends and logs the counts at intervals until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	interval := minFlushInterval
	periodic.Repeat(ctx, func(ctx context.Context) time.Duration {
		err := r.flush(ctx)
		r.logEndedWindows(r.clock.Now())
		if err == nil {
			interval = minFlushInterval
		} else {
			interval = min(2*interval, maxFlushInterval)
		}
		return max(r.minInterval(), interval)
	})
}

// Flush appends all counts and logs those that were written, including windows that haven't
// ended. It is for the shutdown of a daemon. After an error the counts may or may not be in the
// journal; the next call appends the same record again.
func (r *Recorder) Flush(ctx context.Context) error {
	err := r.flush(ctx)
	if err == nil {
		r.logEndedWindows(r.clock.Now().Add(r.windows.WindowLength))
	}
	return err
}

// flush appends the pending record or, if there is none, a new one with all counts.
func (r *Recorder) flush(ctx context.Context) error {
	r.flushMu.Lock()
	defer r.flushMu.Unlock()
	encoded := r.recordToSend()
	if encoded == nil {
		return nil
	}
	if err := journal.AppendWithTimeout(ctx, r.journal, appendTimeout, Partition, encoded); err != nil {
		r.logger.Info("failed to write usage counts", zap.Int64("number", r.lastNumber),
			zap.Bool("certain", errors.Is(err, journal.ErrNotDone)), zap.Error(err))
		return errors.Wrap(err, "usage: counts not written")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for window, requests := range r.pendingCounts {
		addTo(r.unlogged, window, requests)
	}
	r.pendingRecord, r.pendingCounts = nil, nil
	return nil
}

// recordToSend returns the encoded record to append: the pending one, or a new one that becomes
// pending. It returns nil if there are no counts.
func (r *Recorder) recordToSend() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingRecord != nil {
		return r.pendingRecord
	}
	if len(r.counts) == 0 {
		return nil
	}
	r.lastNumber++
	r.pendingRecord = encode(record{Kind: kindCounted, Sender: r.self, Number: r.lastNumber, Counts: r.counts})
	r.pendingCounts, r.counts = r.counts, map[int64]map[string]int64{}
	return r.pendingRecord
}
