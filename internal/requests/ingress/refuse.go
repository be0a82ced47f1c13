package ingress

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/refusal"
)

// refuse answers the request with an error, and with Retry-After if the reason allows a retry.
func (r *request) refuse(reason refusal.Reason, text string) {
	if reason.HasRetryAfter() {
		retryAfter := reason.RetryDelay(r.timeLeft())
		r.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
		r.logger = r.logger.With(zap.Duration("come_back", retryAfter))
	}
	r.write(reason.Status, r.handler.Codec.EncodeError(text))
	r.observe(reason.Status, reason.Name, text)
}

// refuseQuarantined refuses a request because replicas ended while they ran its content. The
// answer guarantees that this request has not run.
func (r *request) refuseQuarantined(err *forward.QuarantinedError) {
	if name := r.handler.Names.Quarantined; name != "" {
		r.w.Header().Set(name, strconv.Itoa(err.EndedReplicas))
	}
	r.refuse(refusal.Quarantined.WithRetryAfter(err.RetryAfter), err.Error())
}

// refusePlain gives the final answer to a plain request that has no answer from a replica. If
// the client has closed its connection, refusePlain panics with http.ErrAbortHandler.
func (r *request) refusePlain(err error) {
	var failure *forward.Failure
	if errors.As(err, &failure) {
		r.attempts, r.replica = failure.Attempts, strings.Join(failure.AskedReplicas, ",")
	}
	if r.clientGone() {
		r.observe(0, "client left", err.Error())
		panic(http.ErrAbortHandler)
	}
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		r.refuse(r.unlessStopping(refusal.ServiceFull.WithRetryAfter(refused.RetryAfter)), refused.Error())
		return
	}
	if failure == nil {
		r.refuse(refusal.Failed, err.Error())
		return
	}
	r.refuseUnanswered(failure.Certainty == forward.NotRun, failure.Quarantined, failure.Reason)
}

// refuseUnanswered refuses a request that got no whole answer from a replica. The status tells
// whether the request may have run. quarantined is not nil if quarantine kept the request from
// being sent.
func (r *request) refuseUnanswered(notRun bool, quarantined *forward.QuarantinedError, reason string) {
	switch {
	case notRun && quarantined != nil:
		r.refuseQuarantined(quarantined)
	case notRun:
		r.refuse(r.unlessStopping(refusal.NoReplica), reason)
	case r.interrupted():
		r.refuse(refusal.Interrupted, shutdown.ErrInterrupted.Error())
	case r.timeLeft() <= 0:
		r.refuse(refusal.TimedOut, reason)
	default:
		r.refuse(refusal.Failed, reason)
	}
}

// unlessStopping returns the reason to refuse a request that has not run. This is
// refusal.Stopping if the end of a planned stop interrupted the request, as another daemon can
// then serve it at once; otherwise it is the given reason.
func (r *request) unlessStopping(reason refusal.Reason) refusal.Reason {
	if r.interrupted() {
		return refusal.Stopping
	}
	return reason
}
