package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotHeld: the lease does not let this daemon act now, or not for long enough.
var ErrNotHeld = errors.New("lease: not held")

// minRemaining is how much of the lease must be left for an act to be begun. The act ends
// half of it before the lease does, as it must have arrived by then.
const minRemaining = 250 * time.Millisecond

// Fencer tells under which fence its daemon may act. A Lease is one.
type Fencer interface {
	// Fence returns the fence under which this daemon may act now, and for how long.
	Fence() (fence int64, left time.Duration, may bool)
}

// Do makes one call in the name of a lease: it ends within the timeout, and well before
// the lease does. It returns the fence of the call, or ErrNotHeld without a call if the lease
// does not allow one.
func Do(
	ctx context.Context, l Fencer, timeout time.Duration, call func(ctx context.Context, fence int64) error,
) (fence int64, err error) {
	fence, left, may := l.Fence()
	if !may || left < minRemaining {
		return 0, ErrNotHeld
	}
	bounded, cancel := context.WithTimeout(ctx, min(timeout, left-minRemaining/2))
	defer cancel()
	return fence, call(bounded, fence)
}
