package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/callers/tenant"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/admission"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/route"
)

// tenantConfiguration returns a configuration without routes and with one tenant and key.
func tenantConfiguration(t *testing.T) *route.Configuration {
	t.Helper()
	directory, err := tenant.NewDirectory([]tenant.Declaration{{Name: "a", Keys: []string{"valid-key"}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := route.New(route.Definition{Version: 1, Tenants: directory})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// interruptedContext returns a context that the end of a planned stop has cancelled.
func interruptedContext(t *testing.T) context.Context {
	stop := newStop()
	ctx, release := stop.Bound(t.Context())
	t.Cleanup(release)
	stop.Interrupt()
	<-ctx.Done()
	return ctx
}

// Checks the status, Retry-After and outcome of every refusal. The time left is 24 s, so long
// that a third of it, the upper bound of Retry-After, shortens none of the fixed values.
func TestRefusalStatusAndRetryAfter(t *testing.T) {
	const left = 24*time.Second + answerMargin
	notRun := &forward.Failure{Certainty: forward.NotRun, Reason: "nobody"}
	mayHaveRun := &forward.Failure{Certainty: forward.MayHaveRun, Reason: "lost"}
	quarantined := func(err forward.QuarantinedError) *forward.Failure {
		return &forward.Failure{Certainty: forward.NotRun, Quarantined: &err}
	}
	refuse := func(err error) func(*request) { return func(r *request) { r.refusePlain(err) } }
	cases := map[string]struct {
		answer              func(r *request)
		interrupted         bool
		status              int
		retryAfter          string
		outcome, body       string
		quarantined, closes bool
	}{
		"no configuration": {answer: func(r *request) {
			r.handler.Configuration = func() *route.Configuration { return nil }
			r.handler.ServeHTTP(r.w, r.req)
		}, status: 503, retryAfter: "0.250", outcome: "refused", body: "no configuration is known yet"},
		"no memory for a request": {answer: func(r *request) {
			r.handler.MemoryBudget = holding.New(holding.LimitsOf(1))
			r.handler.ServeHTTP(r.w, r.req)
		}, status: 503, retryAfter: "1.000", outcome: "refused", body: errNoMemory.Error(), closes: true},
		"no memory for a page": {answer: func(r *request) {
			r.account, _ = holding.New(holding.LimitsOf(64 << 10)).OpenAccount(1)
			r.writePage(make([]byte, 1<<20))
		}, status: 503, retryAfter: "1.000", outcome: "refused", body: errNoMemory.Error()},
		"no memory for a body": {answer: func(r *request) {
			r.handler.MemoryBudget = holding.New(holding.LimitsOf(64 << 10))
			r.req = httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", 1<<20)))
			r.readBody(2 << 20)
		}, status: 503, retryAfter: "1.000", outcome: "refused", body: "a body of that length: " + errNoMemory.Error(), closes: true},
		"body too large": {answer: func(r *request) {
			r.req = httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
			r.readBody(1)
		}, status: 413, outcome: "too large", body: "the body is longer than the limit"},
		"no route":  {answer: func(r *request) { r.serve(tenantConfiguration(t)) }, status: 404, outcome: "no route", body: "no route has this host and path"},
		"no tenant": {answer: func(r *request) { r.authenticate(tenantConfiguration(t)) }, status: 401, outcome: "no tenant", body: "no tenant has this key"},
		"a key that may be withdrawn": {answer: func(r *request) {
			r.req.Header.Set("Authorization", "Bearer valid-key")
			r.handler.ConfigurationAge = func() time.Duration { return time.Hour }
			r.authenticate(tenantConfiguration(t))
		}, status: 503, retryAfter: "0.400", outcome: "refused", body: "the key may have been withdrawn"},
		"a key that may be new": {answer: func(r *request) {
			r.req.Header.Set("Authorization", "Bearer other-key")
			r.handler.ConfigurationAge = func() time.Duration { return time.Hour }
			r.authenticate(tenantConfiguration(t))
		}, status: 503, retryAfter: "0.400", outcome: "refused", body: "the key may have been added"},
		"does not fit before a stop": {answer: func(r *request) {
			r.handler.Stop = newStop()
			r.handler.Stop.Begin(8 * time.Second)
			time.Sleep(4 * time.Second)
			r.fitsBeforeStop()
		}, status: 503, retryAfter: "0.050", outcome: "refused", body: shutdown.ErrInterrupted.Error()},
		"batch: wrong method":   {answer: func(r *request) { r.req.Method = http.MethodPut; r.serveSubmission(nil) }, status: 405, outcome: "malformed", body: "batches are submitted by POST"},
		"batch: malformed":      {answer: func(r *request) { r.serveSubmission(nil) }, status: 400, outcome: "malformed", body: http.ErrNotSupported.Error()},
		"batch: not accepted":   {answer: func(r *request) { r.refuseUnrecorded(runner.ErrNotDone) }, status: 503, retryAfter: "0.400", outcome: "refused", body: runner.ErrNotDone.Error()},
		"batch: stopping":       {answer: func(r *request) { r.refuseUnrecorded(runner.ErrStopping) }, status: 503, retryAfter: "0.050", outcome: "refused", body: runner.ErrStopping.Error()},
		"batch: maybe accepted": {answer: func(r *request) { r.refuseUnrecorded(runner.ErrUnknown) }, status: 504, outcome: "unknown", body: runner.ErrUnknown.Error()},
		"not sent":              {answer: refuse(notRun), status: 503, retryAfter: "0.250", outcome: "refused", body: "nobody"},
		"not sent, stopping":    {answer: refuse(notRun), interrupted: true, status: 503, retryAfter: "0.050", outcome: "refused", body: "nobody"},
		"maybe run":             {answer: refuse(mayHaveRun), status: 502, outcome: "failed", body: "lost"},
		"maybe run, stopping":   {answer: refuse(mayHaveRun), interrupted: true, status: 502, outcome: "interrupted", body: shutdown.ErrInterrupted.Error()},
		"maybe run, time up":    {answer: func(r *request) { time.Sleep(left); r.refusePlain(mayHaveRun) }, status: 504, outcome: "timed out", body: "lost"},
		"another error":         {answer: refuse(errors.New("odd")), status: 502, outcome: "failed", body: "odd"},
		"full":                  {answer: refuse(&admission.RefusedError{Reason: admission.NoTurnInTime, RetryAfter: 3 * time.Second}), status: 503, retryAfter: "3.000", outcome: "refused", body: "admission: no turn in time"},
		"full, beyond a third":  {answer: refuse(&admission.RefusedError{Reason: admission.QueueFull, RetryAfter: 9 * time.Second}), status: 503, retryAfter: "8.000", outcome: "refused", body: "admission: too many wait"},
		"full, stopping":        {answer: refuse(&admission.RefusedError{Reason: admission.ContextEnded, RetryAfter: 3 * time.Second}), interrupted: true, status: 503, retryAfter: "0.050", outcome: "refused", body: "admission: its wait has ended"},
		"quarantined": {answer: refuse(quarantined(forward.QuarantinedError{EndedReplicas: 3, RetryAfter: time.Minute, Final: true})), status: 503, retryAfter: "60.000",
			outcome: "quarantined", body: "forward: 3 replicas ended while they ran this content; it is refused until an operator lifts that", quarantined: true},
		"quarantined, stopping": {answer: refuse(quarantined(forward.QuarantinedError{RetryAfter: 100 * time.Millisecond, TryOtherReplica: true})), interrupted: true, status: 503,
			retryAfter: "0.100", outcome: "quarantined", body: "forward: another suspect runs at the replica", quarantined: true},
		"stream: not sent":           {answer: func(r *request) { (&streamRelay{request: r}).giveUp() }, status: 503, retryAfter: "0.250", outcome: "refused", body: "no replica"},
		"stream: not sent, stop":     {answer: func(r *request) { (&streamRelay{request: r}).giveUp() }, interrupted: true, status: 503, retryAfter: "0.050", outcome: "refused", body: "no replica"},
		"stream: maybe run":          {answer: func(r *request) { (&streamRelay{request: r, mayHaveRun: 1, lastErr: errors.New("lost")}).giveUp() }, status: 502, outcome: "failed", body: "lost"},
		"stream: maybe run, stop":    {answer: func(r *request) { (&streamRelay{request: r, mayHaveRun: 1}).giveUp() }, interrupted: true, status: 502, outcome: "interrupted", body: shutdown.ErrInterrupted.Error()},
		"stream: maybe run, no time": {answer: func(r *request) { time.Sleep(left); (&streamRelay{request: r, mayHaveRun: 1}).giveUp() }, status: 504, outcome: "timed out", body: "no replica"},
		"stream: quarantined": {answer: func(r *request) {
			(&streamRelay{request: r, quarantined: &forward.QuarantinedError{RetryAfter: time.Second}}).giveUp()
		}, status: 503,
			retryAfter: "1.000", outcome: "quarantined", body: "forward: 0 replicas ended while they ran this content; it may run alone later", quarantined: true},
		"results: no answer": {answer: func(r *request) {
			r.handler.Results = unreadableResults(r.req.Context())
			r.serveCall(BatchCall{Kind: ReadResults, BatchID: "b"})
		}, status: 503,
			retryAfter: "0.400", outcome: "refused"},
		"item: no answer": {answer: func(r *request) {
			r.handler.Results = unreadableResults(r.req.Context())
			r.serveCall(BatchCall{Kind: ReadItem, BatchID: "b"})
		}, status: 503,
			retryAfter: "0.400", outcome: "refused"},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				if one.interrupted {
					ctx = interruptedContext(t)
				}
				r, recorder := newTestRequest(ctx, newStop(), route.Safe, left)
				outcome := "" // of the last request
				r.req.Header.Set("Deadline", "24025")
				r.handler.Names, r.handler.Logger = headers.Names{Quarantined: "Quarantined", DeadlineMs: "Deadline"}, zap.NewNop()
				r.handler.Observe = func(_, _, got string, _ time.Duration) { outcome = got }
				r.handler.ConfigurationAge = func() time.Duration { return 0 }
				r.handler.Keys = KeyPolicy{AcceptMaxAge: time.Second, RejectMaxAge: time.Second}
				one.answer(r)
				is.Equal(recorder.Code, one.status)
				is.Equal(recorder.Header().Get("Retry-After"), one.retryAfter)
				is.Equal(outcome, one.outcome)
				is.Equal(recorder.Header().Get("Quarantined") != "", one.quarantined)
				is.Equal(recorder.Header().Get("Connection") == "close", one.closes)
				if one.body != "" {
					is.Equal(recorder.Body.String(), one.body)
				}
			})
		})
	}
}

// unreadableResults returns a results reader whose journal refuses every call.
func unreadableResults(ctx context.Context) *results.Reader {
	log := journaltest.New()
	log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
	return results.NewReader(ledger.New(ctx, log, zap.NewNop()), nil, nil, journal.RateLimits{}, "self/1", zap.NewNop())
}
