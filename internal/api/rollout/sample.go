package rollout

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
)

// GenerateRequest is what an engine is asked for: the body of an item.
type GenerateRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Seed      uint64 `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
}

// Frame is the data of one event of an engine's answer.
type Frame struct {
	// Version is the version of the weights that made the tokens.
	Version int64    `json:"version"`
	Tokens  []uint32 `json:"tokens"`
	// End says why the sample ended, in its last frame.
	End string `json:"end,omitempty"`
}

// Segment is a run of tokens of one weight version.
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

// ErrInvalidText is returned for a text that is not made of an engine's frames.
var ErrInvalidText = errors.New("rollout: the text is not made of frames")

// Add takes a frame in.
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

// parseText fills a result from the text of an item. Each version that a frame
// names must be among those that the item was made by.
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
			return errors.Wrapf(ErrInvalidText, "version %d is not one that made it", segment.Version)
		}
	}
	return nil
}

// oldestVersion returns the lowest version that made a part of an item.
func oldestVersion(res *batch.Result) int64 {
	lowest := int64(0)
	for _, version := range res.Versions {
		if lowest == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}
