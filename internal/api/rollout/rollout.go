// Package rollout defines batches of samples as trainers request them: the request, the rounds of
// batch jobs that make the samples, and the cursor that makes the delivery of each sample exactly
// once.
//
// The package performs no I/O; package delivery does.
//
// # Usage
//
//	header := rollout.HeaderOf(request)
//	first := rollout.FirstRound(request, header, minVersion, itemHeaders) // a batch job
//	plan := rollout.Plan(cursor, rounds, accepts, limit)                  // samples to deliver and to make again
package rollout

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// MaxSamples bounds the samples of one batch.
	MaxSamples = 65_536
	// MaxPromptBytes bounds the text of one prompt.
	MaxPromptBytes = 1 << 20
	// MaxSampleTokens bounds Request.MaxTokens.
	MaxSampleTokens = 1 << 20
	// maxNameBytes bounds the name of a batch.
	maxNameBytes = 128
)

// FieldError describes an invalid field of a request. Field is its path, such as prompts[1].id.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func newFieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Prompt is one prompt of a batch. Its ID is unique in the batch.
type Prompt struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	// ExpectedTokens is the caller's estimate of the length of a sample, 0 for none. Prompts with
	// the longest estimates start first.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// Request is a trainer's request for a batch of SamplesPerPrompt samples of each prompt. Its JSON
// encoding determines the digest of the batch.
type Request struct {
	Trainer          string   `json:"trainer"`
	Name             string   `json:"name"`
	Prompts          []Prompt `json:"prompts"`
	SamplesPerPrompt int      `json:"samples_per_prompt"`
	MaxTokens        int      `json:"max_tokens"`
	Seed             uint64   `json:"seed"`
	// MinVersion is the oldest weight version that may make a sample, 0 for any.
	MinVersion uint64 `json:"min_version,omitempty"`
}

// Check returns a *FieldError for the first invalid field, or nil.
func (r Request) Check() error {
	switch {
	case r.Trainer == "":
		return newFieldError("trainer", "is required")
	case r.Name == "":
		return newFieldError("name", "is required")
	case len(r.Name) > maxNameBytes:
		return newFieldError("name", "has %d bytes, over the limit of %d", len(r.Name), maxNameBytes)
	case len(r.Prompts) == 0:
		return newFieldError("prompts", "at least one is required")
	case r.SamplesPerPrompt < 1:
		return newFieldError("samples_per_prompt", "%d is below 1", r.SamplesPerPrompt)
	case r.SamplesPerPrompt > MaxSamples || len(r.Prompts) > MaxSamples/r.SamplesPerPrompt:
		return newFieldError("samples_per_prompt", "the batch has more than %d samples", MaxSamples)
	case r.MaxTokens < 1 || r.MaxTokens > MaxSampleTokens:
		return newFieldError("max_tokens", "%d is not between 1 and %d", r.MaxTokens, MaxSampleTokens)
	}
	for _, char := range r.Name {
		if char < '!' || char > '~' || char == '/' {
			return newFieldError("name", "must be printable ASCII without spaces and /")
		}
	}
	return checkPrompts(r.Prompts)
}

func checkPrompts(prompts []Prompt) error {
	seen := make(map[string]bool, len(prompts))
	for i, prompt := range prompts {
		field := fmt.Sprintf("prompts[%d]", i)
		switch {
		case prompt.ID == "":
			return newFieldError(field+".id", "is required")
		case seen[prompt.ID]:
			return newFieldError(field+".id", "%q stands twice", prompt.ID)
		case prompt.Text == "":
			return newFieldError(field+".text", "is required")
		case len(prompt.Text) > MaxPromptBytes:
			return newFieldError(field+".text", "has %d bytes, over the limit of %d", len(prompt.Text), MaxPromptBytes)
		case prompt.ExpectedTokens < 0:
			return newFieldError(field+".expected_tokens", "%d is negative", prompt.ExpectedTokens)
		}
		seen[prompt.ID] = true
	}
	return nil
}

// Header describes a batch without its prompts. The cursor contains it, so any daemon can continue
// a delivery.
type Header struct {
	Trainer string
	Name    string
	// Digest is a hash of the request. It tells apart batches with the same name and different
	// content.
	Digest  uint64
	Samples int
}

// HeaderOf returns the header of a request, which must have passed Check.
func HeaderOf(request Request) Header {
	return Header{
		Trainer: request.Trainer,
		Name:    request.Name,
		Digest:  digestOf(request),
		Samples: len(request.Prompts) * request.SamplesPerPrompt,
	}
}

func digestOf(request Request) uint64 {
	encoded, err := json.Marshal(request)
	if err != nil {
		panic(errors.Wrap(err, "rollout: encode request"))
	}
	return xxhash.Sum64(encoded)
}

// SampleSeed returns the seed of the sample at index, derived from the seed of the batch.
func SampleSeed(seed uint64, index int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%d", seed, index))
}
