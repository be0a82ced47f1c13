package ingress

import "context"

// clientLeftKey is the context key of the function set by WithClientLeft.
type clientLeftKey struct{}

// WithClientLeft returns a context for a request whose client may be known to have left before the
// context ends: left reports that. left is called before each attempt at a replica, from any
// goroutine; once it has returned true, the returned context ends. The caller must call cancel
// when the request has been answered.
func WithClientLeft(ctx context.Context, left func() bool) (watched context.Context, cancel context.CancelFunc) {
	watched, cancel = context.WithCancel(ctx)
	check := func() bool {
		if !left() {
			return false
		}
		cancel()
		return true
	}
	return context.WithValue(watched, clientLeftKey{}, check), cancel
}

// clientLeft reports whether the client has closed its connection, also if the request's context
// has not ended yet.
func (r *request) clientLeft() bool {
	if r.clientGone() {
		return true
	}
	check, ok := r.req.Context().Value(clientLeftKey{}).(func() bool)
	return ok && check()
}
