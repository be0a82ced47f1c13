package modelsync

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/backoff"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/membership/lease"
	"woodworks/internal/replicas/engine"
)

const (
	// callTimeout bounds one call to an engine.
	callTimeout = 400 * time.Millisecond
	// initialLoadTime is the expected time of a change of weights before one has been measured.
	initialLoadTime = 800 * time.Millisecond
	// pollInterval is the time between two polls of an engine that is loading.
	pollInterval = 200 * time.Millisecond
	// loadTimeout bounds a change. A change that takes longer ends with an error and may be
	// ordered again.
	loadTimeout = 8 * time.Second
	// maxWaitOverrun is how much later than requested a wait may end before the process counts as
	// stalled. Timers of an overloaded machine are late by less.
	maxWaitOverrun = 400 * time.Millisecond
)

// Errors of a change.
var (
	// errRestarted is returned if the engine that answers is a different incarnation than the one
	// to be changed. Its versions and its count of orders are unrelated to the expected ones.
	errRestarted = errors.New("modelsync: engine has restarted")
	// errIdle is returned if the engine neither holds nor loads the version.
	errIdle = errors.New("modelsync: engine neither holds nor loads the version")
	// errLoadTimeout is returned if the engine does not hold the version in time. The engine may
	// still be loading the version.
	errLoadTimeout = errors.New("modelsync: engine did not load the version in time")
)

// changeBackoff bounds the delay before an engine is changed again after a failure. The delay
// grows with consecutive failures, as changes of unreachable engines count against the load limit.
var changeBackoff = backoff.Bounds{First: 100 * time.Millisecond, Longest: 2 * time.Second}

// runChange brings one engine to a version and waits until the engine holds it. state is the state
// of the incarnation to be changed; by the end of the change, s.engines may hold the state of
// another incarnation.
func (s *Syncer) runChange(ctx context.Context, c change, state *engineState) {
	began := time.Now()
	err := s.changeWeights(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadsInProgress--
	state.loading = false
	if err == nil {
		state.backoff.Succeeded()
	} else {
		state.backoff.Failed(changeBackoff, time.Now())
	}
	s.logger.Info("weight change ended", zap.String("replica", c.replica.ID), zap.String("model", c.model),
		zap.Int64("version", c.version), zap.Duration("took", time.Since(began)), zap.Error(err))
}

// changeWeights orders the version from the engine, unless the engine already holds it, and waits
// until the engine holds it.
func (s *Syncer) changeWeights(ctx context.Context, c change) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := s.fetchReport(bounded, c)
	if err != nil {
		return err
	}
	if report.Versions[c.model] >= c.version {
		return nil
	}
	if report.Busy {
		return errors.Wrap(engine.ErrConflict, "engine is busy with another order")
	}
	if err := s.sendOrder(bounded, c, report); err != nil {
		return err
	}
	return s.awaitChange(bounded, c)
}

// awaitChange polls an engine that has accepted an order until it holds the version.
func (s *Syncer) awaitChange(ctx context.Context, c change) error {
	ordered := time.Now()
	detector := stallDetector{now: bootclock.Now}
	detector.wait(ctx, s.estimateLoadTime())
	for ctx.Err() == nil {
		report, err := s.fetchReport(ctx, c)
		if err == nil && report.Versions[c.model] >= c.version {
			if !detector.stalled {
				s.recordLoadTime(ordered, time.Now())
			}
			return nil
		}
		if errors.Is(err, errRestarted) {
			return err
		}
		if err == nil && !report.Busy && time.Since(ordered) > 2*s.estimateLoadTime() {
			return errIdle
		}
		detector.wait(ctx, pollInterval)
	}
	return errLoadTimeout
}

// estimateLoadTime returns how long a change should take, which is the wait before the first poll.
// It is at most maxNormalLoadTime: no change is measured as shorter than this wait, and without
// the limit an estimate that is too long would never be corrected.
func (s *Syncer) estimateLoadTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.limiter.maxNormalLoadTime(); limit > 0 {
		return min(s.expectedLoadTime, limit)
	}
	return s.expectedLoadTime
}

// recordLoadTime updates the load limiter and the expected load time with a change that took from
// ordered to now. The expected load time is kept slightly low, as a late poll costs time and an
// early one only a call.
func (s *Syncer) recordLoadTime(ordered, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := now.Sub(ordered)
	s.limiter.record(ordered, now)
	s.expectedLoadTime += (took - s.expectedLoadTime) / 4
	s.expectedLoadTime -= pollInterval / 8
}

// fetchReport returns an engine's report and records the reported versions in the table. It
// returns errRestarted if another incarnation answers.
func (s *Syncer) fetchReport(ctx context.Context, c change) (engine.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.Driver.Report(bounded, c.replica)
	if err != nil {
		return engine.Report{}, err
	}
	if !s.Table.ObserveStart(c.replica, report.StartedAt) {
		return engine.Report{}, errRestarted
	}
	for model, version := range report.Versions {
		s.Table.ObserveVersion(c.replica.Incarnation(), model, version)
	}
	return report, nil
}

// sendOrder sends the order under the fence of the lease, in a call that ends before the lease
// ends. It returns lease.ErrNotHeld if the lease does not allow the call.
func (s *Syncer) sendOrder(ctx context.Context, c change, report engine.Report) error {
	_, err := lease.Do(ctx, s.Lease, callTimeout, func(ctx context.Context, fence int64) error {
		s.OrdersSent.Add(1)
		s.logger.Info("weight change ordered", zap.String("replica", c.replica.ID), zap.String("model", c.model), zap.Int64("version", c.version),
			zap.Int64("from", report.Versions[c.model]), zap.Int64("fence", fence), zap.Int64("after_orders", report.Orders))
		return s.Driver.SubmitOrder(ctx, c.replica, engine.Order{
			Model: c.model, Version: c.version, Mode: c.manner, Holder: s.Holder, Fence: fence, AfterOrders: report.Orders,
		})
	})
	return err
}

// stallDetector detects that the process was stopped during one of its waits. Load times measured
// across a stall must not be recorded: they would count as slow loads and lower the load limit.
type stallDetector struct {
	// now must include the time in which the machine is suspended.
	now     bootclock.Clock
	stalled bool
}

func (s *stallDetector) wait(ctx context.Context, wait time.Duration) {
	began := s.now()
	periodic.Pause(ctx, wait)
	s.record(wait, s.now().Sub(began))
}

// record marks a stall if a wait took much longer than requested.
func (s *stallDetector) record(wait, took time.Duration) {
	s.stalled = s.stalled || took > wait+maxWaitOverrun
}
