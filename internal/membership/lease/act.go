package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotHeld means that this daemon doesn't hold a valid lease, or that too little time is left
// until the lease expires.
var ErrNotHeld = errors.New("lease: not held")

// minRemaining is the least time that must be left of the lease for a call to start. The context
// of a call ends at the latest minRemaining/2 before the lease expires, so that a call sent at
// the last moment still arrives in time.
const minRemaining = 250 * time.Millisecond

// Fencer provides the fence under which a daemon may act. Lease implements it.
type Fencer interface {
	// Fence returns the current fence and the time left until the lease expires. ok is false if
	// this daemon may not act now.
	Fence() (fence int64, left time.Duration, ok bool)
}

// Do runs call under the lease. The context passed to call ends after timeout, and in any case
// before the lease expires. Do returns the fence that it passed to call, and the error of call.
// If the lease isn't held or too little time is left, it returns ErrNotHeld and doesn't run
// call.
func Do(
	ctx context.Context, l Fencer, timeout time.Duration, call func(ctx context.Context, fence int64) error,
) (fence int64, err error) {
	fence, left, ok := l.Fence()
	if !ok || left < minRemaining {
		return 0, ErrNotHeld
	}
	bounded, cancel := context.WithTimeout(ctx, min(timeout, left-minRemaining/2))
	defer cancel()
	return fence, call(bounded, fence)
}
