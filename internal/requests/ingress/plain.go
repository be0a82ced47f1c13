package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

// maxAdmissions is how often a request is admitted at most. A request that every replica has
// declined waits for admission again, so that it does not delay other requests.
const maxAdmissions = 3

// servePlain sends a request to a replica and relays the answer.
func (r *request) servePlain(cfg *route.Configuration, body []byte) {
	ctx, cancel := r.timeoutContext()
	defer cancel()
	r.handler.Retries.RequestStarted(r.route)
	answer, err := r.sendWhenAdmitted(ctx, cfg, r.newCall(cfg, body))
	if err != nil {
		r.refusePlain(err)
		return
	}
	defer answer.Close()
	r.replica = answer.Replica
	r.relayAnswer(answer)
}

// newCall returns the forwarder's call for the request.
func (r *request) newCall(cfg *route.Configuration, body []byte) *forward.Call {
	repeatable := r.route.Kind == route.Safe
	return &forward.Call{
		Request: r.outgoingRequest(cfg, body), Services: r.route.ServiceOrder(r.id),
		Repeatable: repeatable, MaxAttempts: max(r.route.MaxAttempts, 1), Hedge: repeatable, HedgeAfter: r.route.HedgeAfter,
		ConnectionDeadline: time.Now().Add(r.route.MaxConnectionWait()),
		TimeLeft:           r.timeLeft, OnRun: r.reportRun, Account: r.account, MayRetry: r.policyMayRetry,
	}
}

// policyMayRetry reports whether the retry policy allows the request another attempt.
func (r *request) policyMayRetry(attempts int) bool {
	return r.handler.Retries.MayRetry(r.route, attempts)
}

// sendWhenAdmitted sends a call once admission control admits it. Calls to engines skip
// admission: engines have queues of their own, which the batch runner fills deliberately.
func (r *request) sendWhenAdmitted(ctx context.Context, cfg *route.Configuration, call *forward.Call) (*forward.Answer, error) {
	h, service := r.handler, call.Services[0]
	if cfg.Services[service].IsEngine {
		return h.Forwarder.Do(ctx, call)
	}
	for admissions := 1; ; admissions++ {
		ticket, err := h.Admission.Enter(ctx, r.admissionRequest(service))
		if err != nil {
			return nil, err
		}
		call.MayRetry = func(attempts int) bool { return r.policyMayRetry(attempts) && ticket.MayRetry() }
		sentAt := h.Clock()
		answer, err := h.Forwarder.Do(ctx, call)
		outcome := admissionOutcome(err, h.Clock().Sub(sentAt))
		ticket.Done(outcome)
		if _, declined := outcome.(admission.Declined); !declined || ctx.Err() != nil {
			return answer, err
		}
		if admissions == maxAdmissions {
			return nil, h.Admission.RefuseDeclined(r.admissionRequest(service))
		}
	}
}

// admissionRequest returns the request's description for admission control.
func (r *request) admissionRequest(service string) admission.Request {
	return admission.Request{ID: r.id, Service: service, Tenant: r.tenantName(), Rank: r.tenant.EffectivePriority(r.route.Priority),
		TimeLeft: r.timeLeft, TargetLatency: r.route.TargetLatency, Age: r.elapsed()}
}

// admissionOutcome converts the result of a call to its outcome for admission control.
func admissionOutcome(err error, took time.Duration) admission.Outcome {
	if err == nil {
		return admission.Answered{Took: took}
	}
	var failure *forward.Failure
	if errors.As(err, &failure) && failure.AllDeclined {
		return admission.Declined{}
	}
	return admission.Unanswered{}
}
