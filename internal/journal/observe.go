package journal

import (
	"time"

	"github.com/pkg/errors"
)

// Observer is told of each call to a journal: its kind, how it ended and how
// long it took.
type Observer func(call, outcome string, took time.Duration)

// outcomeOf names what an error says of a call.
func outcomeOf(err error) string {
	var throttled *ThrottledError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &throttled):
		return "throttled"
	case errors.Is(err, ErrNotDone):
		return "not done"
	case errors.Is(err, ErrPosition):
		return "other position"
	case errors.Is(err, ErrTrimmed):
		return "trimmed"
	default:
		return "unknown"
	}
}
