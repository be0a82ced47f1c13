// Package periodic runs functions again and again, and waits, until a context
// ends.
package periodic

import (
	"context"
	"time"
)

// Pause waits for a while, or until the context ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls the function at once and then at an interval, until the context
// ends. A call that takes longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, function func(context.Context)) {
	Repeat(ctx, func(ctx context.Context) time.Duration {
		function(ctx)
		return interval
	})
}

// Repeat calls the function again after the time that it returns, counted from
// the call's start, until the context ends.
func Repeat(ctx context.Context, function func(context.Context) time.Duration) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		wait := function(ctx)
		Pause(ctx, max(wait-time.Since(startedAt), 0))
	}
}
