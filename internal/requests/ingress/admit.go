package ingress

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

// mostTurns is how often a request is let to the replicas that all decline it. Each time it
// waits for its turn again, so that it costs the others nothing.
const mostTurns = 3

// doAdmitted sends a call once it has its turn among the requests of its service. Engines
// have queues of their own, which batches fill by plan.
func (r *request) doAdmitted(ctx context.Context, cfg *route.Configuration, call *forward.Call) (*forward.Answer, error) {
	handler, service := r.handler, call.Services[0]
	if handler.Admission == nil || cfg.Services[service].Engine {
		return handler.plain().Do(ctx, call)
	}
	mayRetry := call.MayRetry
	for turn := 1; ; turn++ {
		ticket, err := handler.Admission.Enter(ctx, r.admission(service))
		if err != nil {
			return nil, err
		}
		call.MayRetry = func(offers int) bool { return (mayRetry == nil || mayRetry(offers)) && ticket.MayOffer() }
		sentAt := handler.now()
		answer, err := handler.plain().Do(ctx, call)
		became := becameOf(err)
		if err == nil {
			became = admission.Answered{Took: handler.now().Sub(sentAt)}
		}
		ticket.Done(became)
		if _, full := became.(admission.Declined); !full || ctx.Err() != nil {
			return answer, err
		}
		if turn == mostTurns {
			return nil, handler.Admission.Full(r.admission(service))
		}
	}
}

// admission is what decides on the request's turn.
func (r *request) admission(service string) admission.Request {
	return admission.Request{ID: r.id, Service: service, Tenant: r.tenantName(), Rank: r.tenant.Rank(r.route.Priority),
		Left: r.timeLeft, Aim: r.route.TargetLatency, Held: r.held()}
}

// becameOf is what a failed call tells of the room at the replicas.
func becameOf(err error) admission.Outcome {
	var failure *forward.Failure
	if errors.As(err, &failure) && failure.Full {
		return admission.Declined{}
	}
	return admission.Lost{}
}

// refuseAdmission promises that the request has not run, as its service is full.
func (r *request) refuseAdmission(refused *admission.Refused) {
	comeBack := refused.ComeBack
	if r.interrupted() {
		comeBack = stopRetryAfter
	}
	r.refuse(refused.Error(), comeBack)
}
