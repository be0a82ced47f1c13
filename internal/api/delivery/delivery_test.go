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

// endErrorRunner is a runner whose ends fail in a way.
type endErrorRunner struct {
	jobs *ledger.Ledger
	err  error
}

func (e endErrorRunner) Accept(ctx context.Context, job *batch.Submission) error {
	return e.jobs.PartitionOf(job.ID).Append(ctx, batch.Accepted(job, "owner"))
}

func (e endErrorRunner) End(context.Context, string, string) error { return e.err }

// The end of a batch whose record may be in the journal was told as not executed, which
// promises that the batch goes on.
func TestUnknownOutcomeOfEndIsNotReportedAsNotDone(t *testing.T) {
	is := is.New(t)
	jobs := ledger.New(t.Context(), journaltest.New(), zap.NewNop())
	request := rollout.Request{Trainer: "t", Name: "n", SamplesPerPrompt: 1, MaxTokens: 10, Prompts: []rollout.Prompt{{ID: "p", Text: "x"}}}
	ended := func(err error) error {
		desk := New(results.NewReader(jobs, nil, nil, journal.RateLimits{}, "self/1", zap.NewNop()), endErrorRunner{jobs, err}, rollout.ItemHeaders{}, zap.NewNop())
		_, submitted := desk.Submit(t.Context(), Trainer{Name: "t"}, request)
		is.NoErr(submitted)
		return desk.End(t.Context(), "t", "n")
	}
	is.NoErr(ended(nil))
	is.True(errors.Is(ended(errors.Wrap(runner.ErrNotDone, "refused")), ErrUnavailable))
	is.True(errors.Is(ended(errors.Wrap(runner.ErrUnknown, "silent")), ErrOutcomeUnknown))
}
