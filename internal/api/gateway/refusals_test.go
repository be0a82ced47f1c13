package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/permit"
	"woodworks/internal/api/policy"
)

// Guards against a change of the status, code, outcome or retry delay with which /v1/ reports a
// reason.
func TestProblemStatusCodeOutcomeAndRetryAfter(t *testing.T) {
	fromIngress := func(status int, header http.Header) func(*Gateway, http.ResponseWriter) {
		return func(_ *Gateway, w http.ResponseWriter) {
			writeProblem(w, ingressProblem(status, header))
		}
	}
	pullFailed := func(err error) func(*Gateway, http.ResponseWriter) {
		return func(_ *Gateway, w http.ResponseWriter) { writeProblem(w, deliveryProblem(err)) }
	}
	cases := map[string]struct {
		answer     func(g *Gateway, w http.ResponseWriter)
		hasKey     bool
		status     int
		problem    Problem
		retryAfter string
	}{
		"no configuration": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.deps.Configuration = func() (Configuration, bool) { return Configuration{}, false }
			g.withChecks(policy.Public, false, nil)(w, httptest.NewRequest(http.MethodGet, "/v1/", nil))
		}, status: 503, problem: Problem{Code: "no_configuration", Message: "this daemon knows no policies yet", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"no configuration for a trainer": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.deps.Configuration = func() (Configuration, bool) { return Configuration{}, false }
			g.resolveTrainer(w, policy.Caller{Trainer: "t"}, "t")
		}, status: 503, problem: Problem{Code: "no_configuration", Message: "this daemon knows no policies yet", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"stopping": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.deps.Stopping = cancelledContext(t)
			g.admitNewWork(w)
		}, status: 503, problem: Problem{Code: "stopping", Message: "this daemon is being stopped; use another", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"not confirmed": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.deps.Configuration = func() (Configuration, bool) { return Configuration{Age: time.Hour}, true }
			g.admitNewWork(w)
		}, status: 503, problem: Problem{Code: "configuration_not_confirmed", Message: "this daemon cannot confirm that its configuration is the newest", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"not confirmed, with a key": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.deps.Configuration = func() (Configuration, bool) { return Configuration{Age: time.Hour}, true }
			g.admitNewWork(w)
		}, hasKey: true, status: 503, problem: Problem{Code: "configuration_not_confirmed", Message: "this daemon cannot confirm that its configuration is the newest",
			Outcome: Unknown, ThisAttempt: notSent, RetryAfterMillis: 1000}},
		"traffic class full": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.acquireClass(w, policy.TrafficClass{Name: "c", QueueLimit: 1})
			g.acquireClass(w, policy.TrafficClass{Name: "c", QueueLimit: 1})
		}, status: 429, problem: Problem{Code: "queue_full", Message: `traffic class "c" has 1 requests at this daemon, its bound`, Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"no permit":        {answer: func(g *Gateway, w http.ResponseWriter) { g.refuseClaim(w, permit.ErrNotClaimed) }, hasKey: true, status: 503, problem: Problem{Code: "log_unavailable", Message: "no permit for the key", Outcome: Unknown, ThisAttempt: notSent, RetryAfterMillis: 1000}},
		"permit unknown":   {answer: func(g *Gateway, w http.ResponseWriter) { g.refuseClaim(w, permit.ErrOutcomeUnknown) }, hasKey: true, status: 503, problem: Problem{Code: "permit_unsure", Message: "no permit for the key", Outcome: Unknown, ThisAttempt: notSent, RetryAfterMillis: 1000}},
		"pull failed":      {answer: pullFailed(errors.New("late")), hasKey: true, status: 503, problem: Problem{Code: "delivery_failed", Message: "late", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"unknown batch":    {answer: pullFailed(delivery.ErrUnknownBatch), status: 404, problem: Problem{Code: "unknown_batch", Message: delivery.ErrUnknownBatch.Error(), Outcome: NotExecuted}},
		"samples unusable": {answer: pullFailed(delivery.ErrTooManyRounds), status: 502, problem: Problem{Code: "samples_unusable", Message: delivery.ErrTooManyRounds.Error(), Outcome: NotExecuted}},
		"no replica":       {answer: fromIngress(503, http.Header{"Retry-After": {"0.250"}}), hasKey: true, status: 503, problem: Problem{Code: "no_replica", Message: "no replica of the service took the request", Outcome: NotExecuted, RetryAfterMillis: 250}},
		"no Retry-After":   {answer: fromIngress(503, http.Header{}), status: 503, problem: Problem{Code: "no_replica", Message: "no replica of the service took the request", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"quarantined": {answer: fromIngress(503, http.Header{"Retry-After": {"60.000"}, QuarantinedHeader: {"3"}}), status: 503,
			problem: Problem{Code: "quarantined", Message: "3 replicas of the service ended while they ran this content", Outcome: NotExecuted, RetryAfterMillis: 60000}, retryAfter: "60"},
		"unknown service": {answer: fromIngress(404, nil), status: 404, problem: Problem{Code: "unknown_service", Message: "the configuration in force has no such service", Outcome: NotExecuted}},
		"timed out":       {answer: fromIngress(504, nil), status: 504, problem: Problem{Code: "timed_out", Message: "no whole answer came in time", Outcome: Unknown}},
		"failed":          {answer: fromIngress(502, nil), status: 502, problem: Problem{Code: "back_end_failed", Message: "no replica gave a whole answer", Outcome: Unknown}},
		"truncated": {answer: func(_ *Gateway, w http.ResponseWriter) {
			writeProblem(w, (&ingressReply{truncated: true}).problem())
		}, status: 502, problem: Problem{Code: "answer_cut_off", Message: "the back end's answer did not come whole", Outcome: Unknown}},
		"bad field":            {answer: func(_ *Gateway, w http.ResponseWriter) { writeFieldError(w, "f", "is odd") }, status: 400, problem: Problem{Code: "bad_request", Field: "f", Message: "f: is odd", Outcome: NotExecuted}},
		"earlier attempt lost": {answer: func(g *Gateway, w http.ResponseWriter) { g.answerEarlierAttempt(cancelledContext(t), w, "c/k") }, status: 409, problem: Problem{Code: "earlier_try_lost", Message: "an earlier try with this key may have run, and its outcome is not known", Outcome: Unknown, ThisAttempt: notSent, RetryAfterMillis: 1000}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, _ := newTestGateway(t.Context())
			recorded := httptest.NewRecorder()
			tc.answer(g, &recorder{ResponseWriter: recorded, hasKey: tc.hasKey})
			is.Equal(recorded.Code, tc.status)
			is.Equal(recorded.Header().Get(OutcomeHeader), string(tc.problem.Outcome))
			var reply problemBody
			is.NoErr(json.Unmarshal(recorded.Body.Bytes(), &reply))
			is.Equal(reply.Error, tc.problem)
			retryAfter := tc.retryAfter
			if retryAfter == "" && tc.problem.RetryAfterMillis > 0 {
				retryAfter = "1"
			}
			is.Equal(recorded.Header().Get("Retry-After"), retryAfter)
		})
	}
}

// cancelledContext returns a context that is already cancelled.
func cancelledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
