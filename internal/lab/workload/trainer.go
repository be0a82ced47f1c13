package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"woodworks/internal/client"
	"woodworks/internal/rollout"
)

// Trainer is the stand-in of a training service: it asks for a batch, trains
// on what it gets, publishes weights in the middle and at the end of each
// batch, and asks again.
type Trainer struct {
	Name string
	// Clients are the daemons that it may use; it changes at every failure.
	Clients    []*client.Client
	Ledger     *Ledger
	Statistics *Statistics
	// Bound is the trainer's staleness bound, as the policy has it.
	Bound            uint64
	Prompts          int
	SamplesPerPrompt int
	MaxTokens        int
	MedianTokens     int
	// TrainTime is how long it trains on each half of a batch.
	TrainTime time.Duration
	Random    *rand.Rand

	version uint64
	next    int
}

const (
	pullWait     = 2 * time.Second
	callTimeout  = 6 * time.Second
	failureDelay = 50 * time.Millisecond
)

// Run trains until the context ends, finishing no batch that is still open
// then, and returns the number of whole batches.
func (trainer *Trainer) Run(ctx context.Context) int {
	trainer.version = 1
	trainer.announce(ctx)
	batches := 0
	for ctx.Err() == nil {
		if trainer.runBatch(ctx, batches) {
			batches++
			trainer.Statistics.batch()
		}
	}
	return batches
}

func (trainer *Trainer) client() *client.Client {
	return trainer.Clients[trainer.next%len(trainer.Clients)]
}

// failed goes on with another daemon after a while, as a failed answer asks.
func (trainer *Trainer) failed(ctx context.Context, err error) {
	trainer.next++
	delay := failureDelay
	if problem, answered := client.AsProblem(err); answered {
		trainer.Statistics.refusal(problem.Problem.Code)
		delay = max(delay, min(time.Duration(problem.Problem.RetryAfterMillis)*time.Millisecond/4, time.Second))
	} else {
		trainer.Statistics.refusal("no_answer")
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// retry runs a call at one daemon after another until it succeeds.
func (trainer *Trainer) retry(ctx context.Context, call func(context.Context, *client.Client) error) bool {
	for ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callContext, trainer.client())
		cancel()
		if err == nil {
			return true
		}
		trainer.failed(ctx, err)
	}
	return false
}

func (trainer *Trainer) announce(ctx context.Context) {
	artifact := fmt.Sprintf("%s-%d", trainer.Name, trainer.version)
	trainer.retry(ctx, func(ctx context.Context, daemon *client.Client) error {
		return daemon.Announce(ctx, trainer.Name, trainer.version, artifact)
	})
}

func (trainer *Trainer) request(number int) rollout.Request {
	request := rollout.Request{
		Trainer:          trainer.Name,
		Name:             fmt.Sprintf("step-%d", number),
		SamplesPerPrompt: trainer.SamplesPerPrompt,
		MaxTokens:        trainer.MaxTokens,
		Seed:             trainer.Random.Uint64(),
	}
	for i := range trainer.Prompts {
		request.Prompts = append(request.Prompts, rollout.Prompt{
			ID:   fmt.Sprintf("p%d", i),
			Text: fmt.Sprintf("%s prompt %d of step %d: assess the building application", trainer.Name, i, number),
		})
	}
	return request
}

// runBatch asks for one batch and takes it whole.
func (trainer *Trainer) runBatch(ctx context.Context, number int) bool {
	request := trainer.request(number)
	total := trainer.Prompts * trainer.SamplesPerPrompt
	cursor := ""
	submit := func(ctx context.Context, daemon *client.Client) error {
		submitted, err := daemon.Submit(ctx, request)
		if err == nil && cursor == "" {
			cursor = submitted.Cursor
		}
		return err
	}
	if !trainer.retry(ctx, submit) {
		return false
	}
	taken := map[int]bool{}
	trained := false
	for len(taken) < total {
		waitedFrom := time.Now()
		var pulled client.Pulled
		version := trainer.version
		done := trainer.retry(ctx, func(ctx context.Context, daemon *client.Client) error {
			var err error
			pulled, err = daemon.Pull(ctx, trainer.Name, request.Name, cursor, version, total, pullWait)
			if problem, answered := client.AsProblem(err); answered && problem.Problem.Code == "unknown_batch" {
				_ = submit(ctx, daemon)
			}
			return err
		})
		if !done {
			return false
		}
		trainer.Statistics.idle(time.Since(waitedFrom))
		cursor = pulled.Cursor
		trainer.take(request, pulled, taken, version)
		if !trained && len(taken) >= total/2 {
			trained = true
			trainer.train(ctx)
		}
	}
	trainer.Ledger.Check(ExactlyOnce, len(taken) == total, "%s: %d of %d samples", request.Name, len(taken), total)
	trainer.train(ctx)
	return true
}

// take checks the samples of one answer.
func (trainer *Trainer) take(request rollout.Request, pulled client.Pulled, taken map[int]bool, version uint64) {
	for _, sample := range pulled.Samples {
		trainer.Ledger.Check(ExactlyOnce, !taken[sample.Index], "%s: sample %d came twice", request.Name, sample.Index)
		taken[sample.Index] = true
		trainer.Ledger.CheckSample(request, sample, trainer.MedianTokens, trainer.Bound, version)
		trainer.Statistics.sample(sample, version)
	}
	if pulled.Done {
		total := trainer.Prompts * trainer.SamplesPerPrompt
		trainer.Ledger.Check(ExactlyOnce, len(taken) == total, "%s: said to be done with %d of %d samples", request.Name, len(taken), total)
	}
}

// train takes its time and publishes the next version.
func (trainer *Trainer) train(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(trainer.TrainTime):
	}
	trainer.version++
	trainer.announce(ctx)
}
