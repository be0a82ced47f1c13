package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/requests/quarantine"
)

// A request that may have run is only retried if it is repeatable. A request that has not run is
// retried up to a limit.
func TestMayRetry(t *testing.T) {
	cases := map[string]struct {
		state AttemptState
		want  bool
	}{
		"no attempt yet":               {AttemptState{}, true},
		"declined, not repeatable":     {AttemptState{NotRun: maxExtraAttempts}, true},
		"declined too often":           {AttemptState{NotRun: maxExtraAttempts + 1, Repeatable: true, MaxAttempts: 9}, false},
		"may have run, not repeatable": {AttemptState{MayHaveRun: 1, MaxAttempts: 3}, false},
		"open, not repeatable":         {AttemptState{Open: 1, MaxAttempts: 3}, false},
		"may have run":                 {AttemptState{MayHaveRun: 1, MaxAttempts: 2, Repeatable: true}, true},
		"attempts used up":             {AttemptState{MayHaveRun: 1, Open: 1, MaxAttempts: 2, Repeatable: true}, false},
		"MaxAttempts not set":          {AttemptState{MayHaveRun: 1, Repeatable: true}, false},
		"suspected":                    {AttemptState{MayHaveRun: 1, MaxAttempts: 2, Repeatable: true, Suspicion: quarantine.Suspected}, true},
		"isolated runs only":           {AttemptState{MayHaveRun: 1, MaxAttempts: 2, Repeatable: true, Suspicion: quarantine.IsolatedOnly}, false},
		"declined, isolated runs only": {AttemptState{NotRun: 1, MaxAttempts: 2, Suspicion: quarantine.IsolatedOnly}, true},
		"refused":                      {AttemptState{ContentRefused: true, MaxAttempts: 2, Repeatable: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tc.state.MayRetry(), tc.want) })
	}
}

// The hedge delay is the route's own, or follows from the replica's latency.
func TestHedgeDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(hedgeDelay(time.Second, time.Millisecond), time.Second)
	is.Equal(hedgeDelay(0, 0), defaultHedgeDelay)
	is.Equal(hedgeDelay(0, time.Millisecond), minHedgeDelay)
	is.Equal(hedgeDelay(0, time.Second), hedgeLatencyFactor*time.Second)
}
