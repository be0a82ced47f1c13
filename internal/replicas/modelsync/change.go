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
	// initialLoadTime is how long a change of weights is expected to take
	// before one was measured.
	initialLoadTime = 800 * time.Millisecond
	// pollPause is the time between two looks at an engine that loads.
	pollPause = 200 * time.Millisecond
	// loadTimeout is how long a change may take before it is ordered again.
	loadTimeout = 8 * time.Second
	// stallSlack is how much longer than asked for a wait may last in a process that runs:
	// timers of machines that are slowed five times are late by less.
	stallSlack = 400 * time.Millisecond
)

// Errors of a change.
var (
	// errStartedAgain: the engine is not the incarnation that was to change. Its orders,
	// counts and versions are others.
	errStartedAgain = errors.New("modelsync: engine has started again")
	// errIdle: the engine neither has the version nor loads it.
	errIdle = errors.New("modelsync: engine is idle without the version")
	// errTooLong: the engine may still be loading it.
	errTooLong = errors.New("modelsync: change took too long")
)

// changePauses are how long an engine is left alone after changes that failed: at first a look's
// interval, longer with each one in a row, as engines that cannot be reached take the place of others.
var changePauses = backoff.Bounds{First: 100 * time.Millisecond, Longest: 2 * time.Second}

// carryOut brings one engine to a version and waits until it is there. N is the note of
// the engine's incarnation, which another one may have replaced meanwhile.
func (s *Syncer) carryOut(ctx context.Context, c change, n *note) {
	began := time.Now()
	err := s.changeWeights(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
	n.loading = false
	if err == nil {
		n.rest.Succeeded()
	} else {
		n.rest.Failed(changePauses, time.Now())
	}
	s.logger.Info("weights", zap.String("replica", c.replica.ID), zap.String("model", c.model),
		zap.Int64("version", c.version), zap.Duration("took", time.Since(began)), zap.Error(err))
}

// changeWeights orders the change unless it has happened, and waits for it.
func (s *Syncer) changeWeights(ctx context.Context, c change) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := s.report(bounded, c)
	if err != nil {
		return err
	}
	if report.Versions[c.model] >= c.version {
		return nil
	}
	if report.Busy {
		return errors.Wrap(engine.ErrConflict, "busy")
	}
	if err := s.order(bounded, c, report); err != nil {
		return err
	}
	return s.awaitChange(bounded, c)
}

// awaitChange waits until an engine that has just taken an order has the version.
func (s *Syncer) awaitChange(ctx context.Context, c change) error {
	ordered := time.Now()
	waits := stopwatch{now: bootclock.Now}
	waits.pause(ctx, s.expectedTime())
	for ctx.Err() == nil {
		report, err := s.report(ctx, c)
		if err == nil && report.Versions[c.model] >= c.version {
			if !waits.stalled {
				s.noteLoadTime(ordered, time.Now())
			}
			return nil
		}
		if errors.Is(err, errStartedAgain) {
			return err
		}
		if err == nil && !report.Busy && time.Since(ordered) > 2*s.expectedTime() {
			return errIdle
		}
		waits.pause(ctx, pollPause)
	}
	return errTooLong
}

// expectedTime is how long a change is left alone before the first look at it. It is no
// longer than a change that is not slowed may take: what a change took is only known by
// looking, so that a guess that is far too long would never be found wrong.
func (s *Syncer) expectedTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if most := s.width.unslowed(); most > 0 {
		return min(s.loadTime, most)
	}
	return s.loadTime
}

// noteLoadTime notes how long a change took. The guess stays a bit below, as looking
// late costs time and looking early costs a call.
func (s *Syncer) noteLoadTime(ordered, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := now.Sub(ordered)
	s.width.done(ordered, now)
	s.loadTime += (took - s.loadTime) / 4
	s.loadTime -= pollPause / 8
}

func (s *Syncer) report(ctx context.Context, c change) (engine.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.Driver.Report(bounded, c.replica)
	if err != nil {
		return engine.Report{}, err
	}
	if !s.Table.ObserveStart(c.replica, report.StartedAt) {
		return engine.Report{}, errStartedAgain
	}
	for model, version := range report.Versions {
		s.Table.ObserveVersion(c.replica.Incarnation(), model, version)
	}
	return report, nil
}

// order sends the order if the lease lets this daemon act until it has arrived.
func (s *Syncer) order(ctx context.Context, c change, report engine.Report) error {
	_, err := lease.Act(ctx, s.Lease, callTimeout, func(ctx context.Context, fence int64) error {
		s.Ordered.Add(1)
		s.logger.Info("order", zap.String("replica", c.replica.ID), zap.String("model", c.model), zap.Int64("version", c.version),
			zap.Int64("from", report.Versions[c.model]), zap.Int64("fence", fence), zap.Int64("after_orders", report.Orders))
		return s.Driver.SubmitOrder(ctx, c.replica, engine.Order{
			Model: c.model, Version: c.version, Mode: c.manner, Holder: s.Holder, Fence: fence, AfterOrders: report.Orders,
		})
	})
	return err
}

// stopwatch notes whether the process stood still in one of its waits. What was timed
// meanwhile says nothing of the engines: a holder that was frozen under some changes would
// take all of them for slowed, and narrow the width.
type stopwatch struct {
	// now also counts the time in which the machine is suspended.
	now     bootclock.Clock
	stalled bool
}

func (s *stopwatch) pause(ctx context.Context, wait time.Duration) {
	began := s.now()
	periodic.Pause(ctx, wait)
	s.note(wait, s.now().Sub(began))
}

// note takes a wait into account.
func (s *stopwatch) note(wait, took time.Duration) {
	s.stalled = s.stalled || took > wait+stallSlack
}
