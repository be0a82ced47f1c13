package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/eventstream"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

// failedAttempt describes the end of an attempt for logs and the quarantine.
type failedAttempt struct {
	requestID string
	content   *quarantine.Content
	chosen    replica.Replica
	// outcome is one of the outcome constants; mayHaveRun reports whether the replica may have run
	// the request.
	outcome    string
	mayHaveRun bool
	took       time.Duration
	err        error
}

// recordEnd records the end of an answer or stream. A nil attempt.err clears the content in the
// quarantine; any other error counts as a failed attempt.
func (f *Forwarder) recordEnd(ctx context.Context, attempt failedAttempt) {
	if attempt.err == nil {
		f.Quarantine.Answered(attempt.content)
		f.Table.StreamCompleted(attempt.chosen.Incarnation())
		return
	}
	attempt.outcome = outcomeOf(ctx, attempt.err)
	f.recordFailure(ctx, attempt)
}

// recordFailure logs a failed attempt. If the connection broke after the request had been sent,
// it also probes the replica and reports the result to the quarantine. The logged digest of the
// content correlates attempts with the same content across daemons.
func (f *Forwarder) recordFailure(ctx context.Context, failed failedAttempt) {
	if failed.outcome == outcomeDeclined || failed.outcome == outcomeCancelled {
		return // neither says anything of the replica's soundness, and both are frequent
	}
	liveness, planned := upstream.LivenessUnknown, f.leavesAsPlanned(failed.chosen)
	if errors.Is(failed.err, upstream.ErrNoAnswer) || errors.Is(failed.err, eventstream.ErrTruncated) {
		// The connection broke after the request had been sent.
		liveness = f.Pool.Probe(ctx, failed.chosen.Address)
		if !planned {
			f.recordReplicaEnd(failed, liveness)
		}
	}
	f.Logger.Info("attempt failed", zap.String("request", failed.requestID), zap.String("outcome", failed.outcome),
		zap.String("content", failed.content.Digest().Short()), zap.String("replica", failed.chosen.ID),
		zap.String("service", failed.chosen.Service),
		zap.Stringer("address", failed.chosen.Address), zap.Stringer("process", liveness),
		zap.Bool("leaves_as_planned", planned), zap.Bool("may_have_run", failed.mayHaveRun),
		zap.Duration("after", failed.took), zap.Error(failed.err))
}

// leavesAsPlanned reports whether a replica has stated that it is draining, or was taken off the list and
// served on: its end says nothing of what it ran.
func (f *Forwarder) leavesAsPlanned(rep replica.Replica) bool {
	current, listed := f.Table.Get(rep.ID)
	if listed && current.Incarnation() == rep.Incarnation() {
		return current.Draining
	}
	return f.Table.LeftBefore(rep.Incarnation())
}

// recordReplicaEnd reports to the quarantine that a replica ended, or may have ended, while it
// ran a content. Bytes that are not an answer are no sign of an end: this daemon closed the connection.
func (f *Forwarder) recordReplicaEnd(failed failedAttempt, liveness upstream.Liveness) {
	rep := failed.chosen
	switch {
	case liveness == upstream.Gone:
		f.Quarantine.ReplicaEnded(failed.content, string(rep.Incarnation()), rep.Service)
	case errors.Is(failed.err, upstream.ErrMalformed):
	default:
		f.Quarantine.ConnectionBroken(failed.content, string(rep.Incarnation()), rep.Service)
	}
}
