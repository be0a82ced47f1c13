// Package rollout holds batches of samples as trainers ask for them: the
// request, the rounds of batch jobs that make its samples, and the cursor by
// which each sample is delivered exactly once.
//
// Everything here is pure; package delivery moves it.
//
// # Usage
//
//	header := rollout.HeaderOf(request)
//	first := rollout.First(request, header, minVersion)  // a batch job
//	plan := rollout.Plan(cursor, rounds, accepts, limit) // what to hand over, what to make again
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
	// MaxPromptBytes bounds one prompt.
	MaxPromptBytes = 1 << 20
	// MaxSampleTokens bounds the tokens of one sample.
	MaxSampleTokens = 1 << 20
	// maxNameBytes bounds a batch's name.
	maxNameBytes = 128
)

// FieldError is a fault in one field of a request.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func newFieldError(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}

// Prompt is one prompt of a batch.
type Prompt struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	// ExpectedTokens is the caller's guess of a sample's length, 0 for none.
	// Prompts that are expected to run longest start first.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// Request is what a trainer asks for.
type Request struct {
	Trainer          string   `json:"trainer"`
	Name             string   `json:"name"`
	Prompts          []Prompt `json:"prompts"`
	SamplesPerPrompt int      `json:"samples_per_prompt"`
	MaxTokens        int      `json:"max_tokens"`
	Seed             uint64   `json:"seed"`
	// MinVersion is the oldest weight version accepted at all, 0 for any.
	MinVersion uint64 `json:"min_version,omitempty"`
}

// Check returns a *FieldError for the first fault.
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
	for _, character := range r.Name {
		if character < '!' || character > '~' || character == '/' {
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

// Header describes a batch without its prompts. It travels in the cursor, so
// that any daemon can go on with a delivery.
type Header struct {
	Trainer string
	Name    string
	// Digest is a hash of the request: another content under the same name has
	// another digest.
	Digest  uint64
	Samples int
}

// HeaderOf returns the header of a checked request.
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
		panic(errors.Wrap(err, "rollout: a request is always encodable"))
	}
	return xxhash.Sum64(encoded)
}

// SampleSeed derives a sample's seed from the batch's.
func SampleSeed(seed uint64, index int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%d", seed, index))
}
