package chunkhome

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/backend/engine"
	"woodworks/internal/dispatch"
	"woodworks/internal/periodic"
	"woodworks/internal/policy"
	"woodworks/internal/rollout"
)

const (
	// retryDelay is the wait after a try failed before the sample queues again.
	retryDelay = 100 * time.Millisecond
	// queueFullDelay is the wait after the class's queue was full.
	queueFullDelay = 300 * time.Millisecond
)

var tryCounter atomic.Uint64

// startSamples starts a try for each sample of an active chunk that waits.
func (home *Home) startSamples(id rollout.ChunkID) {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[id]
	if !known || !one.active || home.context.Err() != nil {
		return
	}
	home.dropStale(one)
	trainer, declared := home.catalog.Policy().Trainers[id.Trainer]
	if !declared {
		return
	}
	for _, spec := range one.chunk.Startable() {
		try := fmt.Sprintf("%s/%d", home.peers.Self().ID, tryCounter.Add(1))
		ctx, cancel := context.WithCancel(home.context)
		partial, wanted := one.chunk.Start(spec.Index, try, home.judge(one))
		if !wanted {
			cancel()
			continue
		}
		if len(partial.Tokens) > 0 {
			home.statistics.Resumed++
		}
		one.cancels[try] = cancel
		go home.runTry(ctx, one, trainer, spec, try, partial)
	}
}

// runTry waits for a replica and generates the sample on it.
func (home *Home) runTry(ctx context.Context, one *held, trainer policy.Trainer, spec rollout.SampleSpec, try string, partial rollout.Partial) {
	end, err := home.generate(ctx, one, trainer, spec, try, partial)
	if err != nil && ctx.Err() == nil {
		home.pause(ctx, err)
	}
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if cancel, running := one.cancels[try]; running {
		cancel()
		delete(one.cancels, try)
		delete(one.running, try)
	}
	if err != nil {
		if !errors.Is(err, dispatch.ErrQueueFull) && !errors.Is(err, dispatch.ErrGaveUp) {
			home.statistics.Failures++
		}
		one.chunk.Abort(spec.Index, try)
		one.signal()
		return
	}
	if one.chunk.Finish(spec.Index, try, end) {
		home.statistics.Finished++
	}
	one.signal()
}

func (home *Home) pause(ctx context.Context, cause error) {
	delay := retryDelay
	if errors.Is(cause, dispatch.ErrQueueFull) {
		delay = queueFullDelay
	}
	periodic.Pause(ctx, delay)
}

// errUnconfirmed ends a try that may not start because this daemon cannot
// confirm its policy.
var errUnconfirmed = errors.New("chunks: policy is not confirmed")

// errStale ends a try whose tokens have become too old.
var errStale = errors.New("chunks: sample has become too stale")

func (home *Home) generate(ctx context.Context, one *held, trainer policy.Trainer, spec rollout.SampleSpec, try string, partial rollout.Partial) (engine.EndReason, error) {
	if len(partial.Tokens) >= one.chunk.Spec.MaxTokens {
		// The earlier try broke between its last token and its end mark.
		return engine.EndLength, nil
	}
	grant, err := home.dispatcher.Acquire(ctx, dispatch.Request{
		Service:    trainer.Service,
		Class:      trainer.Class,
		Model:      trainer.Name,
		MinVersion: func() (uint64, uint64) { return home.acceptable(one, trainer) },
		Expected:   home.expectedRest(one, spec, partial),
		PrefixKey:  xxhash.Sum64String(spec.Prompt),
		Excluded:   home.excludedFor(one, spec.Index),
	})
	if err != nil {
		return "", err
	}
	defer grant.Done()
	home.noteRunning(one, try, spec.Index, grant.Machine)
	client := home.table.Client(grant.Machine)
	age, confirmed := home.catalog.ConfirmationAge()
	if client == nil || !confirmed || age > home.limits.ConfirmBound {
		return "", errUnconfirmed
	}
	streamContext, stop := context.WithCancel(ctx)
	defer stop()
	end, err := client.Generate(streamContext, engine.GenerateRequest{
		ID:        try,
		Model:     trainer.Name,
		Prompt:    spec.Prompt,
		Seed:      spec.Seed,
		Prefix:    partial.Tokens,
		MaxTokens: one.chunk.Spec.MaxTokens - len(partial.Tokens),
		Priority:  home.catalog.Policy().Priority(trainer),
	}, func(frame engine.Frame) {
		if !home.progress(one, spec.Index, try, frame) {
			stop()
		}
	})
	if err == nil {
		return end, nil
	}
	if ctx.Err() == nil && streamContext.Err() != nil {
		return "", errStale
	}
	if ctx.Err() == nil && !errors.Is(err, engine.ErrRefused) {
		home.table.MarkFailed(grant.Machine)
		home.logger.Info("sample try failed", zap.String("machine", grant.Machine), zap.String("try", try), zap.Error(err))
	}
	return "", err
}

// excludedFor names the machine that a sample was just moved away from.
func (home *Home) excludedFor(one *held, index int) map[string]bool {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	machine, moved := one.avoid[index]
	if !moved {
		return nil
	}
	delete(one.avoid, index)
	return map[string]bool{machine: true}
}

func (home *Home) noteRunning(one *held, try string, index int, machine string) {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if cancel, wanted := one.cancels[try]; wanted {
		one.running[try] = running{index: index, machine: machine, cancel: cancel}
	}
}

// acceptable returns the oldest version that the trainer accepts now and the
// newest announced one.
func (home *Home) acceptable(one *held, trainer policy.Trainer) (oldest, newest uint64) {
	announced, _ := home.board.TrainerVersionOf(trainer.Name)
	home.mutex.Lock()
	current := max(announced, one.statedVersion)
	home.mutex.Unlock()
	oldest = max(1, one.chunk.Spec.MinVersion)
	if current > trainer.MaxStaleness {
		oldest = max(oldest, current-trainer.MaxStaleness)
	}
	return oldest, current
}

// expectedRest guesses how many tokens a sample still needs: by the caller's
// hint, else as many as it may have.
func (home *Home) expectedRest(one *held, spec rollout.SampleSpec, partial rollout.Partial) int {
	expected := spec.Expected
	if expected == 0 {
		expected = one.chunk.Spec.MaxTokens
	}
	return max(expected-len(partial.Tokens), 1)
}

// progress records a frame and reports whether the try is still wanted: not
// when the sample has a result already, nor when its oldest segment has become
// too stale to be delivered.
func (home *Home) progress(one *held, index int, try string, frame engine.Frame) bool {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	oldestVersion, wanted := one.chunk.Progress(index, try, frame)
	return wanted && (oldestVersion == 0 || home.judge(one)(oldestVersion))
}
