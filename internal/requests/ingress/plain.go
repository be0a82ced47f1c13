package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

// mostTurns is how often a request is let to the replicas that all decline it. Each time it
// waits for its turn again, so that it costs the others nothing.
const mostTurns = 3

// servePlain sends a request to a replica and passes the answer on.
func (r *request) servePlain(cfg *route.Configuration, body []byte) {
	ctx, cancel := r.bounded()
	defer cancel()
	r.handler.Retries.Began(r.route)
	answer, err := r.sendInTurn(ctx, cfg, r.call(cfg, body))
	if err != nil {
		r.refusePlain(err)
		return
	}
	defer answer.Close()
	r.replica = answer.Replica
	r.passOn(answer)
}

// call returns the call to a service that the request makes.
func (r *request) call(cfg *route.Configuration, body []byte) *forward.Call {
	repeatable := r.route.Kind == route.Safe
	return &forward.Call{
		Request: r.onward(cfg, body), Services: r.route.ServiceOrder(r.id),
		Repeatable: repeatable, MaxAttempts: max(r.route.MaxAttempts, 1), Hedge: repeatable, HedgeAfter: r.route.HedgeAfter,
		ConnectionDeadline: time.Now().Add(r.route.MaxConnectionWait()),
		TimeLeft:           r.timeLeft, OnRun: r.countRun, Account: r.account, MayRetry: r.policyMayRetry,
	}
}

// policyMayRetry reports whether the policies in force allow the request another attempt.
func (r *request) policyMayRetry(attempts int) bool { return r.handler.Retries.May(r.route, attempts) }

// sendInTurn sends a call once it has its turn among the requests of its service. Engines
// have queues of their own, which batches fill by plan.
func (r *request) sendInTurn(ctx context.Context, cfg *route.Configuration, call *forward.Call) (*forward.Answer, error) {
	h, service := r.handler, call.Services[0]
	if cfg.Services[service].IsEngine {
		return h.Forwarder.Do(ctx, call)
	}
	for turn := 1; ; turn++ {
		ticket, err := h.Admission.Enter(ctx, r.admission(service))
		if err != nil {
			return nil, err
		}
		call.MayRetry = func(attempts int) bool { return r.policyMayRetry(attempts) && ticket.MayRetry() }
		sentAt := h.Clock()
		answer, err := h.Forwarder.Do(ctx, call)
		outcome := admissionOutcome(err, h.Clock().Sub(sentAt))
		ticket.Done(outcome)
		if _, full := outcome.(admission.Declined); !full || ctx.Err() != nil {
			return answer, err
		}
		if turn == mostTurns {
			return nil, h.Admission.RefuseDeclined(r.admission(service))
		}
	}
}

// admission is what decides on the request's turn.
func (r *request) admission(service string) admission.Request {
	return admission.Request{ID: r.id, Service: service, Tenant: r.tenantName(), Rank: r.tenant.Rank(r.route.Priority),
		TimeLeft: r.timeLeft, TargetLatency: r.route.TargetLatency, Age: r.held()}
}

// admissionOutcome is what the end of a call tells of the room at the replicas.
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
