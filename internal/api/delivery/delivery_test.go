package delivery

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// endErrorRunner is a Runner whose End returns err.
type endErrorRunner struct {
	jobs *ledger.Ledger
	err  error
}

func (e endErrorRunner) Accept(ctx context.Context, job *batch.Submission) error {
	return e.jobs.PartitionOf(job.ID).Append(ctx, batch.Accepted(job, "owner"))
}

func (e endErrorRunner) End(context.Context, string, string) error { return e.err }

// Guards against reporting an end of unknown outcome as not executed, which promises that the batch
// continues.
func TestUnknownOutcomeOfEndIsNotReportedAsNotDone(t *testing.T) {
	is := is.New(t)
	jobs := ledger.New(t.Context(), journaltest.New(), zap.NewNop())
	request := rollout.Request{Trainer: "t", Name: "n", SamplesPerPrompt: 1, MaxTokens: 10, Prompts: []rollout.Prompt{{ID: "p", Text: "x"}}}
	endWith := func(err error) error {
		service := New(results.NewReader(jobs, nil, nil, journal.RateLimits{}, "self/1", zap.NewNop()), endErrorRunner{jobs, err}, rollout.ItemHeaders{}, zap.NewNop())
		_, submitted := service.Submit(t.Context(), Trainer{Name: "t"}, request)
		is.NoErr(submitted)
		return service.End(t.Context(), "t", "n")
	}
	is.NoErr(endWith(nil))
	is.True(errors.Is(endWith(errors.Wrap(runner.ErrNotDone, "refused")), ErrUnavailable))
	is.True(errors.Is(endWith(errors.Wrap(runner.ErrUnknown, "silent")), ErrOutcomeUnknown))
}
