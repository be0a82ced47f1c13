// Package samplestream generates one sample for a caller that follows it as it
// grows. When an engine fails, the stream goes on from its prefix on another.
package samplestream

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"woodworks/internal/announce"
	"woodworks/internal/backend/engine"
	"woodworks/internal/dispatch"
	"woodworks/internal/fleet"
	"woodworks/internal/membership"
	"woodworks/internal/policy"
	"woodworks/internal/retrybudget"
	"woodworks/internal/rollout"
)

// Errors of this layer.
var (
	// ErrNotStarted means that no engine was sent anything.
	ErrNotStarted = errors.New("sample: not started")
	// ErrStopped means that generation began and could not be finished.
	ErrStopped = errors.New("sample: could not be finished")
)

// maxTries bounds the engines tried for one sample.
const maxTries = 6

// Request is one sample asked for.
type Request struct {
	Trainer   policy.Trainer
	Prompt    string
	Seed      uint64
	MaxTokens int
}

// Self tells where this daemon is.
type Self interface{ Self() membership.Member }

// Catalog is what this package needs of the configuration.
type Catalog interface {
	Policy() *policy.Set
	ConfirmationAge() (time.Duration, bool)
}

// Streamer generates samples. It is safe for concurrent use.
type Streamer struct {
	self         Self
	catalog      Catalog
	board        *announce.Board
	dispatcher   *dispatch.Dispatcher
	table        *fleet.Table
	confirmBound time.Duration
	budget       retrybudget.Budget
	counter      atomic.Uint64
}

// New returns a streamer.
func New(self Self, catalog Catalog, board *announce.Board, dispatcher *dispatch.Dispatcher, table *fleet.Table, confirmBound time.Duration) *Streamer {
	return &Streamer{self: self, catalog: catalog, board: board, dispatcher: dispatcher, table: table, confirmBound: confirmBound}
}

// Stream generates a sample and passes each frame on as it arrives. It returns
// the whole sample; ErrNotStarted is returned only if no frame was passed on
// and no engine was sent the request.
func (streamer *Streamer) Stream(ctx context.Context, request Request, onFrame func(engine.Frame)) (rollout.Result, error) {
	retry := streamer.catalog.Policy().Retry
	streamer.budget.FirstTry(retry.Percent)
	partial := rollout.Partial{}
	reached := false
	var last error
	for try := 0; try < maxTries; try++ {
		if try > 0 && (ctx.Err() != nil || !streamer.budget.TryRetry(time.Now(), retry.Minimum)) {
			break
		}
		end, sent, err := streamer.try(ctx, request, &partial, onFrame)
		reached = reached || sent
		if err == nil {
			return rollout.Result{Seed: request.Seed, Tokens: partial.Tokens, Segments: partial.Segments, End: end}, nil
		}
		last = err
		if errors.Is(err, dispatch.ErrQueueFull) || errors.Is(err, dispatch.ErrGaveUp) || errors.Is(err, errUnconfirmed) {
			break
		}
	}
	if !reached {
		return rollout.Result{}, errors.Wrap(ErrNotStarted, last.Error())
	}
	return rollout.Result{}, errors.Wrap(ErrStopped, last.Error())
}

// errUnconfirmed means that this daemon may not start new work.
var errUnconfirmed = errors.New("sample: configuration is not confirmed")

// try streams from one engine; sent reports whether it may have been reached.
func (streamer *Streamer) try(ctx context.Context, request Request, partial *rollout.Partial, onFrame func(engine.Frame)) (end engine.EndReason, sent bool, err error) {
	if len(partial.Tokens) >= request.MaxTokens {
		// The earlier try broke between its last token and its end mark.
		return engine.EndLength, true, nil
	}
	grant, err := streamer.dispatcher.Acquire(ctx, dispatch.Request{
		Service:    request.Trainer.Service,
		Class:      request.Trainer.Class,
		Model:      request.Trainer.Name,
		MinVersion: func() (uint64, uint64) { return streamer.acceptable(request.Trainer) },
		Expected:   request.MaxTokens - len(partial.Tokens),
		PrefixKey:  xxhash.Sum64String(request.Prompt),
	})
	if err != nil {
		return "", false, err
	}
	defer grant.Done()
	client := streamer.table.Client(grant.Machine)
	age, confirmed := streamer.catalog.ConfirmationAge()
	if client == nil || !confirmed || age > streamer.confirmBound {
		return "", false, errUnconfirmed
	}
	end, err = client.Generate(ctx, engine.GenerateRequest{
		ID:        fmt.Sprintf("%s/s%d", streamer.self.Self().ID, streamer.counter.Add(1)),
		Model:     request.Trainer.Name,
		Prompt:    request.Prompt,
		Seed:      request.Seed,
		Prefix:    partial.Tokens,
		MaxTokens: request.MaxTokens - len(partial.Tokens),
		Priority:  streamer.catalog.Policy().Priority(request.Trainer),
	}, func(frame engine.Frame) {
		partial.Append(frame)
		onFrame(frame)
	})
	if err != nil && ctx.Err() == nil && !errors.Is(err, engine.ErrRefused) {
		streamer.table.MarkFailed(grant.Machine)
	}
	notSent := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRefused)
	return end, !notSent, err
}

func (streamer *Streamer) acceptable(trainer policy.Trainer) (oldest, newest uint64) {
	newest, _ = streamer.board.TrainerVersionOf(trainer.Name)
	oldest = 1
	if newest > trainer.MaxStaleness {
		oldest = max(oldest, newest-trainer.MaxStaleness)
	}
	return oldest, newest
}
