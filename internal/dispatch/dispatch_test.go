package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/examples"
	"woodworks/internal/announce"
	"woodworks/internal/dispatch"
	"woodworks/internal/fleet"
	"woodworks/internal/membership"
	"woodworks/internal/policy"
)

type self struct{}

func (self) Self() membership.Member { return membership.Member{ID: "a#1", Zone: "z"} }

type policies struct{ set *policy.Set }

func (held policies) Policy() *policy.Set { return held.set }

// Bounds hold for a class and for all classes together, and whoever waits in
// vain is told so when its time ends, and leaves no trace.
func TestWaitingIsBounded(t *testing.T) {
	is := is.New(t)
	set, err := policy.Compile(map[string]string{"operator": examples.OperatorPolicy})
	is.NoErr(err)
	const bound = 5
	dispatcher := dispatch.New(fleet.NewTable(announce.NewBoard(10), func() {}), self{}, policies{set: set}, bound)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := make(chan error, bound)
	for range bound {
		go func() {
			_, err := dispatcher.Acquire(ctx, dispatch.Request{Service: "permit-desk", Class: "lookup"})
			outcomes <- err
		}()
	}
	for dispatcher.Waiting("permit-desk") < bound {
		time.Sleep(time.Millisecond)
	}
	_, err = dispatcher.Acquire(ctx, dispatch.Request{Service: "assessor-lm", Class: "rollout"})
	is.True(errors.Is(err, dispatch.ErrQueueFull)) // another service, the same bound
	is.True(dispatcher.RetryAfter("permit-desk") >= time.Second)
	cancel()
	for range bound {
		is.True(errors.Is(<-outcomes, dispatch.ErrGaveUp))
	}
	is.Equal(dispatcher.Waiting("permit-desk"), 0)
}
