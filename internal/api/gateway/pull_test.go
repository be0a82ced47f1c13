package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// Guards against a pull that ends early because a read of the journal fails: it is held for its
// whole wait and is refused only if the journal is still unavailable then.
func TestPullIsHeldWhileJournalReadsFail(t *testing.T) {
	for _, outage := range []time.Duration{2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := journaltest.New()
			g, _ := newTestGatewayOn(ctx, log)
			header, err := g.deps.Delivery.Submit(ctx, delivery.Trainer{Name: "t", Accepts: func(oldest, trained int64) bool { return oldest >= trained }},
				rollout.Request{Trainer: "t", Name: "n", Prompts: []rollout.Prompt{{ID: "p", Text: "x"}}, SamplesPerPrompt: 1, MaxTokens: 5})
			is.NoErr(err)
			log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
			time.AfterFunc(outage, func() { log.SetFault(nil) })
			began := time.Now()
			request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/rollouts/t/n/samples?wait_ms=10000&cursor="+rollout.NewCursor(header).String(), nil)
			answer := httptest.NewRecorder()
			g.withTrainer(g.pullSamples)(answer, pathvar.WithVars(request, map[string]string{"trainer": "t", "name": "n"}), policy.Caller{Name: "c", Trainer: "t"})
			if outage < 10*time.Second {
				is.Equal(answer.Code, http.StatusOK)
			} else {
				is.Equal(answer.Code, http.StatusServiceUnavailable)
			}
			is.True(time.Since(began) >= 10*time.Second)
			is.True(time.Since(began) < 12*time.Second)
		})
	}
}

// Guards against a daemon that reports a batch as unknown because the journal had removed its
// records before the daemon started. It cannot know whether the batch exists, so it answers 503.
func TestTrimmedBatchIsNotReportedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := journaltest.New()
		before, _ := newTestGatewayOn(ctx, log)
		header, err := before.deps.Delivery.Submit(ctx, delivery.Trainer{Name: "t", Accepts: func(oldest, trained int64) bool { return oldest >= trained }},
			rollout.Request{Trainer: "t", Name: "n", Prompts: []rollout.Prompt{{ID: "p", Text: "x"}}, SamplesPerPrompt: 1, MaxTokens: 5})
		is.NoErr(err)
		for _, topic := range ledger.TopicNames() {
			for number := range log.Partitions {
				log.Trim(journal.Partition{Topic: topic, Number: number}, 1)
			}
		}
		late, _ := newTestGatewayOn(ctx, log)
		for g, status := range map[*Gateway]int{before: http.StatusOK, late: http.StatusServiceUnavailable} {
			for _, cursor := range []string{"", "&cursor=" + rollout.NewCursor(header).String()} {
				request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/rollouts/t/n/samples?wait_ms=0"+cursor, nil)
				answer := httptest.NewRecorder()
				g.withTrainer(g.pullSamples)(answer, pathvar.WithVars(request, map[string]string{"trainer": "t", "name": "n"}), policy.Caller{Name: "c", Trainer: "t"})
				is.Equal(answer.Code, status)
			}
		}
	})
}
