package rollout

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
)

// GenerateRequest is the body of an item: the request to an engine.
type GenerateRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Seed      uint64 `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
}

// Frame is the data of one event in an engine's response stream.
type Frame struct {
	// Version is the version of the weights that made the tokens.
	Version int64    `json:"version"`
	Tokens  []uint32 `json:"tokens"`
	// End is the reason why the sample ended, set in its last frame only.
	End string `json:"end,omitempty"`
}

// Segment is a run of consecutive tokens made by the same weight version.
type Segment struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}

// Result is one finished sample.
type Result struct {
	Index    int       `json:"index"`
	PromptID string    `json:"prompt_id"`
	Seed     uint64    `json:"seed"`
	Tokens   []uint32  `json:"tokens"`
	Segments []Segment `json:"segments"`
	End      string    `json:"end"`
}

// ErrInvalidText is returned for an item's text that is not a sequence of frames, or that names a
// version which the item's result does not list.
var ErrInvalidText = errors.New("rollout: invalid text of an item")

// Add appends the tokens of a frame.
func (r *Result) Add(frame Frame) {
	r.Tokens = append(r.Tokens, frame.Tokens...)
	if frame.End != "" {
		r.End = frame.End
	}
	if len(frame.Tokens) == 0 {
		return
	}
	last := len(r.Segments) - 1
	if last >= 0 && r.Segments[last].Version == uint64(frame.Version) {
		r.Segments[last].Tokens += len(frame.Tokens)
		return
	}
	r.Segments = append(r.Segments, Segment{Version: uint64(frame.Version), Tokens: len(frame.Tokens)})
}

// parseText adds the frames in the text of an item. Each version in them must be in the Versions of
// the item's result. The error wraps ErrInvalidText.
func (r *Result) parseText(res *batch.Result) error {
	for _, line := range bytes.Split(res.Text, []byte("\n")) {
		var frame Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			return errors.Wrap(ErrInvalidText, err.Error())
		}
		r.Add(frame)
	}
	for _, segment := range r.Segments {
		if !slices.Contains(res.Versions, int64(segment.Version)) {
			return errors.Wrapf(ErrInvalidText, "version %d is not among the versions that made the item", segment.Version)
		}
	}
	return nil
}

// oldestVersion returns the lowest of the weight versions that made an item, 0 if there are none.
func oldestVersion(res *batch.Result) int64 {
	lowest := int64(0)
	for _, version := range res.Versions {
		if lowest == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}
