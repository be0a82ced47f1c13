package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/requests/quarantine"
)

// What may have run runs again only if it is repeatable, and what has not only so often.
func TestWhoMayTryAgain(t *testing.T) {
	cases := map[string]struct {
		tries AttemptState
		may   bool
	}{
		"nothing yet":                      {AttemptState{}, true},
		"declined, not repeatable":         {AttemptState{NotRun: maxExtraAttempts}, true},
		"declined too often":               {AttemptState{NotRun: maxExtraAttempts + 1, Repeatable: true, MaxAttempts: 9}, false},
		"may have run, not repeatable":     {AttemptState{MayHaveRun: 1, MaxAttempts: 3}, false},
		"under way, not repeatable":        {AttemptState{Open: 1, MaxAttempts: 3}, false},
		"may have run":                     {AttemptState{MayHaveRun: 1, MaxAttempts: 2, Repeatable: true}, true},
		"attempts used up":                 {AttemptState{MayHaveRun: 1, Open: 1, MaxAttempts: 2, Repeatable: true}, false},
		"no attempts named":                {AttemptState{MayHaveRun: 1, Repeatable: true}, false},
		"suspected":                        {AttemptState{MayHaveRun: 1, MaxAttempts: 2, Repeatable: true, Suspicion: quarantine.Suspected}, true},
		"its end was a second one":         {AttemptState{MayHaveRun: 1, MaxAttempts: 2, Repeatable: true, Suspicion: quarantine.OnlyAlone}, false},
		"declined, content may only alone": {AttemptState{NotRun: 1, MaxAttempts: 2, Suspicion: quarantine.OnlyAlone}, true},
		"refused":                          {AttemptState{ContentRefused: true, MaxAttempts: 2, Repeatable: true}, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(one.tries.MayRetry(), one.may) })
	}
}

// A hedge comes by the route's time, or by what the replica usually takes.
func TestWhenASecondReplicaIsAsked(t *testing.T) {
	is := is.New(t)
	is.Equal(hedgeDelay(time.Second, time.Millisecond), time.Second)
	is.Equal(hedgeDelay(0, 0), defaultHedgeDelay)
	is.Equal(hedgeDelay(0, time.Millisecond), minHedgeDelay)
	is.Equal(hedgeDelay(0, time.Second), hedgeLatencyFactor*time.Second)
}
