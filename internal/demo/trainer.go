package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"woodworks/internal/api/client"
	"woodworks/internal/api/gateway"
	"woodworks/internal/api/rollout"
	"woodworks/internal/demo/checks"
	"woodworks/internal/demo/fakeengine"
	"woodworks/internal/demo/services"
)

// What a trainer asks for in a step.
const (
	prompts          = 6
	samplesPerPrompt = 6
	maxTokens        = 120
	trainTime        = 150 * time.Millisecond
)

// How a trainer pulls samples.
const (
	mostPulled = 16
	pullWait   = time.Second
)

// Bounds of all callers.
const (
	callerPause = 50 * time.Millisecond
	callTimeout = 8 * time.Second
)

// trainer asks for a batch a step, takes its samples and names the next version.
type trainer struct {
	*checks.Checks
	clients []*client.Client
	seed    uint64

	version  uint64
	batches  int
	samples  int
	versions []uint64
}

func (t *trainer) run(ctx context.Context) {
	t.version = 1
	for step := 1; t.batch(ctx, t.request(step)); step++ {
		t.batches++
		time.Sleep(trainTime)
		t.version++
		t.until(ctx, func(ctx context.Context, c *client.Client) error {
			return c.AnnounceVersion(ctx, trainerKey, t.version, fmt.Sprint("weights-", t.version))
		})
	}
}

// request is that of a step's batch.
func (t *trainer) request(step int) rollout.Request {
	req := rollout.Request{
		Trainer: trainerKey, Name: fmt.Sprint("step-", step), Seed: t.seed + uint64(step),
		SamplesPerPrompt: samplesPerPrompt, MaxTokens: maxTokens,
	}
	for i := range prompts {
		text := fmt.Sprintf("board %d of step %d", i, step)
		req.Prompts = append(req.Prompts, rollout.Prompt{ID: fmt.Sprint("p", i), Text: text})
	}
	return req
}

// until calls daemons in turn until one gives an answer that is no failure. It reports
// false if the run is over before.
func (t *trainer) until(ctx context.Context, call func(context.Context, *client.Client) error) bool {
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

// batch hands a batch in and takes all its samples. It reports false if the run is over
// before.
func (t *trainer) batch(ctx context.Context, req rollout.Request) bool {
	cursor := ""
	if !t.until(ctx, func(ctx context.Context, c *client.Client) error {
		submitted, err := c.SubmitBatch(ctx, req)
		cursor = submitted.Cursor
		return err
	}) {
		return false
	}
	taken := map[int]bool{}
	for {
		var pulled gateway.PullResponse
		if !t.until(ctx, func(ctx context.Context, c *client.Client) (err error) {
			pulled, err = c.PullSamples(ctx, trainerKey, req.Name, cursor, t.version, mostPulled, pullWait)
			return err
		}) {
			return false
		}
		for _, sample := range pulled.Samples {
			t.Check(exactlyOnce, !taken[sample.Index], "batch %s: sample %d came again", req.Name, sample.Index)
			taken[sample.Index] = true
			t.checkSample(req, sample)
		}
		cursor = pulled.Cursor
		if pulled.Done {
			t.Check(exactlyOnce, len(taken) == prompts*samplesPerPrompt, "batch %s: %d samples", req.Name, len(taken))
			return true
		}
	}
}

func (t *trainer) checkSample(req rollout.Request, sample rollout.Result) {
	t.samples++
	prompt := req.Prompts[sample.Index/samplesPerPrompt].Text
	length := min(fakeengine.Length(prompt, sample.Seed, services.DefaultEngine().MedianTokens), maxTokens)
	t.Check(ownAnswer, len(sample.Tokens) == length, "batch %s: sample %d has %d tokens of %d",
		req.Name, sample.Index, len(sample.Tokens), length)
	wrong := fakeengine.FirstWrong(trainerKey, prompt, sample)
	t.Check(namesVersions, wrong < 0, "batch %s: sample %d, token %d is not of the version that it names",
		req.Name, sample.Index, wrong)
	for _, segment := range sample.Segments {
		t.Check(withinBound, segment.Version+staleness >= t.version,
			"batch %s: sample %d of version %d while %d is trained", req.Name, sample.Index, segment.Version, t.version)
		if !slices.Contains(t.versions, segment.Version) {
			t.versions = append(t.versions, segment.Version)
		}
	}
}
