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
	// minFlushInterval is the least time between two appends of a daemon's counts: what a
	// killed daemon loses, against the journal's writes.
	minFlushInterval = 200 * time.Millisecond
	// maxFlushInterval bounds the time between two appends that fail, which doubles with each
	// one in a row: the journal that comes back gets the counts within it.
	maxFlushInterval = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 1200 * time.Millisecond
)

// Recorder counts the requests that one daemon sends to replicas. It is safe for
// concurrent use.
type Recorder struct {
	journal     journal.Journal
	self        string
	windows     duty.Windows
	minInterval journal.Interval
	clock       *wallclock.Clock
	logger      *zap.Logger

	mu     sync.Mutex
	counts map[int64]map[string]int64
	// lastNumber is that of the last record that was made. sending, if not nil, is that
	// record while its outcome is not known: it is sent again as it is, so that it
	// counts once.
	lastNumber    int64
	pendingRecord []byte
	// pendingCounts are the counts of sending, unlogged those that were written and not logged.
	pendingCounts, unlogged map[int64]map[string]int64
	// flushMu is held by the one who sends.
	flushMu sync.Mutex
}

// NewRecorder returns a recorder for an incarnation of a daemon. MinInterval is the least
// time between two appends that the journal's grants allow.
func NewRecorder(log journal.Journal, self string, windows duty.Windows, minInterval journal.Interval,
	clock *wallclock.Clock, logger *zap.Logger) *Recorder {
	return &Recorder{
		journal: log, self: self, windows: windows, minInterval: minInterval, clock: clock, logger: logger,
		counts: map[int64]map[string]int64{}, unlogged: map[int64]map[string]int64{},
	}
}

// CountRequest counts a request of a tenant that was sent to a replica at a moment of the
// steady clock.
func (r *Recorder) CountRequest(tenant string, at time.Time) {
	if tenant == "" {
		return
	}
	window := windowOf(r.clock.Now().Add(-r.clock.Since(at)), r.windows)
	r.mu.Lock()
	defer r.mu.Unlock()
	addTo(r.counts, window, map[string]int64{tenant: 1})
}

// Run appends what was counted until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	pause := minFlushInterval
	periodic.Repeat(ctx, func(ctx context.Context) time.Duration {
		err := r.flush(ctx)
		r.logEndedWindows(r.clock.Now())
		if err == nil {
			pause = minFlushInterval
		} else {
			pause = min(2*pause, maxFlushInterval)
		}
		return max(r.minInterval(), pause)
	})
}

// Flush appends what was counted so far and logs all that was written: it is for the end
// of a daemon. After an error the counts may not be in the journal; the next call sends them
// again.
func (r *Recorder) Flush(ctx context.Context) error {
	err := r.flush(ctx)
	if err == nil {
		r.logEndedWindows(r.clock.Now().Add(r.windows.Length))
	}
	return err
}

func (r *Recorder) flush(ctx context.Context) error {
	r.flushMu.Lock()
	defer r.flushMu.Unlock()
	encoded := r.recordToSend()
	if encoded == nil {
		return nil
	}
	if err := journal.AppendWithTimeout(ctx, r.journal, appendTimeout, Partition, encoded); err != nil {
		r.logger.Info("usage not written", zap.Int64("number", r.lastNumber),
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

// recordToSend returns the record to send, nil if nothing was counted.
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
