package standalone

import (
	"time"

	"woodworks/internal/api/policy"
	"woodworks/internal/requests/ingress"
	"woodworks/internal/requests/retrybudget"
	"woodworks/internal/requests/route"
)

// retries lets the policies in force and the retry budget decide on attempts at
// further replicas, beyond forward.AttemptState. It implements ingress.RetryPolicy.
type retries struct {
	decoder       *Decoder
	configuration func() *route.Configuration
	budget        retrybudget.Budget
}

var _ ingress.RetryPolicy = (*retries)(nil)

func (r *retries) RequestStarted(*route.Route) {
	if set, ok := r.decoder.SetOf(r.configuration()); ok {
		r.budget.RecordFirstAttempt(set.RetryBudget.Percent)
	}
}

func (r *retries) MayRetry(rt *route.Route, attempts int) bool {
	set, ok := r.decoder.SetOf(r.configuration())
	if !ok {
		return false
	}
	service, operation := operationOf(rt)
	if set.OnFailure(service, operation, attempts) != policy.ActionRetry {
		return false
	}
	return r.budget.TryRetry(time.Now(), set.RetryBudget.MinPerSecond)
}

// operationOf returns the service and the operation of a route.
func operationOf(rt *route.Route) (service, operation string) {
	service = rt.Shares[0].Service
	return service, rt.Name[min(len(service)+1, len(rt.Name)):]
}
