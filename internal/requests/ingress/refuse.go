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

// refuse gives an answer of our own that is not a success.
func (r *request) refuse(reason refusal.Reason, text string) {
	if reason.HasRetryAfter() {
		comeBack := reason.RetryDelay(r.timeLeft())
		r.w.Header().Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
		r.logger = r.logger.With(zap.Duration("come_back", comeBack))
	}
	r.write(reason.Status, r.handler.Codec.EncodeError(text))
	r.observe(reason.Status, reason.Name, text)
}

// refuseQuarantined promises that the request has not run, as replicas have ended under
// its content.
func (r *request) refuseQuarantined(err *forward.QuarantinedError) {
	if name := r.handler.Names.Quarantined; name != "" {
		r.w.Header().Set(name, strconv.Itoa(err.EndedReplicas))
	}
	r.refuse(refusal.Quarantined.WithRetryAfter(err.RetryAfter), err.Error())
}

// refusePlain gives the final answer to a plain request without a replica's answer.
func (r *request) refusePlain(err error) {
	if r.clientLeft() {
		r.observe(0, "client left", err.Error())
		panic(http.ErrAbortHandler)
	}
	var full *admission.RefusedError
	if errors.As(err, &full) {
		r.refuse(r.unlessStopping(refusal.ServiceFull.WithRetryAfter(full.RetryAfter)), full.Error())
		return
	}
	var failure *forward.Failure
	if !errors.As(err, &failure) {
		r.refuse(refusal.Failed, err.Error())
		return
	}
	r.attempts, r.replica = failure.Attempts, strings.Join(failure.AskedReplicas, ",")
	r.refuseUnanswered(failure.Certainty == forward.NotRun, failure.Quarantined, failure.Reason)
}

// refuseUnanswered answers a request that replicas were asked for, with what is certain of it.
// Quarantined, if not nil, is why it was not sent.
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

// unlessStopping is the reason for a request that has not run: that of the stop if its end
// has come, as another daemon takes the request at once.
func (r *request) unlessStopping(reason refusal.Reason) refusal.Reason {
	if r.interrupted() {
		return refusal.Stopping
	}
	return reason
}
