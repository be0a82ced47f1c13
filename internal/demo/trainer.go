package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"woodworks/internal/api/client"
	"woodworks/internal/api/gateway"
	"woodworks/internal/api/rollout"
	"woodworks/internal/demo/fakeengine"
	"woodworks/internal/demo/services"
)

const (
	prompts          = 6
	samplesPerPrompt = 6
	maxTokens        = 120
	trainTime        = 150 * time.Millisecond
)

// Bounds of all callers.
const (
	callerPause = 50 * time.Millisecond
	callTimeout = 8 * time.Second
)

// trainerLoop asks for a batch a step, takes its samples and names the next
// version.
type trainerLoop struct {
	clients []*client.Client
	checks  *checks
	seed    uint64

	version  uint64
	batches  int
	samples  int
	versions []uint64
}

func (t *trainerLoop) seen() []uint64 { return t.versions }

func (t *trainerLoop) run(ctx context.Context) {
	t.version = 1
	for step := 1; ctx.Err() == nil; step++ {
		wanted := rollout.Request{Trainer: trainer, Name: fmt.Sprint("step-", step), SamplesPerPrompt: samplesPerPrompt, MaxTokens: maxTokens, Seed: t.seed + uint64(step)}
		for i := range prompts {
			wanted.Prompts = append(wanted.Prompts, rollout.Prompt{ID: fmt.Sprint("p", i), Text: fmt.Sprintf("board %d of step %d", i, step)})
		}
		if !t.batch(ctx, wanted) {
			return
		}
		t.batches++
		time.Sleep(trainTime)
		t.version++
		t.until(ctx, func(ctx context.Context, c *client.Client) error {
			return c.Announce(ctx, trainer, t.version, fmt.Sprint("weights-", t.version))
		})
	}
}

// until calls daemons in turn until one gives an answer that is no failure.
func (t *trainerLoop) until(ctx context.Context, call func(context.Context, *client.Client) error) bool {
	for turn := 0; ctx.Err() == nil; turn++ {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(bounded, t.clients[turn%len(t.clients)])
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(callerPause)
	}
	return false
}

func (t *trainerLoop) batch(ctx context.Context, wanted rollout.Request) bool {
	cursor := ""
	if !t.until(ctx, func(ctx context.Context, c *client.Client) error {
		submitted, err := c.Submit(ctx, wanted)
		cursor = submitted.Cursor
		return err
	}) {
		return false
	}
	taken := map[int]bool{}
	for {
		var pulled gateway.Pulled
		if !t.until(ctx, func(ctx context.Context, c *client.Client) error {
			var err error
			pulled, err = c.Pull(ctx, trainer, wanted.Name, cursor, t.version, 16, time.Second)
			return err
		}) {
			return false
		}
		for _, sample := range pulled.Samples {
			t.check(wanted, sample, taken)
		}
		cursor = pulled.Cursor
		if pulled.Done {
			t.checks.that(exactlyOnce, len(taken) == prompts*samplesPerPrompt, "batch %s: %d samples", wanted.Name, len(taken))
			return true
		}
	}
}

func (t *trainerLoop) check(wanted rollout.Request, sample rollout.Result, taken map[int]bool) {
	t.samples++
	t.checks.that(exactlyOnce, !taken[sample.Index], "batch %s: sample %d came again", wanted.Name, sample.Index)
	taken[sample.Index] = true
	prompt := wanted.Prompts[sample.Index/samplesPerPrompt].Text
	length := min(fakeengine.Length(prompt, sample.Seed, services.DefaultEngine().MedianTokens), maxTokens)
	t.checks.that(ownAnswer, len(sample.Tokens) == length, "batch %s: sample %d has %d tokens of %d", wanted.Name, sample.Index, len(sample.Tokens), length)
	position := 0
	for _, segment := range sample.Segments {
		t.checks.that(withinBound, segment.Version+staleness >= t.version, "batch %s: sample %d of version %d while %d is trained", wanted.Name, sample.Index, segment.Version, t.version)
		if !slices.Contains(t.versions, segment.Version) {
			t.versions = append(t.versions, segment.Version)
		}
		for range segment.Tokens {
			token := fakeengine.Token(trainer, prompt, sample.Seed, segment.Version, position)
			t.checks.that(namesVersions, sample.Tokens[position] == token, "batch %s: sample %d, token %d is not of version %d", wanted.Name, sample.Index, position, segment.Version)
			position++
		}
	}
}
