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

// Each reason for which /v1/ asks a caller to come back has one status, one code, one outcome
// and one time to return.
func TestEachProblemTellsWhatIsCertainAndWhenToReturn(t *testing.T) {
	fromIngress := func(status int, header http.Header) func(*Gateway, http.ResponseWriter) {
		return func(_ *Gateway, w http.ResponseWriter) {
			writeProblem(w, problemOf(status, header))
		}
	}
	pullFailed := func(err error) func(*Gateway, http.ResponseWriter) {
		return func(_ *Gateway, w http.ResponseWriter) { writeProblem(w, deliveryProblem(err)) }
	}
	cases := map[string]struct {
		answer   func(g *Gateway, w http.ResponseWriter)
		keyed    bool
		status   int
		problem  Problem
		inHeader string
	}{
		"no configuration": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.parts.Configuration = func() (Configuration, bool) { return Configuration{}, false }
			g.checked(policy.Public, false, nil)(w, httptest.NewRequest(http.MethodGet, "/v1/", nil))
		}, status: 503, problem: Problem{Code: "no_configuration", Message: "this daemon knows no policies yet", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"no configuration for a trainer": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.parts.Configuration = func() (Configuration, bool) { return Configuration{}, false }
			g.trainerOf(w, policy.Caller{Trainer: "t"}, "t")
		}, status: 503, problem: Problem{Code: "no_configuration", Message: "this daemon knows no policies yet", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"stopping": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.parts.Stopping = stopped(t)
			g.mayTakeWork(w)
		}, status: 503, problem: Problem{Code: "stopping", Message: "this daemon is being stopped; use another", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"not confirmed": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.parts.Configuration = func() (Configuration, bool) { return Configuration{Age: time.Hour}, true }
			g.mayTakeWork(w)
		}, status: 503, problem: Problem{Code: "configuration_not_confirmed", Message: "this daemon cannot confirm that its configuration is the newest", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"not confirmed, with a key": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.parts.Configuration = func() (Configuration, bool) { return Configuration{Age: time.Hour}, true }
			g.mayTakeWork(w)
		}, keyed: true, status: 503, problem: Problem{Code: "configuration_not_confirmed", Message: "this daemon cannot confirm that its configuration is the newest",
			Outcome: Unknown, ThisTry: notSent, RetryAfterMillis: 1000}},
		"class full": {answer: func(g *Gateway, w http.ResponseWriter) {
			g.enterClass(w, policy.TrafficClass{Name: "c", QueueLimit: 1})
			g.enterClass(w, policy.TrafficClass{Name: "c", QueueLimit: 1})
		}, status: 429, problem: Problem{Code: "queue_full", Message: `traffic class "c" has 1 requests at this daemon, its bound`, Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"no permit":         {answer: func(g *Gateway, w http.ResponseWriter) { g.refuseClaim(w, permit.ErrNotClaimed) }, keyed: true, status: 503, problem: Problem{Code: "log_unavailable", Message: "no permit for the key", Outcome: Unknown, ThisTry: notSent, RetryAfterMillis: 1000}},
		"permit unsure":     {answer: func(g *Gateway, w http.ResponseWriter) { g.refuseClaim(w, permit.ErrUnknown) }, keyed: true, status: 503, problem: Problem{Code: "permit_unsure", Message: "no permit for the key", Outcome: Unknown, ThisTry: notSent, RetryAfterMillis: 1000}},
		"pull failed":       {answer: pullFailed(errors.New("late")), keyed: true, status: 503, problem: Problem{Code: "delivery_failed", Message: "late", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"pull of no batch":  {answer: pullFailed(delivery.ErrUnknownBatch), status: 404, problem: Problem{Code: "unknown_batch", Message: delivery.ErrUnknownBatch.Error(), Outcome: NotExecuted}},
		"samples unusable":  {answer: pullFailed(delivery.ErrTooManyRounds), status: 502, problem: Problem{Code: "samples_unusable", Message: delivery.ErrTooManyRounds.Error(), Outcome: NotExecuted}},
		"no replica":        {answer: fromIngress(503, http.Header{"Retry-After": {"0.250"}}), keyed: true, status: 503, problem: Problem{Code: "no_replica", Message: "no replica of the service took the request", Outcome: NotExecuted, RetryAfterMillis: 250}},
		"no time to return": {answer: fromIngress(503, http.Header{}), status: 503, problem: Problem{Code: "no_replica", Message: "no replica of the service took the request", Outcome: NotExecuted, RetryAfterMillis: 1000}},
		"quarantined": {answer: fromIngress(503, http.Header{"Retry-After": {"60.000"}, QuarantinedHeader: {"3"}}), status: 503,
			problem: Problem{Code: "quarantined", Message: "3 replicas of the service ended while they ran this content", Outcome: NotExecuted, RetryAfterMillis: 60000}, inHeader: "60"},
		"no service": {answer: fromIngress(404, nil), status: 404, problem: Problem{Code: "unknown_service", Message: "the configuration in force has no such service", Outcome: NotExecuted}},
		"timed out":  {answer: fromIngress(504, nil), status: 504, problem: Problem{Code: "timed_out", Message: "no whole answer came in time", Outcome: Unknown}},
		"failed":     {answer: fromIngress(502, nil), status: 502, problem: Problem{Code: "back_end_failed", Message: "no replica gave a whole answer", Outcome: Unknown}},
		"cut": {answer: func(_ *Gateway, w http.ResponseWriter) {
			writeProblem(w, (&ingressReply{cut: true}).problem())
		}, status: 502, problem: Problem{Code: "answer_cut_off", Message: "the back end's answer did not come whole", Outcome: Unknown}},
		"a bad field":   {answer: func(_ *Gateway, w http.ResponseWriter) { badField(w, "f", "is odd") }, status: 400, problem: Problem{Code: "bad_request", Field: "f", Message: "f: is odd", Outcome: NotExecuted}},
		"a lost answer": {answer: func(g *Gateway, w http.ResponseWriter) { g.answerTaken(stopped(t), w, "c/k") }, status: 409, problem: Problem{Code: "earlier_try_lost", Message: "an earlier try with this key may have run, and its outcome is not known", Outcome: Unknown, ThisTry: notSent, RetryAfterMillis: 1000}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, _ := stoppable(t.Context())
			recorded := httptest.NewRecorder()
			one.answer(g, &recorder{ResponseWriter: recorded, keyed: one.keyed})
			is.Equal(recorded.Code, one.status)
			is.Equal(recorded.Header().Get(OutcomeHeader), string(one.problem.Outcome))
			var reply problemBody
			is.NoErr(json.Unmarshal(recorded.Body.Bytes(), &reply))
			is.Equal(reply.Error, one.problem)
			inHeader := one.inHeader
			if inHeader == "" && one.problem.RetryAfterMillis > 0 {
				inHeader = "1"
			}
			is.Equal(recorded.Header().Get("Retry-After"), inHeader)
		})
	}
}

// stopped is a context that has ended.
func stopped(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
