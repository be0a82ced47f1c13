package relay

import (
	"context"
	"sync"
)

// callTracker counts the calls that are made for peers, and lets no more in once it is closed.
// The zero value is open.
type callTracker struct {
	mu     sync.Mutex
	closed bool
	active sync.WaitGroup
}

// tryAdd counts a call, which ends with calls.Done, or refuses it.
func (g *callTracker) tryAdd() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active.Add(1)
	return true
}

func (g *callTracker) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Drain makes no more calls to the journal for peers, which turn to others, and returns
// when those under way have ended or the context has: a call that a planned stop cuts is
// of unknown outcome to its peer. It is called before the context of Serve ends. Questions
// to registered receivers are answered on.
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
