package journal

import (
	"time"

	"github.com/pkg/errors"
)

// Observer is called after each call to a journal with the kind of call, its outcome (see
// outcomeOf) and its duration.
type Observer func(call, outcome string, took time.Duration)

// outcomeOf returns the name of a call's outcome, which is also a label value in metrics.
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
