package usage

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/daemon/wallclock"
	"woodworks/internal/journal"
	"woodworks/internal/membership/duty"
	"woodworks/internal/membership/lease"
)

const (
	// stepInterval is the time between checks for windows to decide or report.
	stepInterval = 200 * time.Millisecond
	// decideFraction is the fraction of UsageSchedule.DueAfter after which a window is decided. Counts of
	// long requests, or of daemons that lost the journal, can arrive until then, and another
	// daemon that takes over the lease can still report in time.
	decideFraction = 0.4
	// minSteadyTime is the time since the last failure after which a window is decided: right
	// after an outage of the journal the daemons have yet to write their counts.
	minSteadyTime = 1500 * time.Millisecond
	// forceFraction is the fraction of UsageSchedule.DueAfter after which a window is decided even if the
	// last failure is more recent than minSteadyTime.
	forceFraction = 0.85
	// readTimeout bounds one read of the partition. minReadBytes is the size limit of its answer,
	// unless a single record can be larger.
	readTimeout  = 1200 * time.Millisecond
	minReadBytes = 256 << 10
	// callTimeout bounds one call to the platform.
	callTimeout = 800 * time.Millisecond
)

// retryDelays bound the delay after failed calls to the platform: short enough for several
// attempts between a decision and the time when the report is due.
var retryDelays = backoff.Bounds{First: 200 * time.Millisecond, Longest: 2 * time.Second}

// Reporter decides the usage of windows and reports it to the platform while this daemon holds the
// lease. Its methods must not be called concurrently.
type Reporter struct {
	journal journal.Journal
	lease   lease.Fencer
	driver  duty.Driver
	holder  string
	windows duty.UsageSchedule
	clock   *wallclock.Clock
	logger  *zap.Logger

	state *state
	// nextOffset is the offset of the next record to read.
	nextOffset int64
	// lastFailure is the last time that a call to the journal failed or this daemon didn't hold
	// the lease.
	lastFailure time.Time
	// retryBackoff delays calls to the platform after failures.
	retryBackoff backoff.Rest
	// Reported counts the reports of this daemon that the platform accepted, Failed the calls
	// that failed. Both may be read concurrently.
	Reported, Failed atomic.Uint64
}

// NewReporter returns a reporter that reports to driver with the lease l, under the name holder.
func NewReporter(log journal.Journal, l lease.Fencer, driver duty.Driver, holder string,
	windows duty.UsageSchedule, clock *wallclock.Clock, logger *zap.Logger) *Reporter {
	return &Reporter{
		journal: log, lease: l, driver: driver, holder: holder, windows: windows, clock: clock, logger: logger,
		state: newState(),
	}
}

// Run decides and reports windows until the context ends.
func (r *Reporter) Run(ctx context.Context) { periodic.Every(ctx, stepInterval, r.step) }

// step decides and reports the windows that are due, if this daemon holds the lease.
func (r *Reporter) step(ctx context.Context) {
	if _, _, held := r.lease.Fence(); !held {
		// The lease also expires in an outage of the journal, which this reporter may not
		// notice by itself, as it makes no calls meanwhile.
		r.lastFailure = time.Now()
		return
	}
	// A read is needed only until the first one succeeds and when the next window can be decided.
	if (r.nextOffset == 0 || r.timeSinceEnd() >= r.fractionOfDue(decideFraction)) && r.readToEnd(ctx) {
		r.decide(ctx, time.Now())
	}
	r.report(ctx)
}

// nextWindow returns the window to decide next. If none was decided, it is the oldest one with
// counts, at most the current one.
func (r *Reporter) nextWindow() int64 {
	if r.state.anyDecided {
		return r.state.lastDecided + 1
	}
	first := windowOf(r.clock.Now(), r.windows)
	for window := range r.state.counts {
		first = min(first, window)
	}
	return first
}

// timeSinceEnd returns the time since the end of the next window to decide, negative before it.
func (r *Reporter) timeSinceEnd() time.Duration {
	return r.clock.Now().Sub(windowEnd(r.nextWindow(), r.windows))
}

// fractionOfDue returns a fraction of the time from a window's end until its report is due.
func (r *Reporter) fractionOfDue(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.windows.DueAfter))
}

// decide appends the decision of the next window if it is time for it, and reads it back. It
// decides at most one window, so that many windows don't delay the reports.
func (r *Reporter) decide(ctx context.Context, now time.Time) {
	since := r.timeSinceEnd()
	steady := now.Sub(r.lastFailure) >= minSteadyTime
	if since < r.fractionOfDue(decideFraction) || !steady && since < r.fractionOfDue(forceFraction) {
		return
	}
	window := r.nextWindow()
	requests := r.state.counts[window]
	if requests == nil {
		requests = map[string]int64{}
	}
	err := r.append(ctx, record{Kind: kindDecided, Window: window, Requests: requests})
	r.logger.Info("usage decided", zap.Int64("window", window), zap.Int64("requests", totalRequests(requests)),
		zap.Int("tenants", len(requests)), zap.Stringer("counts", tenantCounts(requests)), zap.Int("runs", len(r.state.senders)),
		zap.Int64("counted_late", r.state.lateRequests), zap.Duration("after", since), zap.Bool("steady", steady), zap.Error(err))
	if err == nil {
		// Another daemon may have decided the window first: the first decision in the
		// journal applies.
		r.readToEnd(ctx)
	}
}

func (r *Reporter) append(ctx context.Context, rec record) error {
	err := journal.AppendWithTimeout(ctx, r.journal, appendTimeout, Partition, encode(rec))
	if err != nil {
		r.lastFailure = time.Now()
	}
	return err
}

// readToEnd applies the records up to the partition's current end, and reports whether it got
// there.
func (r *Reporter) readToEnd(ctx context.Context) bool {
	for ctx.Err() == nil {
		end, err := r.readOnce(ctx)
		var trimmed *journal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			r.logger.Info("usage records trimmed before they were read", zap.Int64("offset", r.nextOffset), zap.Int64("first", trimmed.First))
			r.nextOffset = trimmed.First
		case err != nil:
			r.lastFailure = time.Now()
			r.logger.Info("failed to read usage", zap.Int64("offset", r.nextOffset), zap.Error(err))
			return false
		case r.nextOffset >= end:
			return true
		}
	}
	return false
}

func (r *Reporter) readOnce(ctx context.Context) (end int64, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read, err := r.journal.Read(bounded, journal.Read{Partition: Partition, From: r.nextOffset,
		MaxBytes: max(minReadBytes, r.journal.MaxRecordBytes())})
	if err != nil {
		return 0, err
	}
	for _, encoded := range read.Records {
		if err := r.state.apply(encoded); err != nil {
			r.logger.Warn("malformed usage record skipped", zap.Int64("offset", r.nextOffset), zap.Error(err))
		}
		r.nextOffset++
	}
	return read.End, nil
}

// report reports the decided windows to the platform, oldest first, until a call fails.
func (r *Reporter) report(ctx context.Context) {
	for _, window := range r.state.unreported() {
		if !r.retryBackoff.Over(time.Now()) || !r.reportOne(ctx, window) {
			return
		}
	}
}

// reportOne reports one window, and returns whether its reporting is finished: the platform
// accepted or refused the report.
func (r *Reporter) reportOne(ctx context.Context, window int64) bool {
	requests := r.state.decided[window]
	fence, err := lease.Do(ctx, r.lease, callTimeout, func(ctx context.Context, fence int64) error {
		authority := duty.Authority{Holder: r.holder, Fence: fence}
		return r.driver.ReportUsage(ctx, authority, duty.Usage{Window: window, Requests: requests})
	})
	if errors.Is(err, lease.ErrNotHeld) {
		return false
	}
	r.logger.Info("usage reported", zap.Int64("window", window), zap.Int64("fence", fence),
		zap.Int64("requests", totalRequests(requests)), zap.Duration("after", r.clock.Now().Sub(windowEnd(window, r.windows))),
		zap.Int("failures_before", r.retryBackoff.Failures()), zap.Error(err))
	if err == nil {
		r.Reported.Add(1)
	} else {
		r.Failed.Add(1)
	}
	// A refused report would be refused again, so its window counts as reported.
	if err != nil && !errors.Is(err, duty.ErrRefused) {
		r.retryBackoff.Failed(retryDelays, time.Now())
		return false
	}
	r.retryBackoff.Succeeded()
	r.state.reported[window] = true
	if err := r.append(ctx, record{Kind: kindReported, Window: window}); err != nil {
		r.logger.Info("failed to record the report, it may be repeated", zap.Int64("window", window), zap.Error(err))
	}
	return true
}
