package fakeengine_test

import (
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/api/rollout"
	"woodworks/internal/demo/fakeengine"
)

// Checkers tell by the tokens alone which version made them.
func TestAWrongTokenIsFound(t *testing.T) {
	is := is.New(t)
	sample := func(segments ...rollout.Segment) rollout.Result {
		s := rollout.Result{Seed: 7, Segments: segments}
		for position := range 5 {
			version := uint64(2)
			if position >= 3 {
				version = 4
			}
			s.Tokens = append(s.Tokens, fakeengine.Token("model", "prompt", 7, version, position))
		}
		return s
	}
	is.Equal(fakeengine.FirstWrong("model", "prompt", sample(rollout.Segment{Version: 2, Tokens: 3}, rollout.Segment{Version: 4, Tokens: 2})), -1)
	is.Equal(fakeengine.FirstWrong("model", "prompt", sample(rollout.Segment{Version: 2, Tokens: 5})), 3)
	is.Equal(fakeengine.FirstWrong("model", "prompt", sample(rollout.Segment{Version: 3, Tokens: 3}, rollout.Segment{Version: 4, Tokens: 2})), 0)
	is.Equal(fakeengine.FirstWrong("other", "prompt", sample(rollout.Segment{Version: 2, Tokens: 3}, rollout.Segment{Version: 4, Tokens: 2})), 0)
	// Segments that cover fewer tokens than there are, or more.
	is.Equal(fakeengine.FirstWrong("model", "prompt", sample(rollout.Segment{Version: 2, Tokens: 3})), 3)
	is.Equal(fakeengine.FirstWrong("model", "prompt", sample(rollout.Segment{Version: 2, Tokens: 3}, rollout.Segment{Version: 4, Tokens: 3})), 5)
}
