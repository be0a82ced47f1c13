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
	// stepInterval is the time between two looks for windows that are due.
	stepInterval = 200 * time.Millisecond
	// decideFraction is the part of the time until a report is due after which a window is
	// decided: counts of requests that took long, or of daemons that had lost the
	// journal, come by then, and a successor can still act in time.
	decideFraction = 0.4
	// minSteadyTime is how long the journal must have answered for a window to be decided:
	// just after an outage the daemons have still to write their counts.
	minSteadyTime = 1500 * time.Millisecond
	// forceFraction is the part of the time until a report is due after which a window is
	// decided in any case.
	forceFraction = 0.85
	// readTimeout bounds one read of the partition, readBytes its answer.
	readTimeout  = 1200 * time.Millisecond
	minReadBytes = 256 << 10
	// callTimeout bounds one call to the platform.
	callTimeout = 800 * time.Millisecond
)

// retryDelays are the pauses after calls that failed: at first a look's interval, at last so long that
// some tries are left between a decision and when the report is due (6 s where that is 10 s after
// the window).
var retryDelays = backoff.Bounds{First: 200 * time.Millisecond, Longest: 2 * time.Second}

// Reporter settles and reports the usage of windows while it may act.
type Reporter struct {
	journal journal.Journal
	lease   lease.Fencer
	driver  duty.Driver
	holder  string
	windows duty.Windows
	clock   *wallclock.Clock
	logger  *zap.Logger

	state      *state
	nextOffset int64
	// lastFailure is when the journal last did not answer, or this daemon could not act.
	lastFailure time.Time
	// retryBackoff is the pause after calls that failed.
	retryBackoff backoff.Rest
	// Reported counts the reports that the platform took from this daemon, Failed the calls to
	// report that failed.
	Reported, Failed atomic.Uint64
}

// NewReporter returns a reporter that acts in the name of holder.
func NewReporter(log journal.Journal, l lease.Fencer, driver duty.Driver, holder string,
	windows duty.Windows, clock *wallclock.Clock, logger *zap.Logger) *Reporter {
	return &Reporter{
		journal: log, lease: l, driver: driver, holder: holder, windows: windows, clock: clock, logger: logger,
		state: newState(),
	}
}

// Run settles and reports until the context ends.
func (r *Reporter) Run(ctx context.Context) { periodic.Every(ctx, stepInterval, r.step) }

// step does what is due now, if the lease lets this daemon act.
func (r *Reporter) step(ctx context.Context) {
	if _, _, may := r.lease.Fence(); !may {
		// The lease lapses in an outage of the journal, in which nothing may be asked
		// of it here.
		r.lastFailure = time.Now()
		return
	}
	// The counts are worth a look as long as nothing was read, or once a window has ended long
	// enough ago.
	if (r.nextOffset == 0 || r.timeSinceEnd() >= r.fractionOfDue(decideFraction)) && r.readToEnd(ctx) {
		r.decide(ctx, time.Now())
	}
	r.report(ctx)
}

// nextWindow returns the window to decide next. Before any was decided it is the oldest
// that something was counted in, or the present one.
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

// timeSinceEnd returns how long ago the next window ended.
func (r *Reporter) timeSinceEnd() time.Duration {
	return r.clock.Now().Sub(windowEnd(r.nextWindow(), r.windows))
}

func (r *Reporter) fractionOfDue(part float64) time.Duration {
	return time.Duration(part * float64(r.windows.Due))
}

// decide settles the next window if it is time. It does one at a time, so that reports
// are not held up by many.
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
		// What the journal holds decides: another daemon may have been first.
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

// readToEnd folds all that the partition holds now, and reports whether it could.
func (r *Reporter) readToEnd(ctx context.Context) bool {
	for ctx.Err() == nil {
		end, err := r.readOnce(ctx)
		var trimmed *journal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			r.logger.Info("usage trimmed before it was read", zap.Int64("offset", r.nextOffset), zap.Int64("first", trimmed.First))
			r.nextOffset = trimmed.First
		case err != nil:
			r.lastFailure = time.Now()
			r.logger.Info("usage not read", zap.Int64("offset", r.nextOffset), zap.Error(err))
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
			r.logger.Warn("usage record passed over", zap.Int64("offset", r.nextOffset), zap.Error(err))
		}
		r.nextOffset++
	}
	return read.End, nil
}

// report calls the platform for the windows that are decided, the oldest first.
func (r *Reporter) report(ctx context.Context) {
	for _, window := range r.state.unreported() {
		if !r.retryBackoff.Over(time.Now()) || !r.reportOne(ctx, window) {
			return
		}
	}
}

// reportOne makes one call and reports whether the platform took it.
func (r *Reporter) reportOne(ctx context.Context, window int64) bool {
	requests := r.state.decided[window]
	fence, err := lease.Act(ctx, r.lease, callTimeout, func(ctx context.Context, fence int64) error {
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
	// A call that was refused would be refused again: its window is done with.
	if err != nil && !errors.Is(err, duty.ErrRefused) {
		r.retryBackoff.Failed(retryDelays, time.Now())
		return false
	}
	r.retryBackoff.Succeeded()
	r.state.reported[window] = true
	if err := r.append(ctx, record{Kind: kindReported, Window: window}); err != nil {
		r.logger.Info("report not noted, a successor may repeat it", zap.Int64("window", window), zap.Error(err))
	}
	return true
}
