package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"go.uber.org/zap"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/permit"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// acceptOnlyRunner accepts batches and runs none of them.
type acceptOnlyRunner struct{ batches *ledger.Ledger }

func (i acceptOnlyRunner) Accept(ctx context.Context, job *batch.Submission) error {
	return i.batches.PartitionOf(job.ID).Append(ctx, batch.Accepted(job, "nobody"))
}

func (acceptOnlyRunner) End(context.Context, string, string) error { return nil }

// newTestGateway returns a gateway with one trainer, "t", and a function that begins its planned
// stop.
func newTestGateway(ctx context.Context) (*Gateway, context.CancelFunc) {
	return newTestGatewayOn(ctx, journaltest.New())
}

// newTestGatewayOn is newTestGateway with the given journal.
func newTestGatewayOn(ctx context.Context, log *journaltest.Journal) (*Gateway, context.CancelFunc) {
	batches := ledger.New(ctx, log, zap.NewNop())
	stopping, stop := context.WithCancel(context.Background())
	set := &policy.Set{Trainers: map[string]policy.Trainer{"t": {Name: "t"}}}
	return New(Deps{
		Configuration: func() (Configuration, bool) { return Configuration{Policies: set}, true },
		Delivery:      delivery.New(results.NewReader(batches, nil, nil, journal.RateLimits{}, "self/1", zap.NewNop()), acceptOnlyRunner{batches}, rollout.ItemHeaders{}, zap.NewNop()),
		Permits:       permit.New(log, 10*time.Minute, func() string { return "claimant" }, zap.NewNop()),
		Metrics:       metrics.New(), Logger: zap.NewNop(), Stopping: stopping,
	}, Limits{}), stop
}

// Guards against a stop that breaks the connection of a waiting pull at the end of its grace
// period: the pull is answered with its cursor as soon as the stop begins.
func TestStopEndsHeldPulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g, stop := newTestGateway(ctx)
		caller := policy.Caller{Name: "c", Trainer: "t"}
		header, err := g.deps.Delivery.Submit(ctx, delivery.Trainer{Name: "t", Accepts: func(oldest, trained int64) bool { return oldest >= trained }},
			rollout.Request{Trainer: "t", Name: "n", Prompts: []rollout.Prompt{{ID: "p", Text: "x"}}, SamplesPerPrompt: 1, MaxTokens: 5})
		is.NoErr(err)
		began := time.Now()
		time.AfterFunc(1300*time.Millisecond, stop)
		for range 2 { // the second pull arrives after the stop has begun
			request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/rollouts/t/n/samples?wait_ms=60000", nil)
			answer := httptest.NewRecorder()
			g.withTrainer(g.pullSamples)(answer, pathvar.WithVars(request, map[string]string{"trainer": "t", "name": "n"}), caller)
			is.Equal(answer.Code, http.StatusOK)
			var reply PullResponse
			is.NoErr(json.Unmarshal(answer.Body.Bytes(), &reply))
			is.Equal(reply.Open, 1)
			is.Equal(reply.Cursor, rollout.NewCursor(header).String())
			is.Equal(time.Since(began), 1300*time.Millisecond)
		}
	})
}

// Guards against a stop that breaks the connection of an attempt that waits for the outcome of an
// earlier one: it is answered as soon as the stop begins.
func TestStopEndsWaitForEarlierAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g, stop := newTestGateway(ctx)
		_, err := g.deps.Permits.Claim(ctx, "c/k", 1)
		is.NoErr(err)
		began := time.Now()
		time.AfterFunc(1300*time.Millisecond, stop)
		bounded, cancel := context.WithTimeout(ctx, 30*time.Second)
		defer cancel()
		answer := httptest.NewRecorder()
		g.answerEarlierAttempt(bounded, answer, "c/k")
		is.Equal(answer.Code, http.StatusConflict)
		is.Equal(time.Since(began), 1300*time.Millisecond)
	})
}
