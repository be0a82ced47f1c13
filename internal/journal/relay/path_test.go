package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/journal"
)

// A store over its rate limit throttles some calls of every daemon. The path must not count as
// lost while other calls are answered, as peers are throttled no less.
func TestSomeThrottledCallsDoNotLoseThePath(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := newPath(now)
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		var err error = &journal.ThrottledError{Reason: "busy"}
		if i%5 == 4 {
			err = nil
		}
		p.finish(p.begin(now, 0), err, now)
		lost, _ := p.detectLoss(now)
		is.True(!lost)
	}
	for range minThrottles {
		now = now.Add(minThrottledTime / minThrottles)
		p.finish(p.begin(now, 0), &journal.ThrottledError{Reason: "this machine"}, now)
	}
	lost, reason := p.detectLoss(now.Add(minThrottledTime))
	is.True(lost)
	is.Equal(reason, "throttled")
}
