package relay

import (
	"context"
	"sync"
)

// callTracker counts the calls in progress for peers and accepts no more once it is closed. The
// zero value is open.
type callTracker struct {
	mu     sync.Mutex
	closed bool
	active sync.WaitGroup
}

// tryAdd counts a call and returns true, or returns false if the tracker is closed. The caller
// must call active.Done when a counted call ends.
func (t *callTracker) tryAdd() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.active.Add(1)
	return true
}

// close makes all later calls of tryAdd return false.
func (t *callTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Drain stops making journal calls for peers, which then turn to other daemons. It returns when
// the calls in progress have ended or the context ends. It must be called before the context of
// Serve ends, because a call that a shutdown interrupts has an unknown outcome for the peer.
// Calls to registered receivers are still answered.
func (j *Journal) Drain(ctx context.Context) {
	j.peerCalls.close()
	done := make(chan struct{})
	go func() {
		j.peerCalls.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
