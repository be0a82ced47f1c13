package ingress

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/route"
)

// stopRetryAfter is when a client that this daemon turns away as it stops should come
// back. Other daemons take it at once; a few round trips spread those that come together.
const stopRetryAfter = 50 * time.Millisecond

// endsInTime reports whether a planned stop leaves the request its time. One that it
// might interrupt is turned away at once, to a daemon that has the time.
func (asked *request) endsInTime() bool {
	if asked.handler.Stop == nil {
		return true
	}
	left, bounded := asked.handler.Stop.Left()
	needed := asked.timeNeeded()
	if !bounded || needed <= left {
		return true
	}
	asked.logger.Info("turned away by the stop", zap.Duration("needed", needed), zap.Duration("left", left))
	asked.refuse(shutdown.ErrInterrupted.Error(), stopRetryAfter)
	return false
}

// timeNeeded is the longest that the request may be held.
func (asked *request) timeNeeded() time.Duration {
	if asked.route != nil && asked.route.Kind == route.Batch {
		return submitTimeout
	}
	return asked.timeLeft()
}

// interrupted reports whether the end of a planned stop keeps the request from its
// answer. The client is still there, and is told what is certain.
func (asked *request) interrupted() bool { return shutdown.Interrupted(asked.request.Context()) }

// clientLeft reports whether nobody waits for the answer any more.
func (asked *request) clientLeft() bool {
	return asked.request.Context().Err() != nil && !asked.interrupted()
}

// comeBack is when a client should send a request again that has not run.
func (asked *request) comeBack() time.Duration {
	if asked.interrupted() {
		return stopRetryAfter
	}
	return retryAfter
}
