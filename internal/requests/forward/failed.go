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

// failedAttempt is an attempt that got no sound answer.
type failedAttempt struct {
	requestID string
	content   *quarantine.Content
	chosen    replica.Replica
	// outcome is the name of how it ended, mayHaveRun says that the replica may have run it.
	outcome    string
	mayHaveRun bool
	took       time.Duration
	err        error
}

// recordEnd notes how an answer that had begun ended: properly, which clears its content, or by
// an error.
func (f *Forwarder) recordEnd(ctx context.Context, ended failedAttempt) {
	if ended.err == nil {
		f.Quarantine.Answered(ended.content)
		return
	}
	ended.outcome = outcomeOf(ctx, ended.err)
	f.recordFailure(ctx, ended)
}

// recordFailure finds out what became of the replica of an attempt that failed, holds its end
// against the content, and tells both in one line. The content's digest joins the attempts at
// one content at all daemons.
func (f *Forwarder) recordFailure(ctx context.Context, failed failedAttempt) {
	if failed.outcome == outcomeDeclined || failed.outcome == outcomeCancelled {
		return // neither says anything of the replica's soundness, and both are frequent
	}
	liveness := upstream.LivenessUnknown
	if errors.Is(failed.err, upstream.ErrNoAnswer) || errors.Is(failed.err, eventstream.ErrCut) {
		// The connection ended once the request had been sent.
		liveness = f.Pool.Probe(ctx, failed.chosen.Address)
		f.recordReplicaEnd(failed, liveness)
	}
	f.Logger.Info("attempt failed", zap.String("request", failed.requestID), zap.String("outcome", failed.outcome),
		zap.String("content", failed.content.Digest().Short()), zap.String("replica", failed.chosen.ID),
		zap.String("service", failed.chosen.Service),
		zap.Stringer("address", failed.chosen.Address), zap.Stringer("process", liveness), zap.Bool("may_have_run", failed.mayHaveRun),
		zap.Duration("after", failed.took), zap.Error(failed.err))
}

// recordReplicaEnd holds the end of a replica, or what may be one, against the content that it
// ran. The end of a replica that was leaving was planned.
func (f *Forwarder) recordReplicaEnd(failed failedAttempt, liveness upstream.Liveness) {
	rep := failed.chosen
	if now, listed := f.Table.Get(rep.ID); listed && now.Draining && now.Incarnation() == rep.Incarnation() {
		return
	}
	if liveness == upstream.Gone {
		f.Quarantine.Ended(failed.content, string(rep.Incarnation()), rep.Service)
	} else {
		f.Quarantine.Broke(failed.content, string(rep.Incarnation()), rep.Service)
	}
}
