package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotHeld means that this daemon doesn't hold a valid lease, or that too little time is left
// of it.
var ErrNotHeld = errors.New("lease: not held")

// minRemaining is the least time that must be left of the lease for a call to start. The call is
// bounded to end half of it before the lease expires, which leaves time for it to arrive.
const minRemaining = 250 * time.Millisecond

// Fencer returns the fence under which its daemon may act. It is implemented by Lease.
type Fencer interface {
	// Fence returns the current fence and the time left until the lease expires. The result ok
	// is false if this daemon may not act now.
	Fence() (fence int64, left time.Duration, ok bool)
}

// Do runs call under the lease. The context of the call ends after timeout, and in any case
// before the lease expires. Do returns the fence that it passed to the call and the call's error,
// or ErrNotHeld without a call if the lease isn't held or too little time is left.
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
