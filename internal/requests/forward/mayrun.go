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

// QuarantinedError says that a request was not sent, as replicas have ended under its
// content. It promises that the request has not run.
type QuarantinedError struct {
	// EndedReplicas is how many replicas have ended under the content, 0 if others decide.
	EndedReplicas int
	// RetryAfter is when the content may be asked for again with some hope.
	RetryAfter time.Duration
	// Final says that it stays refused until an operator lifts that.
	Final bool
	// TryElsewhere says that another replica may take it now.
	TryElsewhere bool
	// decided, if not nil, is closed when the run of the content has ended that decides.
	decided <-chan struct{}
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	switch {
	case e.TryElsewhere:
		return "forward: another suspect runs at the replica"
	case e.decided != nil:
		return "forward: a run of the content finds out whether it ends its replica"
	case e.Final:
		return "forward: " + strconv.Itoa(e.EndedReplicas) + " replicas ended while they ran this content; it is refused until an operator lifts that"
	default:
		return "forward: " + strconv.Itoa(e.EndedReplicas) + " replicas ended while they ran this content; it may run alone later"
	}
}

// AwaitDecision waits a little for the run that decides on the content, if there is one, and
// reports whether the content may be asked for again.
func (e *QuarantinedError) AwaitDecision(ctx context.Context) bool {
	if e.decided == nil {
		return false
	}
	late := time.NewTimer(decisionTimeout)
	defer late.Stop()
	select {
	case <-e.decided:
		return true
	case <-late.C:
	case <-ctx.Done():
	}
	return false
}

// admitContent asks whether a request may be sent to a replica now, for its content's sake. If
// so, release must be called when the run is over and what it showed is noted.
func (f *Forwarder) admitContent(requestID string, content *quarantine.Content, rep replica.Replica) (release func(), refused *QuarantinedError) {
	if f.Quarantine.Quiet() {
		return func() {}, nil
	}
	switch verdict := f.Quarantine.Judge(content, string(rep.Incarnation()), func() []string { return f.otherIncarnations(rep) }).(type) {
	case quarantine.Alone:
		release = verdict.End
	case quarantine.Wait:
		refused = &QuarantinedError{RetryAfter: refusal.SuspectAwaited.RetryAfter, decided: verdict.Over}
	case quarantine.Elsewhere:
		refused = &QuarantinedError{RetryAfter: refusal.SuspectAwaited.RetryAfter, TryElsewhere: true}
	case quarantine.Refused:
		refused = &QuarantinedError{EndedReplicas: verdict.Ended, RetryAfter: verdict.RetryAfter, Final: verdict.Final}
	default: // quarantine.Free
		return func() {}, nil
	}
	why := zap.Skip()
	if refused != nil {
		why = zap.NamedError("refused", refused)
	}
	f.Logger.Info("suspect asked to run", zap.String("request", requestID), zap.String("content", content.Digest().Short()),
		zap.String("replica", rep.ID), zap.String("service", rep.Service), zap.Bool("alone", refused == nil), why)
	return release, refused
}

// decisionTimeout is how long a request waits for another run of its content to decide. Most
// plain requests take a tenth of it; a text may take seconds, and who waits for one is told
// after this to come back.
const decisionTimeout = 300 * time.Millisecond

// otherIncarnations returns the incarnations of the other replicas of a replica's service.
func (f *Forwarder) otherIncarnations(rep replica.Replica) []string {
	var others []string
	for _, other := range f.Table.Replicas(rep.Service) {
		if other.ID != rep.ID {
			others = append(others, string(other.Incarnation()))
		}
	}
	return others
}
