package forward

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/refusal"
)

// QuarantinedError reports that a request was not sent because quarantine does not let its
// content run at the replica now. The request has not run.
type QuarantinedError struct {
	// EndedReplicas is how many replicas have ended while they ran the content. It is 0 if the
	// request was refused only because of another run in progress.
	EndedReplicas int
	// RetryAfter is the delay after which the content may be allowed to run.
	RetryAfter time.Duration
	// Final reports that the content stays refused until an operator lifts the quarantine.
	Final bool
	// TryOtherReplica reports that another replica may run the content now.
	TryOtherReplica bool
	// decided is set if another run in progress decides on the content. The channel is closed
	// when that run has ended.
	decided <-chan struct{}
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	switch {
	case e.TryOtherReplica:
		return "forward: another suspect runs at the replica"
	case e.decided != nil:
		return "forward: a run of the content finds out whether it ends its replica"
	case e.Final:
		return "forward: " + strconv.Itoa(e.EndedReplicas) + " replicas ended while they ran this content; it is refused until an operator lifts that"
	default:
		return "forward: " + strconv.Itoa(e.EndedReplicas) + " replicas ended while they ran this content; it may run alone later"
	}
}

// AwaitDecision waits up to decisionTimeout for the run that decides on the content. It reports
// whether that run has ended, so that the content may be tried again. If there is no such run,
// AwaitDecision returns false at once.
func (e *QuarantinedError) AwaitDecision(ctx context.Context) bool {
	if e.decided == nil {
		return false
	}
	timeout := time.NewTimer(decisionTimeout)
	defer timeout.Stop()
	select {
	case <-e.decided:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// admitContent asks the quarantine whether a request's content may run at a replica now. If refused
// is nil, the caller must call release after the run has ended and its result has been recorded.
func (f *Forwarder) admitContent(requestID string, content *quarantine.Content, rep replica.Replica) (release func(), refused *QuarantinedError) {
	if f.Quarantine.NoneSuspected() {
		return func() {}, nil
	}
	switch decision := f.Quarantine.Decide(content, string(rep.Incarnation()), func() []string { return f.otherIncarnations(rep) }).(type) {
	case quarantine.Isolated:
		release = decision.End
	case quarantine.Wait:
		refused = &QuarantinedError{RetryAfter: refusal.OtherRunPending.RetryAfter, decided: decision.Over}
	case quarantine.OtherReplica:
		refused = &QuarantinedError{RetryAfter: refusal.OtherRunPending.RetryAfter, TryOtherReplica: true}
	case quarantine.Refused:
		refused = &QuarantinedError{EndedReplicas: decision.Ended, RetryAfter: decision.RetryAfter, Final: decision.Final}
	default: // quarantine.Allowed
		return func() {}, nil
	}
	refusedField := zap.Skip()
	if refused != nil {
		refusedField = zap.NamedError("refused", refused)
	}
	f.Logger.Info("suspect content checked", zap.String("request", requestID), zap.String("content", content.Digest().Short()),
		zap.String("replica", rep.ID), zap.String("service", rep.Service), zap.Bool("alone", refused == nil), refusedField)
	return release, refused
}

// decisionTimeout is how long a request waits for another run of its content. It is well above
// the duration of most plain requests. If the run takes longer, the caller is told to retry.
const decisionTimeout = 300 * time.Millisecond

// otherIncarnations returns the incarnations of the replicas of rep's service, except rep
// itself.
func (f *Forwarder) otherIncarnations(rep replica.Replica) []string {
	var others []string
	for _, other := range f.Table.Replicas(rep.Service) {
		if other.ID != rep.ID {
			others = append(others, string(other.Incarnation()))
		}
	}
	return others
}
