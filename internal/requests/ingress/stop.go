package ingress

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/runner"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
)

// fitsBeforeStop reports whether the request is sure to end before the end of a planned stop. If
// not, fitsBeforeStop refuses the request at once, so that the client tries another daemon.
func (r *request) fitsBeforeStop() bool {
	left, bounded := r.handler.Stop.Left()
	needed := r.maxDuration()
	if !bounded || needed <= left {
		return true
	}
	r.logger.Info("turned away by the stop", zap.Duration("needed", needed), zap.Duration("left", left))
	r.refuse(refusal.Stopping, shutdown.ErrInterrupted.Error())
	return false
}

// maxDuration returns the longest time that the request may still take.
func (r *request) maxDuration() time.Duration {
	if r.route != nil && r.route.Kind == route.Batch {
		return runner.SubmitTimeout
	}
	return r.timeLeft()
}

// interrupted reports whether the end of a planned stop interrupted the request. The client of
// an interrupted request is still connected and must be answered.
func (r *request) interrupted() bool { return shutdown.Interrupted(r.req.Context()) }

// clientGone reports whether the request's context ended because the client closed its connection.
func (r *request) clientGone() bool { return r.req.Context().Err() != nil && !r.interrupted() }
