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

// acceptOnlyRunner takes batches in and runs none of them.
type acceptOnlyRunner struct{ batches *ledger.Ledger }

func (i acceptOnlyRunner) Accept(ctx context.Context, job *batch.Submission) error {
	return i.batches.PartitionOf(job.ID).Append(ctx, batch.Accepted(job, "nobody"))
}

func (acceptOnlyRunner) End(context.Context, string, string) error { return nil }

// newTestGateway is a gateway with one trainer, "t", and what begins its stop.
func newTestGateway(ctx context.Context) (*Gateway, context.CancelFunc) {
	return newTestGatewayOn(ctx, journaltest.New())
}

// newTestGatewayOn is a stoppable gateway over a journal.
func newTestGatewayOn(ctx context.Context, log *journaltest.Journal) (*Gateway, context.CancelFunc) {
	batches := ledger.New(ctx, log, zap.NewNop())
	stopping, stop := context.WithCancel(context.Background())
	set := &policy.Set{Trainers: map[string]policy.Trainer{"t": {Name: "t"}}}
	return New(Deps{
		Configuration: func() (Configuration, bool) { return Configuration{Policies: set}, true },
		Delivery:      delivery.New(results.NewReader(batches, nil, nil, journal.Grants{}, "self/1", zap.NewNop()), acceptOnlyRunner{batches}, rollout.ItemHeaders{}, zap.NewNop()),
		Permits:       permit.New(log, 10*time.Minute, func() string { return "claimant" }, zap.NewNop()),
		Metrics:       metrics.New(), Logger: zap.NewNop(), Stopping: stopping,
	}, Limits{}), stop
}

// A pull may be held for a minute, and a stop has a grace of seconds: it was cut at the
// grace's end, without an answer. A pull that is held as the stop begins is answered with
// what there is, and its cursor.
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
		for range 2 { // also one that comes after the stop has begun
			asked := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/rollouts/t/n/samples?wait_ms=60000", nil)
			answer := httptest.NewRecorder()
			g.withTrainer(g.pullSamples)(answer, pathvar.WithVars(asked, map[string]string{"trainer": "t", "name": "n"}), caller)
			is.Equal(answer.Code, http.StatusOK)
			var reply PullResponse
			is.NoErr(json.Unmarshal(answer.Body.Bytes(), &reply))
			is.Equal(reply.Open, 1)
			is.Equal(reply.Cursor, rollout.NewCursor(header).String())
			is.Equal(time.Since(began), 1300*time.Millisecond)
		}
	})
}

// A try with a key that another one holds waits for that one's outcome for as long as the
// call may take, half a minute by default, and was cut by a stop before. It is told that
// the outcome is not known here as the stop begins, so that the next try asks elsewhere.
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
