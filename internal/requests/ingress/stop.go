package ingress

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/runner"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
)

// fitsBeforeStop reports whether a planned stop leaves the request its time. One that it
// might interrupt is turned away at once, to a daemon that has the time.
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

// maxDuration is the longest that the request may be held.
func (r *request) maxDuration() time.Duration {
	if r.route != nil && r.route.Kind == route.Batch {
		return runner.SubmitTimeout
	}
	return r.timeLeft()
}

// interrupted reports whether the end of a planned stop keeps the request from its
// answer. The client is still there, and is told what is certain.
func (r *request) interrupted() bool { return shutdown.Interrupted(r.req.Context()) }

// clientGone reports whether nobody waits for the answer any more.
func (r *request) clientGone() bool { return r.req.Context().Err() != nil && !r.interrupted() }
